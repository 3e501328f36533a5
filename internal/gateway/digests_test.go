package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// fleet is a set of hosts that exchange digests through their mailboxes.
type fleet struct {
	hosts map[string]*control
	sent  int
}

// newFleet returns hosts that know each other and list one service, in d0.
func newFleet(domains, hostsPerDomain int) *fleet {
	f := &fleet{hosts: make(map[string]*control)}
	for d := range domains {
		for i := range hostsPerDomain {
			name := fmt.Sprintf("h-%d-%d", d, i)
			g := New(Options{
				Host: model.HostID(name), Domain: model.DomainName(fmt.Sprint("d", d)), PeerAddress: name, LinkMbps: 100, Peers: &recordingPeers{},
				MinDigestInterval: 40 * time.Millisecond, Budget: attempt.SharedBudgetOptions{Window: 10 * time.Second}, Log: &log.Logger{Handler: discard.New()},
			})
			g.control.balancer.Apply(directory.Change{Entry: directory.Entry{
				Name: "service", Pool: "p", Address: "a", Domain: "d0", Slots: 100,
			}})
			f.hosts[name] = g.control
		}
	}
	for name, c := range f.hosts {
		for other, o := range f.hosts {
			if other != name {
				c.peers.peers[other] = &peer{
					mailbox: make(chan port.LoadDigest, 1), stop: func() {}, lastSeen: at(0),
					host: o.gateway.opts.Host, domain: o.gateway.opts.Domain, linkMbps: 100,
				}
			}
		}
	}
	return f
}

// run lets all hosts exchange digests for some simulated time.
func (f *fleet) run(from, until time.Duration) {
	for now := from; now < until; now += tickInterval {
		for _, c := range f.hosts {
			c.balancer.ExpirePeers(at(now))
			c.peers.digests.tick(at(now), c)
		}
		for _, c := range f.hosts {
			for address, p := range c.peers.peers {
				select {
				case d := <-p.mailbox:
					f.sent++
					if to := f.hosts[address]; to != nil {
						to.receiveDigest(at(now), d)
					}
				default:
				}
			}
		}
	}
}

// submit starts requests at a host.
func (c *control) submit(now time.Time, count int) {
	for i := range count {
		id := model.RequestID(fmt.Sprintf("%s-%d-%d", c.gateway.opts.Host, now.UnixNano(), i))
		c.balancer.Submit(now, balance.Request{ID: id, Pool: "p", Target: time.Second, Arrived: now})
	}
}

// observedInFlight returns the number of requests in flight as this host sees
// it.
func (c *control) observedInFlight(now time.Time) int {
	d := c.balancer.Submit(now, balance.Request{ID: "probe", Pool: "p", Target: time.Second, Arrived: now})
	c.balancer.Finish(now, "probe", balance.Result{})
	return d.InFlight
}

// With one, three and fifteen hosts per failure domain, each host knows the
// load of all others half a second after it changed, and counts no request
// twice.
func TestAllHostsLearnTotalLoad(t *testing.T) {
	for _, hostsPerDomain := range []int{1, 3, 15} {
		f := newFleet(4, hostsPerDomain)
		total := 0
		f.run(0, time.Second)
		for _, c := range f.hosts {
			total += 2
			c.submit(at(time.Second), 2)
		}
		f.run(time.Second, 1500*time.Millisecond)
		for name, c := range f.hosts {
			must.Eq(t, total, c.observedInFlight(at(1500*time.Millisecond)), must.Sprintf("host %s, %d hosts per domain", name, hostsPerDomain))
		}
	}
}

// The relays of all failure domains vanish. Others replace them, and within
// seconds every remaining host knows the load of all remaining ones.
func TestLostRelaysAreReplaced(t *testing.T) {
	f := newFleet(4, 15)
	f.run(0, time.Second)
	lost := 0
	for name, c := range f.hosts {
		if c.peers.digests.isRelay {
			lost++
			delete(f.hosts, name)
		}
	}
	must.Eq(t, 4*2, lost)
	f.run(time.Second, 7*time.Second)
	total := 0
	for _, c := range f.hosts {
		total += 2
		c.submit(at(7*time.Second), 2)
	}
	f.run(7*time.Second, 7500*time.Millisecond)
	for name, c := range f.hosts {
		must.Eq(t, total, c.observedInFlight(at(7500*time.Millisecond)), must.Sprint(name))
	}
}

// With relays, a host of a large failure domain sends a tenth of the digests.
func TestRelaysReduceDigestCount(t *testing.T) {
	f := newFleet(4, 15)
	f.run(0, 2*time.Second)
	f.sent = 0
	for now := 2 * time.Second; now < 4*time.Second; now += 100 * time.Millisecond {
		for _, c := range f.hosts {
			c.submit(at(now), 1)
		}
		f.run(now, now+100*time.Millisecond)
	}
	const seconds, hosts, changes = 2, 60, 10
	must.Less(t, hosts*(hosts-1)*changes*seconds/5, f.sent)
}
