package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// requestWork lets every host request work for an account.
func (f *fleet) requestWork(account model.AccountName) {
	for _, address := range f.order {
		f.hosts[address].balancer.Accounts().RecordRequested(f.now, "p", account, 100)
	}
}

// useOf returns what an account requests of all hosts, as a host sees it.
func (f *fleet) useOf(address string, account model.AccountName) float64 {
	return f.hosts[address].balancer.Accounts().Standing(f.now, "p", account).Use
}

// All hosts know what an account requests of all others, directly and through relays,
// and forget it when the hosts have stopped.
func TestHostsKnowTheWorkOfAccountsElsewhere(t *testing.T) {
	for _, size := range []struct{ domains, hosts int }{{1, 3}, {3, 4}, {3, 20}} {
		f := newFleet(t, size.domains, size.hosts)
		f.run(8 * time.Second)
		for range 40 {
			f.requestWork("a")
			f.run(250 * time.Millisecond)
		}
		// The rate is 100 ms of work each 250 ms at each host.
		total := 400.0 * float64(size.domains*size.hosts)
		for _, address := range f.order {
			must.Between(t, 0.75*total, f.useOf(address, "a"), 1.2*total, must.Sprint(size, address))
		}
		before := f.useOf(f.order[0], "a")
		stopped := len(f.order) / 2
		for range stopped {
			f.stop(f.order[len(f.order)-1])
		}
		for range 24 {
			f.requestWork("a")
			f.run(250 * time.Millisecond)
		}
		must.Less(t, 0.8*before, f.useOf(f.order[0], "a"), must.Sprint(size))
	}
}

// Work that a relay sends for others is never taken for its own, also when a peer is slow
// and digests are merged.
func TestMergedDigestsKeepWorkOfOneKind(t *testing.T) {
	own, total := []fairshare.Work{{Pool: "p", Account: "a", Rate: 1}}, []fairshare.Work{{Pool: "p", Account: "a", Rate: 9}}
	direct := port.LoadDigest{AccountWork: own}
	relayed := port.LoadDigest{AccountWork: total, ViaRelay: true, LoadsUnchanged: true}
	withdrawn := port.LoadDigest{AccountWork: total, ViaRelay: true}
	for _, c := range []struct{ older, newer port.LoadDigest }{
		{direct, relayed}, {relayed, direct}, {direct, withdrawn}, {withdrawn, relayed}, {relayed, withdrawn}, {withdrawn, direct},
	} {
		merged := mergeDigests(c.older, c.newer)
		want := own
		if merged.ViaRelay {
			want = total
		}
		must.Eq(t, want, merged.AccountWork)
	}
	must.Eq(t, own, mergeDigests(direct, port.LoadDigest{}).AccountWork)
}

// Without accounts nothing is counted or sent.
func TestNoWorkIsSentWithoutAccounts(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.run(time.Second)
	c := f.hosts[f.order[0]]
	c.balancer.Submit(f.now, balance.Request{ID: "r", Pool: "p", Target: time.Second, Arrived: f.now})
	f.run(time.Second)
	must.SliceEmpty(t, c.accounts.direct(f.now.Add(time.Second)))
	must.SliceEmpty(t, c.status(f.now).Accounts)
}
