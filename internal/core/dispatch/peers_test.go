package dispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// peer returns another host's digest with a demand of drafts like our own.
func peer(now time.Time, demand ...dispatch.AccountDemand) dispatch.PeerHost {
	return dispatch.PeerHost{Host: "h2", At: now, Demand: demand}
}

// grants submits requests until one is not granted.
func (b *bench) grants(now time.Time, class model.ClassName) int {
	for n := 0; ; n++ {
		if _, acts := b.submit(now, class, "big"); len(acts) != 1 || acts[0].Kind != dispatch.ActionGrant {
			return n
		}
	}
}

func TestHostsShareARoom(t *testing.T) {
	b := newBench(engines(8, "e1"))
	b.SetPeers(at(0), dispatch.PeerView{Hosts: []dispatch.PeerHost{peer(at(0))}})
	must.Eq(t, 4, b.grants(at(1), "draft"), must.Sprint("half of the room"))
}

func TestNewHostHasAPartBeforeItsDemandIsKnown(t *testing.T) {
	b := newBench(engines(16, "e1"))
	id, _ := b.submit(at(0), "draft", "big")
	b.Finish(at(0), id, 1, ran)
	busy := peer(at(0), dispatch.AccountDemand{Account: "big", Class: "draft", Rate: 40})
	b.SetPeers(at(0), dispatch.PeerView{Hosts: []dispatch.PeerHost{busy}})
	must.Eq(t, 2, b.grants(at(1), "draft"))
}

func TestProtectedClassesUseWhatPeersLeave(t *testing.T) {
	b := newBench(engines(8, "e1"))
	view := peer(at(0))
	view.InFlight = []dispatch.EndpointCount{{Endpoint: "e1", Count: 1}}
	b.SetPeers(at(0), dispatch.PeerView{Hosts: []dispatch.PeerHost{view}})
	must.Eq(t, 7, b.grants(at(1), "order"))
}

func TestOthersWaitWhileAPeerHasProtectedRequests(t *testing.T) {
	cases := []struct {
		class   model.ClassName
		granted int
	}{{"order", 0}, {"question", 4}}
	for _, c := range cases {
		b := newBench(engines(8, "e1"))
		id, _ := b.submit(at(0), "order", "big")
		b.Finish(at(0), id, 1, ran)
		b.SetPeers(at(0), dispatch.PeerView{Hosts: []dispatch.PeerHost{
			peer(at(0), dispatch.AccountDemand{Account: "big", Class: c.class, Queued: 1}),
		}})
		must.Eq(t, c.granted, b.grants(at(1), "draft"))
	}
}

func TestSpillGoesOneHop(t *testing.T) {
	cases := []struct {
		name      string
		room      int
		forwarded bool
		age       time.Duration
		want      dispatch.ActionKind
	}{
		{"room elsewhere", 1, false, 0, dispatch.ActionSpill},
		{"no room elsewhere", 0, false, 0, dispatch.ActionRefuse},
		{"came from elsewhere", 1, true, 0, dispatch.ActionRefuse},
		{"domain is cut off", 1, false, 6 * time.Second, dispatch.ActionRefuse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(testConfig("e1"))
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

// Heartbeats on other goroutines send the same digests while requests spill.
func TestSpillLeavesTheCallersDigestsAlone(t *testing.T) {
	b := newBench(engines(1, "e1"))
	room := []dispatch.PoolRoom{{Pool: "engines", Room: 3, Protected: 3}}
	b.SetPeers(at(0), dispatch.PeerView{Domains: []dispatch.PeerDomain{{Domain: "b", At: at(0), FreeRoom: room}}})
	b.SetLeaving(at(0), "e1", true)
	_, acts := b.submit(at(0), "draft", "big")
	must.Eq(t, []dispatch.ActionKind{dispatch.ActionSpill}, kinds(acts))
	must.Eq(t, []dispatch.PoolRoom{{Pool: "engines", Room: 3, Protected: 3}}, room)
}

func TestProtectedRequestsSpillOnceTheirClassFillsTheDomain(t *testing.T) {
	b := newBench(testConfig("e1"))
	b.SetPeers(at(0), dispatch.PeerView{Domains: []dispatch.PeerDomain{{
		Domain: "b", At: at(0), FreeRoom: []dispatch.PoolRoom{{Pool: "engines", Protected: 1}},
	}}})
	b.submit(at(0), "order", "big")
	_, acts := b.submit(at(0), "order", "big")
	must.Eq(t, []dispatch.ActionKind{dispatch.ActionSpill}, kinds(acts))
}

func TestFreeRoomLeavesHeadroomAndWork(t *testing.T) {
	cfg := engines(8, "e1")
	cfg.Classes[0].Headroom = 0.25
	b := newBench(cfg)
	id, _ := b.submit(at(0), "order", "big")
	b.Finish(at(0), id, 1, ran)
	b.submit(at(0), "draft", "big")
	must.Eq(t, []dispatch.PoolRoom{{Pool: "engines", Room: 5, Protected: 8}}, b.FreeRoom(at(1)))
}

func TestLeavingEndpointGetsNoNewGrant(t *testing.T) {
	leave := map[string]func(b *bench){
		"list": func(b *bench) { b.SetLeaving(at(1), "e1", true) },
		"report": func(b *bench) {
			b.ReportLoad(at(1), dispatch.LoadReport{Endpoint: "e1", Leaving: true, Age: time.Hour})
		},
		"config": func(b *bench) {
			cfg := testConfig("e1")
			cfg.Endpoints[0].Leaving = true
			b.SetConfig(at(1), cfg)
		},
	}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			b := newBench(testConfig("e1"))
			running, _ := b.submit(at(0), "question", "big")
			b.submit(at(0), "question", "big")
			f(b)
			must.SliceEmpty(t, b.Finish(at(2), running, 1, ran))
			_, acts := b.submit(at(3), "question", "big")
			must.Eq(t, dispatch.ReasonNoEndpoint, acts[0].Reason)
		})
	}
}

