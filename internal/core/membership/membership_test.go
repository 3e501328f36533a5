package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const every = 200 * time.Millisecond

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newTestTable(name, domain string, seeds ...string) *Table {
	return New(Options{
		Host: model.HostID(name), Incarnation: 1, Domain: model.DomainName(domain),
		Address: name + ":1", Seeds: seeds, RoundInterval: every,
	})
}

func newHeartbeat(incarnation model.Incarnation, sequence uint64, state State) Heartbeat {
	return Heartbeat{
		Host: "b", Incarnation: incarnation, Domain: "east", Address: "b:1",
		State: state, Sequence: sequence, Version: 3,
	}
}

func TestReceiveKeepsNewestIncarnation(t *testing.T) {
	cases := []struct {
		name  string
		beats []Heartbeat
		want  State
	}{
		{"first", []Heartbeat{newHeartbeat(1, 1, Ready)}, Ready},
		{"older incarnation", []Heartbeat{newHeartbeat(2, 1, Ready), newHeartbeat(1, 9, Starting)}, Ready},
		{"newer incarnation", []Heartbeat{newHeartbeat(1, 9, Leaving), newHeartbeat(2, 1, Starting)}, Starting},
		{"out of order", []Heartbeat{newHeartbeat(1, 5, Ready), newHeartbeat(1, 4, Starting)}, Ready},
		{"leaving is final", []Heartbeat{newHeartbeat(1, 5, Leaving), newHeartbeat(1, 6, Ready)}, Leaving},
	}
	for _, c := range cases {
		tab := newTestTable("a", "east")
		for _, b := range c.beats {
			tab.Receive(start, b)
		}
		must.Eq(t, c.want, tab.Members(start)[1].State, must.Sprint(c.name))
	}
}

func TestSilentHostBecomesSuspectThenGone(t *testing.T) {
	tab := newTestTable("a", "east")
	tab.Receive(start, newHeartbeat(1, 1, Ready))
	for _, c := range []struct {
		after time.Duration
		want  Health
		views int
	}{{900 * time.Millisecond, Live, 2}, {1100 * time.Millisecond, Suspect, 2}, {5 * time.Second, Gone, 1}} {
		now := start.Add(c.after)
		must.Eq(t, c.want, tab.Members(now)[1].Health)
		must.Len(t, c.views, tab.View(now).Hosts)
	}
}

func TestHostListAddsContactsButNoLiveHosts(t *testing.T) {
	tab := newTestTable("a", "east")
	tab.SetHostList(start, []ListedHost{{Host: "b", Domain: "east", Address: "b:1"}, {Host: "a", Domain: "east", Address: "a:1", Leaving: true}})
	must.Len(t, 1, tab.Members(start))
	// The lagging list still contains this host's predecessor.
	must.False(t, tab.IsListedAsLeaving())
	tab.SetHostList(start, []ListedHost{{Host: "a", Domain: "east", Address: "a:1"}})
	tab.SetHostList(start, []ListedHost{{Host: "a", Domain: "east", Address: "a:1", Leaving: true}})
	must.True(t, tab.IsListedAsLeaving())
	targets, _ := tab.Round(start, nil)
	must.Eq(t, []string{"b:1"}, targets)
	tab.Receive(start, newHeartbeat(1, 1, Ready))
	tab.SetHostList(start, nil)
	must.Eq(t, Live, tab.Members(start)[1].Health)
}

func TestOlderDigestIsIgnored(t *testing.T) {
	tab := newTestTable("a", "east")
	carry := func(sequence uint64, version model.Version) {
		b := newHeartbeat(1, sequence, Ready)
		b.Domains = []Digest{{Domain: "west", Sequence: sequence, Version: version, Gateways: []string{"w:1"}}}
		tab.Receive(start, b)
	}
	carry(7, 5)
	carry(6, 4)
	version, address := tab.NewestVersion(start)
	must.Eq(t, 5, version)
	must.Eq(t, "w:1", address)
	must.Eq(t, "w:1", tab.Gateway(start, "west"))
	must.Eq(t, "", tab.Gateway(start.Add(digestTTL), "west"))
}

// fleet is a set of tables that exchange heartbeats in memory.
type fleet struct {
	tables map[string]*Table
	calls  int
}

func newFleet(domains, hosts int) *fleet {
	f := &fleet{tables: make(map[string]*Table)}
	for d := range domains {
		for h := range hosts {
			name := fmt.Sprintf("h-%d-%d", d, h)
			t := newTestTable(name, fmt.Sprint("d", d), "h-0-0:1", fmt.Sprintf("h-%d-0:1", d))
			t.UpdateSelf(Ready, 1, dispatch.PeerHost{}, nil)
			f.tables[name+":1"] = t
		}
	}
	return f
}

