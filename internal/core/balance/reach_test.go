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

func lookup() balance.Request {
	return balance.Request{Pool: "services", Target: 300 * time.Millisecond}
}

// addSouth lists n more services in the domain south.
func (b *bench) addSouth(n int) {
	for i := range n {
		name := model.EndpointName(fmt.Sprintf("south-%d", i))
		b.Apply(directory.Change{Entry: directory.Entry{Name: name, Pool: "services", Address: string(name), Domain: "south", Slots: 4}})
	}
}

// answerChecks answers the checks that are asked for, and returns their number.
func (b *bench) answerChecks(now time.Time, reached bool) int {
	checks := b.Checks(now)
	for _, c := range checks {
		b.Checked(now, c.Endpoint, reached)
	}
	return len(checks)
}

// used returns the endpoints that some requests go to.
func (b *bench) used(now time.Time) map[model.EndpointName]bool {
	out := make(map[model.EndpointName]bool)
	for range 20 {
		id, d := b.submit(now, lookup())
		out[d.Endpoint] = true
		defer b.Finish(now, id, balance.Result{})
	}
	return out
}

// An endpoint to which no connection could be opened gets requests again when a
// check has succeeded, and not by the passing of time.
func TestUnreachableEndpointsComeBackByACheck(t *testing.T) {
	b := newBench(2)
	id, d := b.submit(at(0), lookup())
	b.Finish(at(0), id, balance.Result{Failure: balance.FailureUnreachable})
	bad := d.Endpoint
	b.SetPeer(at(0), "host-of-"+"north", "north", nil, nil)
	must.Eq(t, 0, len(b.Checks(at(0))), must.Sprint("a check at once would tell the same"))
	must.MapNotContainsKey(t, b.used(at(30*time.Second)), bad)
	must.Eq(t, 1, b.answerChecks(at(30*time.Second), false))
	must.MapNotContainsKey(t, b.used(at(31*time.Second)), bad)
	must.Eq(t, 1, b.answerChecks(at(31*time.Second), true))
	must.MapContainsKey(t, b.used(at(32*time.Second)), bad)
}

// Load: an endpoint has restarted under another name at its address, idle, so
// that it looks best until the list shows it.
func TestReplacedEndpointsWaitForTheList(t *testing.T) {
	b := newBench(2)
	id, d := b.submit(at(0), lookup())
	b.Finish(at(0), id, balance.Result{Failure: balance.FailureReplaced})
	must.MapNotContainsKey(t, b.used(at(time.Second)), d.Endpoint)
	must.MapLen(t, 2, b.used(at(20*time.Second)))
}

// Load: nothing comes from a domain any more while its endpoints still have
// connections. Requests stay away from it before any of them has failed there.
func TestSilentDomainsAreCheckedAndLeft(t *testing.T) {
	b := newBench(1)
	b.addSouth(4)
	b.SetPeer(at(0), "host-of-"+"north", "north", nil, nil)
	b.SetPeer(at(0), "host-of-"+"south", "south", nil, nil)
	must.Eq(t, 0, len(b.Checks(at(200*time.Millisecond))))
	b.SetPeer(at(300*time.Millisecond), "host-of-"+"north", "north", nil, nil)
	checks := b.Checks(at(300 * time.Millisecond))
	must.Len(t, 3, checks)
	for _, c := range checks {
		must.StrHasPrefix(t, "south", string(c.Endpoint))
		b.Checked(at(500*time.Millisecond), c.Endpoint, false)
	}
	must.Eq(t, []balance.DomainChange{{Domain: "south", CutOff: true}}, b.DomainChanges())
	must.Eq(t, map[model.EndpointName]bool{"services-0": true}, b.used(at(500*time.Millisecond)))
	b.SetPeer(at(600*time.Millisecond), "host-of-"+"north", "north", nil, nil)
	must.Eq(t, 1, b.answerChecks(at(700*time.Millisecond), true), must.Sprint("one endpoint of a cut domain is checked"))
	must.Eq(t, []balance.DomainChange{{Domain: "south"}}, b.DomainChanges())
	b.answerChecks(at(700*time.Millisecond), true)
	must.MapLen(t, 5, b.used(at(700*time.Millisecond)))
}