func TestReportsOfQueuedWork(t *testing.T) {
	cases := []struct {
		name string
		age  time.Duration
		own  int
		want int
	}{
		{"the endpoint runs three at once", time.Second, 5, 0},
		{"a frozen report is not believed", time.Minute, 5, 3},
		{"hosts that are not heard of send work", time.Second, 0, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(engines(8, "e1"))
			for range c.own {
				b.submit(at(0), "draft", "big")
			}
			b.ReportLoad(at(0), dispatch.LoadReport{Endpoint: "e1", Running: 3, Queued: 2, Age: c.age})
			must.Eq(t, c.want, b.grants(at(1), "draft"))
		})
	}
}

func TestLimitsHoldOverAllHosts(t *testing.T) {
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
		{"a cut-off peer keeps its part", []dispatch.PeerHost{peer(at(-60000), dispatch.AccountDemand{Account: "big", Class: "draft", Rate: 0.2})}, false, 4},
		{"a domain that was never heard of keeps an equal part", nil, true, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := limited()
			if c.two {
				cfg.Endpoints = append(cfg.Endpoints, other)
			}
			b := newBench(cfg)
			b.SetPeers(at(0), dispatch.PeerView{Hosts: c.peers})
			granted := b.grants(at(0), "draft")
			must.Between(t, c.want-1, granted, c.want+3)
			_, acts := b.submit(at(0), "draft", "big")
			must.Eq(t, dispatch.ReasonLimit, acts[0].Reason)
			_, acts = b.submit(at(0), "question", "big")
			must.Eq(t, []dispatch.ActionKind{dispatch.ActionGrant}, kinds(acts), must.Sprint("the limit is on one class"))
		})
	}
}

func TestTokensInFlightAreLimited(t *testing.T) {
	cfg := engines(9, "e1")
	cfg.Accounts[0].Limits = []opconfig.Limit{{Class: "draft", TokensInFlight: 100}}
	b := newBench(cfg)
	first, _ := b.submit(at(0), "draft", "big")
	b.Progress(at(1), first, 100)
	_, acts := b.submit(at(2), "draft", "big")
	must.Eq(t, dispatch.ReasonLimit, acts[0].Reason)
	b.Finish(at(3), first, 1, ran)
	_, acts = b.submit(at(4), "draft", "big")
	must.Eq(t, []dispatch.ActionKind{dispatch.ActionGrant}, kinds(acts))
}

func TestDigestTellsWorkAndDemand(t *testing.T) {
	b := newBench(testConfig("e1"))
	b.submit(at(0), "draft", "big")
	b.submit(at(0), "draft", "big")
	d := b.Digest(at(0))
	must.Eq(t, []dispatch.EndpointCount{{Endpoint: "e1", Count: 1}}, d.InFlight)
	must.Eq(t, []dispatch.AccountDemand{{Account: "big", Class: "draft", Rate: 0.4, Queued: 1}}, d.Demand)
}
