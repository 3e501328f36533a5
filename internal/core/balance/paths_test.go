package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// otherPaths are the endpoints that other hosts reach.
type otherPaths map[balance.EndpointKey]bool

func (o otherPaths) Reaches(_ time.Time, key balance.EndpointKey) bool { return o[key] }

// newTwoDomains returns a fixture with n services in each of two failure domains, all of
// which other hosts reach.
func newTwoDomains(n int) *fixture {
	others := make(otherPaths)
	b := &fixture{Balancer: balance.New(balance.Options{
		Domain: "north", Others: others, Budget: attempt.SharedBudgetOptions{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	})}
	b.SetPools([]routing.Pool{{Name: "services"}})
	for i := range 2 * n {
		domain := []model.DomainName{"north", "south"}[i%2]
		name := model.EndpointName(string(domain) + "-" + string(rune('a'+i/2)))
		b.Apply(directory.Change{Entry: directory.Entry{Name: name, Pool: "services", Address: string(name), Domain: domain, Slots: 4}})
		others[balance.KeyOf(name)] = true
	}
	return b
}

// hear records digests of the hosts in both domains, which stay in touch.
func (b *fixture) hear(now time.Time) {
	b.SetPeerLoad(now, "host-of-north", "north", nil, nil)
	b.SetPeerLoad(now, "host-of-south", "south", nil, nil)
}

// failUntilLost breaks all requests, one every 10 ms, unless they hang, and fails all checks
// after a time until the paths are lost. It returns how long that took.
func (b *fixture) failUntilLost(from time.Time, checkTime time.Duration, hang bool) time.Duration {
	type openCheck struct {
		balance.Check
		ends time.Time
	}
	var open []openCheck
	for now := from; now.Sub(from) < 5*time.Second; now = now.Add(10 * time.Millisecond) {
		b.hear(now)
		for _, c := range b.StartChecks(now) {
			open = append(open, openCheck{c, now.Add(checkTime)})
		}
		for len(open) > 0 && !now.Before(open[0].ends) {
			b.RecordCheck(now, open[0].Endpoint, false)
			open = open[1:]
		}
		if b.HasLostPaths() {
			return now.Sub(from)
		}
		if id, d := b.submit(now, lookup()); !d.IsRefused() && !hang {
			b.Finish(now, id, balance.Result{Failure: balance.FailureBroken})
		}
	}
	return time.Hour
}

// A host knows soon that it has no paths, although the other hosts stay in touch.
func TestLostPathsAreKnownSoon(t *testing.T) {
	for _, c := range []struct {
		name      string
		checkTime time.Duration
		hang      bool
		within    time.Duration
	}{
		{"connections are refused", 0, false, 100 * time.Millisecond},
		{"new connections hang", 200 * time.Millisecond, false, 500 * time.Millisecond},
		{"all connections hang", 200 * time.Millisecond, true, 800 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTwoDomains(6)
			b.hear(at(0))
			must.LessEq(t, c.within, b.failUntilLost(at(time.Second), c.checkTime, c.hang))
		})
	}
}

// A host that gets an answer in between has paths.
func TestFailuresAmongAnswersAreNoLossOfPaths(t *testing.T) {
	b := newTwoDomains(6)
	for i := range 40 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		b.hear(now)
		id, d := b.submit(now, lookup())
		must.False(t, d.IsRefused())
		if i%2 == 0 {
			b.Finish(now, id, balance.Result{Failure: balance.FailureBroken})
			continue
		}
		b.RecordFirstResponse(now, id)
		b.Finish(now, id, balance.Result{})
		must.False(t, b.ArePathsSuspect(now))
	}
}

// Without paths, requests go through other hosts; with them again, only to endpoints that were checked.
func TestRequestsGoThroughOthersUntilEndpointsAreChecked(t *testing.T) {
	b := newTwoDomains(6)
	b.failUntilLost(at(time.Second), 0, false)
	now := at(2 * time.Second)
	_, d := b.submit(now, lookup())
	must.True(t, d.Indirect)
	must.False(t, d.IsRefused())
	checks := b.StartChecks(now.Add(time.Second))
	must.Len(t, 2, checks, must.Sprint("one endpoint of each domain is checked"))
	b.RecordCheck(now.Add(time.Second), checks[0].Endpoint, true)
	now = now.Add(time.Second)
	b.StartChecks(now)
	must.False(t, b.HasLostPaths())
	for range 5 {
		_, d = b.submit(now, lookup())
		must.False(t, d.Indirect)
		must.Eq(t, checks[0].Endpoint, d.Endpoint)
	}
}