func (f *fleet) round(now time.Time) {
	for _, t := range f.tables {
		targets, b := t.Round(now, nil)
		f.calls += len(targets)
		for _, address := range targets {
			f.tables[address].Receive(now, b)
			t.Receive(now, f.tables[address].Heartbeat(now, nil))
		}
	}
}

func TestHostsFindEachOtherFromOneSeed(t *testing.T) {
	f := newFleet(4, 8)
	now := start
	for range 100 {
		now = now.Add(every)
		f.round(now)
	}
	for _, tab := range f.tables {
		must.Len(t, 8, tab.Members(now))
		must.Len(t, 3, tab.Domains(now))
		must.Len(t, 8, tab.View(now).Hosts)
		must.Len(t, 3, tab.View(now).Domains)
	}
	must.LessEq(t, 100*4*8*(localTargetsPerRound+1), f.calls)
}

// sendTrimmed delivers the trimmed heartbeat of one table to another and
// returns it.
func sendTrimmed(now time.Time, from, to *Table) Heartbeat {
	b := from.TrimFor(from.Heartbeat(now, []dispatch.PoolRoom{{Pool: "p", Room: 1}}), to.opts.Address)
	to.Receive(now, b)
	return b
}

func TestAcknowledgedWorkIsOmitted(t *testing.T) {
	work := func(n int) dispatch.PeerHost {
		return dispatch.PeerHost{InFlight: []dispatch.EndpointCount{{Endpoint: "e", Count: n}}}
	}
	a, b := newTestTable("a", "east"), newTestTable("b", "east")
	steps := []struct {
		name  string
		count int
		// restart replaces the receiver by one with empty state.
		restart   bool
		unchanged bool
	}{
		{"unknown peer", 3, false, false},
		{"peer acknowledged it", 3, false, true},
		{"changed work", 4, false, false},
		{"acknowledged again", 4, false, true},
		{"peer restarted", 4, true, true},
		{"sent in full again", 4, false, false},
	}
	for _, s := range steps {
		if s.restart {
			b = newTestTable("b", "east")
			b.opts.Incarnation, b.self.Incarnation = 2, 2
		}
		a.UpdateSelf(Ready, 1, work(s.count), nil)
		b.UpdateSelf(Ready, 1, dispatch.PeerHost{}, nil)
		sent := sendTrimmed(start, a, b)
		must.Eq(t, s.unchanged, sent.WorkUnchanged, must.Sprint(s.name))
		if !s.restart {
			must.Eq(t, work(s.count).InFlight, b.View(start).Hosts[0].InFlight, must.Sprint(s.name))
		}
		sendTrimmed(start, b, a)
	}
}

func TestTrimOmitsContentUnusedByReceiver(t *testing.T) {
	a, local, remote := newTestTable("a", "east"), newTestTable("b", "east"), newTestTable("c", "west")
	a.UpdateSelf(Ready, 1, dispatch.PeerHost{InFlight: []dispatch.EndpointCount{{Endpoint: "e", Count: 1}}}, nil)
	sendTrimmed(start, local, a)
	sendTrimmed(start, remote, a)
	must.SliceEmpty(t, sendTrimmed(start, a, remote).Work.InFlight)
	must.Len(t, 1, sendTrimmed(start, a, remote).Domains[0].FreeRoom)
	must.SliceEmpty(t, sendTrimmed(start, a, local).Domains[0].FreeRoom)
}

func TestRoundLengthDependsOnDomainSize(t *testing.T) {
	for _, c := range []struct {
		hosts, rounds, urgent int
		gone                  time.Duration
	}{{9, 16, 0, 8 * time.Second}, {32, 16, 0, 32 * time.Second}, {64, 8, 63, 128 * time.Second}, {256, 8, 255, 512 * time.Second}} {
		tab := newTestTable("a", "east")
		for i := range c.hosts - 1 {
			b := newHeartbeat(1, 1, Ready)
			b.Host = model.HostID(fmt.Sprint("h", i))
			b.Address = fmt.Sprint("h", i, ":1")
			tab.Receive(start, b)
		}
		rounds := 0
		for range 16 {
			if targets, _ := tab.Round(start, nil); len(targets) > 0 {
				rounds++
			}
		}
		must.Eq(t, c.rounds, rounds, must.Sprint(c.hosts))
		must.Len(t, c.urgent, tab.UrgentTargets())
		must.Eq(t, Gone, tab.Members(start.Add(c.gone))[1].Health, must.Sprint(c.hosts))
		must.Eq(t, Suspect, tab.Members(start.Add(c.gone - time.Millisecond))[1].Health, must.Sprint(c.hosts))
	}
}
