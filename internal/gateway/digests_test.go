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

// fleetOfHosts is some hosts that hear each other through their mailboxes.
type fleetOfHosts struct {
	hosts map[string]*control
	sent  int
}

func newFleetOfHosts(domains, each int) *fleetOfHosts {
	f := &fleetOfHosts{hosts: make(map[string]*control)}
	for d := range domains {
		for i := range each {
			name := fmt.Sprintf("h-%d-%d", d, i)
			g := New(Options{
				Host: model.HostID(name), Domain: model.DomainName(fmt.Sprint("d", d)), PeerAddress: name, Link: 100, Peers: &askedPeers{},
				ShareEvery: 40 * time.Millisecond, Budget: attempt.SharedBudgetOptions{Window: 10 * time.Second}, Log: &log.Logger{Handler: discard.New()},
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
					mailbox: make(chan port.LoadDigest, 1), stop: func() {}, heard: at(0),
					host: o.gateway.opts.Host, domain: o.gateway.opts.Domain, link: 100,
				}
			}
		}
	}
	return f
}

// run lets all hosts tell each other for a while.
func (f *fleetOfHosts) run(from, until time.Duration) {
	for now := from; now < until; now += tickEvery {
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
						to.digestCame(at(now), d)
					}
				default:
				}
			}
		}
	}
}

// submit begins requests at a host.
func (c *control) submit(now time.Time, count int) {
	for i := range count {
		id := model.RequestID(fmt.Sprintf("%s-%d-%d", c.gateway.opts.Host, now.UnixNano(), i))
		c.balancer.Submit(now, balance.Request{ID: id, Pool: "p", Target: time.Second, Arrived: now})
	}
}

// known is the number of requests that a host knows to be in progress.
func (c *control) known(now time.Time) int {
	d := c.balancer.Submit(now, balance.Request{ID: "probe", Pool: "p", Target: time.Second, Arrived: now})
	c.balancer.Finish(now, "probe", balance.Result{})
	return d.InFlight
}

// Load: one, three and fifteen hosts a domain. Each knows the work of all others
// half a second after it has changed, and counts none twice.
func TestAllHostsKnowTheWorkOfAll(t *testing.T) {
	for _, each := range []int{1, 3, 15} {
		f := newFleetOfHosts(4, each)
		total := 0
		f.run(0, time.Second)
		for _, c := range f.hosts {
			total += 2
			c.submit(at(time.Second), 2)
		}
		f.run(time.Second, 1500*time.Millisecond)
		for name, c := range f.hosts {
			must.Eq(t, total, c.known(at(1500*time.Millisecond)), must.Sprintf("%s of %d a domain", name, each))
		}
	}
}

// Load: the relays of all domains vanish. The others take their place and know
// the work of all that are left within some seconds.
func TestRelaysAreReplaced(t *testing.T) {
	f := newFleetOfHosts(4, 15)
	f.run(0, time.Second)
	lost := 0
	for name, c := range f.hosts {
		if c.peers.digests.relaying {
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
		must.Eq(t, total, c.known(at(7500*time.Millisecond)), must.Sprint(name))
	}
}

// With relays a host of a large domain sends a tenth of the digests.
func TestRelaysSpareDigests(t *testing.T) {
	f := newFleetOfHosts(4, 15)
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
