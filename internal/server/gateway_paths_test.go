package server

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

const (
	// cutSettling is the time after the beginning of a cut from which on callers must be
	// served at the hosts without paths as often as at the others.
	cutSettling = 3 * time.Second
	// cutCounted is the time for which requests are counted from then on.
	cutCounted = 2 * time.Second
	// callInterval is the least time between two requests of a caller.
	callInterval = 100 * time.Millisecond
	// maxShareGap is by how much the served share at hosts without paths may be lower.
	maxShareGap = 0.1
)

// callCounts counts first attempts at hosts.
type callCounts struct {
	mu           sync.Mutex
	sent, served int
	// statuses counts the responses by status, 0 for none.
	statuses map[int]int
}

func (c *callCounts) add(r fleetResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if r.status == http.StatusOK && !r.truncated {
		c.served++
	}
	c.statuses[r.status]++
}

func (c *callCounts) share() float64 { return float64(c.served) / float64(c.sent) }

// callRoutes are the paths of the classes of requests, and whether they have a prompt.
var callRoutes = map[string]bool{"confirm": false, "read": false, "draft": true, "brief": true}

// call sends requests of a class to a host one after the other, on kept connections, until
// a time, and counts those that are sent from another time on.
func (f *fleet) call(g *Gateway, route string, from, until time.Time, counts *callCounts) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	method := http.MethodPost
	if route == "read" {
		method = http.MethodGet
	}
	for i := 0; time.Now().Before(until); i++ {
		sent := time.Now()
		id := fmt.Sprint(g.settings.Host, "-", route, "-", i)
		response := f.sendWith(client, g, id, method, "/"+route+"/1", "prompt", func(r *http.Request) {
			if callRoutes[route] {
				users.SetModelHeaders(r)
			}
		})
		if sent.After(from) {
			counts.add(response)
		}
		clock.Sleep(f.t.Context(), time.Until(sent.Add(callInterval)))
	}
}

// playCut starts hosts in two failure domains, has callers send requests of all classes to
// all of them, cuts some off from all endpoints, and returns the counts at the others and
// at these.
func (f *fleet) playCut(north, south int, cut *pathCut, isCut func(domain string, i int) bool) (others, without *callCounts) {
	f.publish(fleetConfig(1))
	for i := range 4 {
		domain := []string{"north", "south"}[i%2]
		f.startReplicaIn(domain, servicePool, replica.Options{Instance: fmt.Sprint("s", i), ServiceTime: 5 * time.Millisecond})
		f.startReplicaIn(domain, enginePool, replica.Options{Instance: fmt.Sprint("e", i), ServiceTime: 10 * time.Millisecond, Events: 20})
	}
	others, without = &callCounts{statuses: make(map[int]int)}, &callCounts{statuses: make(map[int]int)}
	counts := make(map[*Gateway]*callCounts)
	var seeds []string
	for i := range north + south {
		domain := "north"
		if i >= north {
			domain = "south"
		}
		f.configure = func(s *settings.Gateway) { s.Domain = domain }
		f.prepare = nil
		isWithout := isCut(domain, i)
		if isWithout {
			f.prepare = func(g *Gateway) { g.replicas.WrapDial(cut.wrap) }
		}
		g := f.startReadyHost(fmt.Sprint(domain, i), seeds...)
		seeds = append(seeds, g.Address("peers"))
		counts[g] = others
		if isWithout {
			counts[g] = without
		}
	}
	for g := range counts {
		f.eventually(func() bool { return len(f.peers(g).Peers) == len(counts)-1 })
	}
	begin := time.Now().Add(time.Second)
	from := begin.Add(cutSettling)
	var callers sync.WaitGroup
	for g, c := range counts {
		for route := range callRoutes {
			callers.Go(func() { f.call(g, route, from, from.Add(cutCounted), c) })
		}
	}
	clock.Sleep(f.t.Context(), time.Until(begin))
	cut.begin()
	callers.Wait()
	cut.heal()
	for g := range counts {
		f.within(cutSettling, func() bool { return f.postConfirm(g).status == http.StatusOK })
	}
	return others, without
}

// A host that cannot reach any endpoint, while other hosts can, serves its callers.
func TestHostsWithoutPathsServeTheirCallers(t *testing.T) {
	oneHost := func(_ string, i int) bool { return i == 0 }
	wholeDomain := func(domain string, _ int) bool { return domain == "north" }
	for _, c := range []struct {
		name  string
		mode  cutMode
		isCut func(domain string, i int) bool
	}{
		{"one host whose connections are reset", cutResets, oneHost},
		{"one host whose connections hang", cutHangs, oneHost},
		{"one host whose new connections are refused", cutRefuses, oneHost},
		{"a whole domain whose connections are reset", cutResets, wholeDomain},
		{"a whole domain whose connections hang", cutHangs, wholeDomain},
	} {
		t.Run(c.name, func(t *testing.T) {
			others, without := newFleet(t).playCut(2, 2, newPathCut(c.mode), c.isCut)
			t.Logf("others %d of %d, without paths %d of %d, statuses %v", others.served, others.sent, without.served, without.sent, without.statuses)
			must.Positive(t, without.sent)
			must.GreaterEq(t, others.share()-maxShareGap, without.share())
		})
	}
}
