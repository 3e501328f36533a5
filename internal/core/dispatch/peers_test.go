package dispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// peer returns the digest of another host with the given demand.
func peer(now time.Time, demand ...dispatch.AccountDemand) dispatch.PeerHost {
	return dispatch.PeerHost{Host: "h2", At: now, Demand: demand}
}

// grants submits requests until one is not granted, and returns the number of
// granted ones.
func (b *fixture) grants(now time.Time, class model.ClassName) int {
	for n := 0; ; n++ {
		if _, acts := b.submit(now, class, "big"); len(acts) != 1 || acts[0].Kind != dispatch.ActionGrant {
			return n
		}
	}
}

func TestHostsShareRoom(t *testing.T) {
	b := newFixture(engines(8, "e1"))
	b.SetPeers(at(0), dispatch.PeerView{Hosts: []dispatch.PeerHost{peer(at(0))}})
	must.Eq(t, 4, b.grants(at(1), "draft"), must.Sprint("half of the room"))
}

func TestNewHostHasShareBeforeItsDemandIsKnown(t *testing.T) {
	b := newFixture(engines(16, "e1"))
	id, _ := b.submit(at(0), "draft", "big")
	b.Finish(at(0), id, 1, ran)
	busy := peer(at(0), dispatch.AccountDemand{Account: "big", Class: "draft", Rate: 40})
	b.SetPeers(at(0), dispatch.PeerView{Hosts: []dispatch.PeerHost{busy}})
	must.Eq(t, 2, b.grants(at(1), "draft"))
}

func TestProtectedClassesUseRoomLeftByPeers(t *testing.T) {
	b := newFixture(engines(8, "e1"))
	view := peer(at(0))
	view.InFlight = []dispatch.EndpointCount{{Endpoint: "e1", Count: 1}}
	b.SetPeers(at(0), dispatch.PeerView{Hosts: []dispatch.PeerHost{view}})
	must.Eq(t, 7, b.grants(at(1), "order"))
}

func TestOtherClassesYieldToProtectedRequestsOfPeers(t *testing.T) {
	cases := []struct {
		class   model.ClassName
		granted int
	}{{"order", 0}, {"question", 4}}
	for _, c := range cases {
		b := newFixture(engines(8, "e1"))
		id, _ := b.submit(at(0), "order", "big")
		b.Finish(at(0), id, 1, ran)
		b.SetPeers(at(0), dispatch.PeerView{Hosts: []dispatch.PeerHost{
			peer(at(0), dispatch.AccountDemand{Account: "big", Class: c.class, Queued: 1}),
		}})
		must.Eq(t, c.granted, b.grants(at(1), "draft"))
	}
}

func TestSpillForwardsOnce(t *testing.T) {
	cases := []struct {
		name      string
		room      int
		forwarded bool
		age       time.Duration
		want      dispatch.ActionKind
	}{
		{"room elsewhere", 1, false, 0, dispatch.ActionSpill},
		{"no room elsewhere", 0, false, 0, dispatch.ActionRefuse},
		{"was forwarded", 1, true, 0, dispatch.ActionRefuse},
		{"domain is unreachable", 1, false, 6 * time.Second, dispatch.ActionRefuse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(testConfig("e1"))
			b.SetLeaving(at(0), "e1", true)
			b.SetPeers(at(0), dispatch.PeerView{Domains: []dispatch.PeerDomain{{
				Domain: "b", At: at(0).Add(-c.age), FreeRoom: []dispatch.PoolRoom{{Pool: "engines", Room: c.room}},
			}}})
			req := model.Request{ID: "r", Class: "question", Account: "big", Pool: "engines", Arrived: at(0), Deadline: at(9000), Forwarded: c.forwarded}
			must.Eq(t, []dispatch.ActionKind{c.want}, kinds(b.Submit(at(0), req)))
			req.ID = "second"
			must.Eq(t, dispatch.ActionRefuse, b.Submit(at(0), req)[0].Kind, must.Sprint("the room is used up"))
		})
	}
}

// Guards against a data race: heartbeats send the same digests from other
// goroutines while requests are spilled, so a spill must not modify them.
func TestSpillDoesNotModifyCallersDigests(t *testing.T) {
	b := newFixture(engines(1, "e1"))
	room := []dispatch.PoolRoom{{Pool: "engines", Room: 3, Protected: 3}}
	b.SetPeers(at(0), dispatch.PeerView{Domains: []dispatch.PeerDomain{{Domain: "b", At: at(0), FreeRoom: room}}})
	b.SetLeaving(at(0), "e1", true)
	_, acts := b.submit(at(0), "draft", "big")
	must.Eq(t, []dispatch.ActionKind{dispatch.ActionSpill}, kinds(acts))
	must.Eq(t, []dispatch.PoolRoom{{Pool: "engines", Room: 3, Protected: 3}}, room)
}

func TestProtectedRequestsSpillWhenTheyFillTheDomain(t *testing.T) {
	b := newFixture(testConfig("e1"))
	b.SetPeers(at(0), dispatch.PeerView{Domains: []dispatch.PeerDomain{{
		Domain: "b", At: at(0), FreeRoom: []dispatch.PoolRoom{{Pool: "engines", Protected: 1}},
	}}})
	b.submit(at(0), "order", "big")
	_, acts := b.submit(at(0), "order", "big")
	must.Eq(t, []dispatch.ActionKind{dispatch.ActionSpill}, kinds(acts))
}

