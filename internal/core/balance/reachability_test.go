package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// lookup returns a request to a plain service.
func lookup() balance.Request {
	return balance.Request{Pool: "services", Target: 300 * time.Millisecond}
}

// addSouth lists n more services in the failure domain south.
func (b *fixture) addSouth(n int) {
	for i := range n {
		name := model.EndpointName(fmt.Sprintf("south-%d", i))
		b.Apply(directory.Change{Entry: directory.Entry{Name: name, Pool: "services", Address: string(name), Domain: "south", Slots: 4}})
	}
}

// answerChecks records the same result for all checks that are due, and returns
// their number.
func (b *fixture) answerChecks(now time.Time, reached bool) int {
	checks := b.StartChecks(now)
	for _, c := range checks {
		b.RecordCheck(now, c.Endpoint, reached)
	}
	return len(checks)
}

// endpointsUsed returns the endpoints that some requests are placed on.
func (b *fixture) endpointsUsed(now time.Time) map[model.EndpointName]bool {
	out := make(map[model.EndpointName]bool)
	for range 20 {
		id, d := b.submit(now, lookup())
		out[d.Endpoint] = true
		defer b.Finish(now, id, balance.Result{})
	}
	return out
}

// An endpoint to which no connection could be opened must get requests again
// only after a check has succeeded, however much time passes.
func TestUnreachableEndpointReturnsAfterSuccessfulCheck(t *testing.T) {
	b := newFixture(2)
	id, d := b.submit(at(0), lookup())
	b.Finish(at(0), id, balance.Result{Failure: balance.FailureUnreachable})
	bad := d.Endpoint
	b.SetPeerLoad(at(0), "host-of-"+"north", "north", nil, nil)
	must.Eq(t, 0, len(b.StartChecks(at(0))), must.Sprint("an immediate check would have the same result"))
	must.MapNotContainsKey(t, b.endpointsUsed(at(30*time.Second)), bad)
	must.Eq(t, 1, b.answerChecks(at(30*time.Second), false))
	must.MapNotContainsKey(t, b.endpointsUsed(at(31*time.Second)), bad)
	must.Eq(t, 1, b.answerChecks(at(31*time.Second), true))
	must.MapContainsKey(t, b.endpointsUsed(at(32*time.Second)), bad)
}

// An endpoint that restarted under another name at its address is idle and
// looks best. It must get no requests until the endpoint list shows the change.
func TestReplacedEndpointGetsNoRequestsUntilListed(t *testing.T) {
	b := newFixture(2)
	id, d := b.submit(at(0), lookup())
	b.Finish(at(0), id, balance.Result{Failure: balance.FailureReplaced})
	must.MapNotContainsKey(t, b.endpointsUsed(at(time.Second)), d.Endpoint)
	must.MapLen(t, 2, b.endpointsUsed(at(20*time.Second)))
}

// When a domain falls silent while its endpoints still hold open connections,
// requests must move to other domains before any of them has failed there.
func TestSilentDomainIsCheckedAndAvoided(t *testing.T) {
	b := newFixture(1)
	b.addSouth(4)
	b.SetPeerLoad(at(0), "host-of-"+"north", "north", nil, nil)
	b.SetPeerLoad(at(0), "host-of-"+"south", "south", nil, nil)
	must.Eq(t, 0, len(b.StartChecks(at(200*time.Millisecond))))
	b.SetPeerLoad(at(300*time.Millisecond), "host-of-"+"north", "north", nil, nil)
	checks := b.StartChecks(at(300 * time.Millisecond))
	must.Len(t, 3, checks)
	for _, c := range checks {
		must.StrHasPrefix(t, "south", string(c.Endpoint))
		b.RecordCheck(at(500*time.Millisecond), c.Endpoint, false)
	}
	must.Eq(t, []balance.DomainChange{{Domain: "south", Unreachable: true}}, b.TakeDomainChanges())
	must.Eq(t, map[model.EndpointName]bool{"services-0": true}, b.endpointsUsed(at(500*time.Millisecond)))
	b.SetPeerLoad(at(600*time.Millisecond), "host-of-"+"north", "north", nil, nil)
	must.Eq(t, 1, b.answerChecks(at(700*time.Millisecond), true), must.Sprint("one endpoint of an unreachable domain is checked"))
	must.Eq(t, []balance.DomainChange{{Domain: "south"}}, b.TakeDomainChanges())
	b.answerChecks(at(700*time.Millisecond), true)
	must.MapLen(t, 5, b.endpointsUsed(at(700*time.Millisecond)))
}