// An endpoint that cannot be reached alone is down: others are not asked to try it.
func TestUnreachableEndpointIsNotTriedThroughOthers(t *testing.T) {
	b := newTwoDomains(1)
	id, d := b.submit(at(0), lookup())
	b.Finish(at(0), id, balance.Result{Failure: balance.FailureUnreachable})
	first := d.Endpoint
	_, d = b.submit(at(0), lookup())
	must.False(t, d.Indirect)
	must.NotEq(t, first, d.Endpoint)
}

// What a host without paths has seen is no evidence against the endpoints.
func TestLossOfPathsIsNoEvidenceAgainstEndpoints(t *testing.T) {
	b := newTwoDomains(6)
	b.failUntilLost(at(time.Second), 0, false)
	report := b.PathReport()
	must.True(t, report.Lost)
	must.Eq(t, 12, report.Unreached)
	must.SliceEmpty(t, report.Keys)
	for i := range 12 {
		_, d := b.submit(at(2*time.Second), lookup())
		must.True(t, d.Indirect, must.Sprint(i))
	}
}

// The return of many endpoints must not open connections to all of them at once.
func TestReturningEndpointsAreCheckedAFewAtATime(t *testing.T) {
	b := newTwoDomains(60)
	b.failUntilLost(at(time.Second), 0, false)
	now := at(3 * time.Second)
	for _, c := range b.StartChecks(now) {
		b.RecordCheck(now, c.Endpoint, true)
	}
	unchecked := b.PathReport().Unreached
	for unchecked > 0 {
		now = now.Add(20 * time.Millisecond)
		checks := b.StartChecks(now)
		must.Positive(t, len(checks))
		must.LessEq(t, 16, len(checks))
		for _, c := range checks {
			b.RecordCheck(now, c.Endpoint, true)
		}
		must.Less(t, unchecked, b.PathReport().Unreached)
		unchecked = b.PathReport().Unreached
	}
	must.False(t, b.PathReport().Returning)
}

// A pool whose only domain this host has lost is reached through other hosts.
func TestLostDomainIsReachedThroughOthers(t *testing.T) {
	b := newTwoDomains(4)
	for i := range 4 {
		b.Apply(directory.Change{Entry: directory.Entry{Name: model.EndpointName("north-" + string(rune('a'+i))), Pool: "services"}, Removed: true})
	}
	b.Apply(directory.Change{Entry: directory.Entry{Name: "other", Pool: "others", Address: "other", Domain: "north", Slots: 4}})
	b.hear(at(0))
	for now := at(time.Second); now.Before(at(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		b.hear(now)
		for _, c := range b.StartChecks(now) {
			b.RecordCheck(now, c.Endpoint, c.Endpoint == "other")
		}
		if id, d := b.submit(now, lookup()); !d.IsRefused() && !d.Indirect {
			b.Finish(now, id, balance.Result{Failure: balance.FailureUnreachable})
		}
	}
	must.False(t, b.HasLostPaths())
	_, d := b.submit(at(3*time.Second), lookup())
	must.False(t, d.IsRefused())
	must.True(t, d.Indirect)
}

// A pool of which a host reaches nothing is reached through other hosts, though other pools of
// the same domains answer it.
func TestPoolWithoutPathsIsReachedThroughOthers(t *testing.T) {
	b := newTwoDomains(2)
	for _, domain := range []model.DomainName{"north", "south"} {
		b.Apply(directory.Change{Entry: directory.Entry{
			Name: model.EndpointName("other-" + domain), Pool: "others", Address: string(domain), Domain: domain, Slots: 4,
		}})
	}
	for now := at(0); now.Before(at(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		b.hear(now)
		for _, c := range b.StartChecks(now) {
			b.RecordCheck(now, c.Endpoint, c.Endpoint == "other-north" || c.Endpoint == "other-south")
		}
		if id, d := b.submit(now, lookup()); !d.IsRefused() && !d.Indirect {
			b.Finish(now, id, balance.Result{Failure: balance.FailureUnreachable})
		}
	}
	must.False(t, b.HasLostPaths())
	_, d := b.submit(at(3*time.Second), lookup())
	must.False(t, d.IsRefused())
	must.True(t, d.Indirect)
}