// A domain of which one endpoint answers is not cut off, whatever the others do.
func TestOneReachableEndpointIsEnough(t *testing.T) {
	b := newBench(1)
	b.addSouth(4)
	b.SetPeer(at(0), "host-of-"+"south", "south", nil, nil)
	for i, c := range b.Checks(at(time.Second)) {
		b.Checked(at(time.Second), c.Endpoint, i == 0)
	}
	must.SliceEmpty(t, b.DomainChanges())
	must.MapContainsKeys(t, b.used(at(time.Second)), []model.EndpointName{"services-0"})
}

// Hosts without requests tell less often, which is soon no reason for a check.
func TestIdleDomainsAreNotChecked(t *testing.T) {
	b := newBench(1)
	b.addSouth(2)
	for i := range 40 {
		now := at(time.Duration(i) * time.Second)
		checks := b.answerChecks(now.Add(-time.Millisecond), true)
		must.True(t, checks == 0 || i < 3, must.Sprint("second ", i))
		b.SetPeer(now, "host-of-"+"south", "south", nil, nil)
		b.SetPeer(now, "host-of-"+"north", "north", nil, nil)
	}
}

// Answers from a domain are checks enough.
func TestDomainsThatAnswerAreNotChecked(t *testing.T) {
	b := newBench(1)
	b.addSouth(2)
	for i := range 100 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		b.SetPeer(now, "host-of-"+"south", "south", nil, nil)
		b.SetPeer(now, "host-of-"+"north", "north", nil, nil)
		must.Eq(t, 0, len(b.Checks(now)))
	}
	must.SliceEmpty(t, b.Checks(at(time.Minute)), must.Sprint("nothing is expected of a domain that is silent for long"))
}

// Load: hosts of a cut domain have one service left, which fails a lookup. The
// lookup goes there again and not to those behind the cut.
func TestRetriesStayOnThisSideOfACut(t *testing.T) {
	b := newBench(1)
	b.addSouth(3)
	b.SetPeer(at(0), "host-of-"+"south", "south", nil, nil)
	b.answerChecks(at(time.Second), false)
	req := lookup()
	req.Avoid = []model.EndpointName{"services-0"}
	_, d := b.submit(at(time.Second), req)
	must.Eq(t, "services-0", d.Endpoint)
}

// Load: this host is cut off from all endpoints, or their domains are and no
// other is left. Those that were not found unreachable are still tried.
func TestCutDomainsAreTheLastResort(t *testing.T) {
	b := newBench(0)
	b.addSouth(5)
	b.SetPeer(at(0), "host-of-"+"south", "south", nil, nil)
	must.Eq(t, 3, b.answerChecks(at(time.Second), false))
	must.MapLen(t, 2, b.used(at(time.Second)))
}

// Endpoints that leave while they are checked leave nothing behind.
func TestEndpointsMayLeaveWhileTheyAreChecked(t *testing.T) {
	b := newBench(1)
	b.addSouth(1)
	b.SetPeer(at(0), "host-of-"+"south", "south", nil, nil)
	checks := b.Checks(at(time.Second))
	must.Len(t, 1, checks)
	gone := directory.Entry{Name: checks[0].Endpoint, Pool: "services", Domain: "south"}
	b.Apply(directory.Change{Entry: gone, Gone: true})
	b.Checked(at(time.Second), checks[0].Endpoint, false)
	b.addSouth(1)
	must.Eq(t, 1, b.answerChecks(at(3*time.Second), true), must.Sprint("the next round begins"))
	must.SliceEmpty(t, b.DomainChanges())
}