// A domain with one successful check must stay reachable, whatever the result
// of the other checks.
func TestDomainWithOneReachableEndpointIsReachable(t *testing.T) {
	b := newFixture(1)
	b.addSouth(4)
	b.SetPeerLoad(at(0), "host-of-"+"south", "south", nil, nil)
	for i, c := range b.StartChecks(at(time.Second)) {
		b.RecordCheck(at(time.Second), c.Endpoint, i == 0)
	}
	must.SliceEmpty(t, b.TakeDomainChanges())
	must.MapContainsKeys(t, b.endpointsUsed(at(time.Second)), []model.EndpointName{"services-0"})
}

// Hosts without requests send digests less often. This must soon stop causing
// checks.
func TestIdleDomainIsNotChecked(t *testing.T) {
	b := newFixture(1)
	b.addSouth(2)
	for i := range 40 {
		now := at(time.Duration(i) * time.Second)
		checks := b.answerChecks(now.Add(-time.Millisecond), true)
		must.True(t, checks == 0 || i < 3, must.Sprint("second ", i))
		b.SetPeerLoad(now, "host-of-"+"south", "south", nil, nil)
		b.SetPeerLoad(now, "host-of-"+"north", "north", nil, nil)
	}
}

// While messages arrive from a domain, no check is needed.
func TestDomainInContactIsNotChecked(t *testing.T) {
	b := newFixture(1)
	b.addSouth(2)
	for i := range 100 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		b.SetPeerLoad(now, "host-of-"+"south", "south", nil, nil)
		b.SetPeerLoad(now, "host-of-"+"north", "north", nil, nil)
		must.Eq(t, 0, len(b.StartChecks(now)))
	}
	must.SliceEmpty(t, b.StartChecks(at(time.Minute)), must.Sprint("a domain that has been silent for long is not checked"))
}

// When a host in a partitioned domain has one reachable service left and that
// service fails a request, the retry must go there again and not to an endpoint
// in an unreachable domain.
func TestRetriesStayInReachableDomain(t *testing.T) {
	b := newFixture(1)
	b.addSouth(3)
	b.SetPeerLoad(at(0), "host-of-"+"south", "south", nil, nil)
	b.answerChecks(at(time.Second), false)
	req := lookup()
	req.Avoid = []model.EndpointName{"services-0"}
	_, d := b.submit(at(time.Second), req)
	must.Eq(t, "services-0", d.Endpoint)
}

// When all domains are unreachable, the endpoints that were not found
// unreachable themselves must still be tried.
func TestUnreachableDomainsAreUsedLast(t *testing.T) {
	b := newFixture(0)
	b.addSouth(5)
	b.SetPeerLoad(at(0), "host-of-"+"south", "south", nil, nil)
	must.Eq(t, 3, b.answerChecks(at(time.Second), false))
	must.MapLen(t, 2, b.endpointsUsed(at(time.Second)))
}

// An endpoint that is removed during a check must not block the next round of
// checks or make its domain unreachable.
func TestEndpointRemovedDuringCheck(t *testing.T) {
	b := newFixture(1)
	b.addSouth(1)
	b.SetPeerLoad(at(0), "host-of-"+"south", "south", nil, nil)
	checks := b.StartChecks(at(time.Second))
	must.Len(t, 1, checks)
	gone := directory.Entry{Name: checks[0].Endpoint, Pool: "services", Domain: "south"}
	b.Apply(directory.Change{Entry: gone, Removed: true})
	b.RecordCheck(at(time.Second), checks[0].Endpoint, false)
	b.addSouth(1)
	must.Eq(t, 1, b.answerChecks(at(3*time.Second), true), must.Sprint("the next round starts"))
	must.SliceEmpty(t, b.TakeDomainChanges())
}

// Of three checks of a domain, one succeeds at once and two fail later. The domain is
// reachable.
func TestDomainWithSuccessfulCheckStaysReachable(t *testing.T) {
	b := newFixture(1)
	b.addSouth(3)
	b.RecordPeerHeartbeat(at(0), "south-host", "south", nil)
	checks := b.StartChecks(at(5 * time.Second))
	must.Len(t, 3, checks)
	b.RecordCheck(at(5*time.Second), checks[0].Endpoint, true)
	b.RecordCheck(at(5500*time.Millisecond), checks[1].Endpoint, false)
	b.RecordCheck(at(6*time.Second), checks[2].Endpoint, false)
	must.SliceEmpty(t, b.TakeDomainChanges())
}