func TestFreeRoomExcludesHeadroomAndRequests(t *testing.T) {
	cfg := engines(8, "e1")
	cfg.Classes[0].Headroom = 0.25
	b := newFixture(cfg)
	id, _ := b.submit(at(0), "order", "big")
	b.Finish(at(0), id, 1, ran)
	b.submit(at(0), "draft", "big")
	must.Eq(t, []dispatch.PoolRoom{{Pool: "engines", Room: 5, Protected: 8}}, b.FreeRoom(at(1)))
}

func TestLeavingEndpointGetsNoGrants(t *testing.T) {
	sources := map[string]func(b *fixture){
		"list": func(b *fixture) { b.SetLeaving(at(1), "e1", true) },
		"report": func(b *fixture) {
			b.HandleLoadReport(at(1), dispatch.LoadReport{Endpoint: "e1", Leaving: true, Age: time.Hour})
		},
		"config": func(b *fixture) {
			cfg := testConfig("e1")
			cfg.Endpoints[0].Leaving = true
			b.SetConfig(at(1), cfg)
		},
	}
	for name, f := range sources {
		t.Run(name, func(t *testing.T) {
			b := newFixture(testConfig("e1"))
			running, _ := b.submit(at(0), "question", "big")
			b.submit(at(0), "question", "big")
			f(b)
			must.SliceEmpty(t, b.Finish(at(2), running, 1, ran))
			_, acts := b.submit(at(3), "question", "big")
			must.Eq(t, dispatch.ReasonNoEndpoint, acts[0].Reason)
		})
	}
}

func TestLoadReportAdjustsRoom(t *testing.T) {
	cases := []struct {
		name string
		age  time.Duration
		own  int
		want int
	}{
		{"the endpoint runs three requests at once", time.Second, 5, 0},
		{"an old report is ignored", time.Minute, 5, 3},
		{"load of unknown hosts", time.Second, 0, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(engines(8, "e1"))
			for range c.own {
				b.submit(at(0), "draft", "big")
			}
			b.HandleLoadReport(at(0), dispatch.LoadReport{Endpoint: "e1", Running: 3, Queued: 2, Age: c.age})
			must.Eq(t, c.want, b.grants(at(1), "draft"))
		})
	}
}

func TestLimitsAreSharedByAllHosts(t *testing.T) {
	limited := func() *opconfig.Config {
		cfg := engines(100, "e1")
		cfg.Accounts[0].Limits = []opconfig.Limit{{Class: "draft", RequestsPerSecond: 10, Burst: 8}}
		return cfg
	}
	other := opconfig.Endpoint{Name: "e2", Pool: "engines", Domain: "b", Address: "e2:1", Room: 1}
	cases := []struct {
		name  string
		peers []dispatch.PeerHost
		two   bool
		want  int
	}{
		{"alone", nil, false, 8},
		{"half of the demand is at a peer", []dispatch.PeerHost{peer(at(0), dispatch.AccountDemand{Account: "big", Class: "draft", Rate: 0.2})}, false, 4},
		{"an unreachable peer keeps its share", []dispatch.PeerHost{peer(at(-60000), dispatch.AccountDemand{Account: "big", Class: "draft", Rate: 0.2})}, false, 4},
		{"an unknown domain keeps an equal share", nil, true, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := limited()
			if c.two {
				cfg.Endpoints = append(cfg.Endpoints, other)
			}
			b := newFixture(cfg)
			b.SetPeers(at(0), dispatch.PeerView{Hosts: c.peers})
			granted := b.grants(at(0), "draft")
			must.Between(t, c.want-1, granted, c.want+3)
			_, acts := b.submit(at(0), "draft", "big")
			must.Eq(t, dispatch.ReasonLimit, acts[0].Reason)
			_, acts = b.submit(at(0), "question", "big")
			must.Eq(t, []dispatch.ActionKind{dispatch.ActionGrant}, kinds(acts), must.Sprint("the limit applies to one class"))
		})
	}
}

func TestTokensInFlightAreLimited(t *testing.T) {
	cfg := engines(9, "e1")
	cfg.Accounts[0].Limits = []opconfig.Limit{{Class: "draft", TokensInFlight: 100}}
	b := newFixture(cfg)
	first, _ := b.submit(at(0), "draft", "big")
	b.RecordTokens(at(1), first, 100)
	_, acts := b.submit(at(2), "draft", "big")
	must.Eq(t, dispatch.ReasonLimit, acts[0].Reason)
	b.Finish(at(3), first, 1, ran)
	_, acts = b.submit(at(4), "draft", "big")
	must.Eq(t, []dispatch.ActionKind{dispatch.ActionGrant}, kinds(acts))
}

func TestDigestListsRequestsAndDemand(t *testing.T) {
	b := newFixture(testConfig("e1"))
	b.submit(at(0), "draft", "big")
	b.submit(at(0), "draft", "big")
	d := b.Digest(at(0))
	must.Eq(t, []dispatch.EndpointCount{{Endpoint: "e1", Count: 1}}, d.InFlight)
	must.Eq(t, []dispatch.AccountDemand{{Account: "big", Class: "draft", Rate: 0.4, Queued: 1}}, d.Demand)
}
