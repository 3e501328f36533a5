package server

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

var (
	stopSeed  = flag.Uint64("stop.seed", 1, "first seed of TestStopUnderLoadLosesNoAnswer")
	stopSeeds = flag.Uint64("stop.seeds", 2, "number of seeds of TestStopUnderLoadLosesNoAnswer")
)

const (
	stopLinger  = 900 * time.Millisecond
	stopGrace   = 2400 * time.Millisecond
	stopCallers = 16
	// lossSlack is the time for which a request may have been on its way to a connection that
	// the host closes.
	lossSlack = 200 * time.Millisecond
	// callerTimeout is the time limit that encode states.
	callerTimeout = 2 * time.Second
)

// stopLoad is a mixed load on a host that is stopped.
type stopLoad struct {
	f     *fleet
	g     *Gateway
	lines *memory.Handler
	// stalls are the times in which this process, with host and callers, did not run.
	stalls []stall
	mu     sync.Mutex
	stopAt time.Time
	sent   []sentRequest
}

// stall is a time in which the process did not run.
type stall struct{ from, to time.Time }

// stallInterval is the time between two signs of life of the process.
const stallInterval = 10 * time.Millisecond

// watchStalls records stalls until done is closed.
func (l *stopLoad) watchStalls(done <-chan struct{}) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			now := time.Now()
			if now.Sub(last) > 2*stallInterval {
				l.stalls = append(l.stalls, stall{from: last, to: now})
			}
			last = now
		}
	}
}

// ran returns how much of the time of a request the process ran.
func (l *stopLoad) ran(r sentRequest) time.Duration {
	sum := r.end.Sub(r.sentAt)
	for _, s := range l.stalls {
		from, to := s.from, s.to
		if from.Before(r.sentAt) {
			from = r.sentAt
		}
		if to.After(r.end) {
			to = r.end
		}
		sum -= max(to.Sub(from), 0)
	}
	return sum
}

// sentRequest is a request and its response.
type sentRequest struct {
	id, route   string
	sentAt, end time.Time
	response    fleetResponse
}

func TestStopUnderLoadLosesNoAnswer(t *testing.T) {
	for seed := *stopSeed; seed < *stopSeed+*stopSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runStopLoad(t, seed) })
	}
}

func runStopLoad(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t)
	f.publish(fleetConfig(1))
	f.useLinger(stopLinger)
	for i := range 3 {
		// One of each lasts longer than the grace time after the linger.
		ms := time.Duration(5+rng.IntN(1900)) * time.Millisecond
		if i == 0 {
			ms = time.Duration(1550+rng.IntN(350)) * time.Millisecond
		}
		f.startReplica(servicePool, replica.Options{Instance: fmt.Sprint("i-", i), ServiceTime: ms})
		f.startReplica(enginePool, replica.Options{Instance: fmt.Sprint("e-", i), ServiceTime: ms / 10, Events: 10})
	}
	lines := memory.New()
	f.logHandler = lines
	load := &stopLoad{f: f, g: f.startReadyHost("h1"), lines: lines}
	var callers, watch sync.WaitGroup
	done := make(chan struct{})
	watch.Go(func() { load.watchStalls(done) })
	for i := range stopCallers {
		own := rand.New(rand.NewPCG(seed, uint64(i)+1))
		callers.Go(func() { load.call(i, own) })
	}
	begun, delay := time.Now(), time.Duration(200+rng.IntN(1200))*time.Millisecond
	f.eventually(func() bool { return time.Since(begun) > delay })
	load.mu.Lock()
	load.stopAt = time.Now()
	load.mu.Unlock()
	<-f.stop(load.g, stopGrace)
	must.Less(t, stopGrace+time.Second, time.Since(load.stopAt))
	callers.Wait()
	close(done)
	watch.Wait()
	load.check(t)
}

// call sends requests one after the other until the host accepts no connection.
func (l *stopLoad) call(caller int, rng *rand.Rand) {
	routes := []string{"confirm", "read", "draft", "brief"}
	var conn *keptConn
	for n := 0; ; n++ {
		if conn == nil || rng.IntN(4) == 0 {
			opened, err := net.Dial("tcp", l.g.Address("callers"))
			if err != nil {
				return
			}
			// The connection before is left open and idle.
			defer opened.Close()
			conn = &keptConn{Conn: opened, reader: bufio.NewReader(opened)}
		}
		r := sentRequest{id: fmt.Sprintf("c-%d-%d", caller, n), route: routes[rng.IntN(len(routes))], sentAt: time.Now()}
		r.response = conn.exchange("/"+r.route+"/1", r.id)
		r.end = time.Now()
		l.mu.Lock()
		l.sent = append(l.sent, r)
		l.mu.Unlock()
		if r.response.truncated || r.response.closes {
			_ = conn.Close()
			conn = nil
		}
		// The others of a pool take what one refuses; its callers come back with other requests.
		<-time.After(time.Duration(rng.IntN(50)) * time.Millisecond)
	}
}

// printLog prints the log lines about a request, and those of the stop.
func (l *stopLoad) printLog(t *testing.T, id string) {
	for _, e := range l.lines.Entries {
		if e.Fields["request"] == model.RequestID(id) || strings.HasPrefix(e.Message, "host: ") {
			t.Logf("%v %s %v", e.Timestamp.Sub(l.stopAt), e.Message, e.Fields)
		}
	}
}

// check checks that each request has an answer, unless its loss is excused.
func (l *stopLoad) check(t *testing.T) {
	runs := make(map[string]int)
	for _, r := range l.f.replicas {
		for _, e := range r.Executions() {
			runs[e.ID]++
		}
	}
	statuses := make(map[int]int)
	crossed, cut := 0, 0
	for _, r := range l.sent {
		statuses[r.response.status]++
		notRun := r.response.status == http.StatusServiceUnavailable
		if notRun && runs[r.id] > 0 || !notRun && r.response.status != 0 && runs[r.id] == 0 {
			t.Errorf("%s %s: status %d after %d runs", r.id, r.route, r.response.status, runs[r.id])
		}
		if !r.response.truncated {
			continue
		}
		lateEnd := r.end.Sub(l.stopAt) >= stopGrace*5/6
		switch {
		case r.response.status == 0 && runs[r.id] == 0 && (r.response.unread && lateEnd || l.ran(r) <= lossSlack):
			crossed++
		case r.response.status != 0 && lateEnd && r.sentAt.Sub(l.stopAt) <= stopLinger:
			cut++
		case r.response.status != 0 && r.end.Sub(r.sentAt) >= callerTimeout:
		default:
			t.Errorf("%s %s: no whole answer: sent %v and ended %v after the stop, ran %v, status %d, %d runs, %d bytes",
				r.id, r.route, r.sentAt.Sub(l.stopAt), r.end.Sub(l.stopAt), l.ran(r), r.response.status, runs[r.id], len(r.response.body))
			l.printLog(t, r.id)
		}
	}
	t.Logf("%d requests, by status %v; %d not read when their connection was closed, %d streams cut at the end", len(l.sent), statuses, crossed, cut)
	must.Positive(t, statuses[http.StatusOK])
}
