package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
)

// PeerStatus is what a host knows of the other hosts and of the platform's lists. Ages
// are in seconds.
type PeerStatus struct {
	Host   model.HostID     `json:"host"`
	Domain model.DomainName `json:"domain"`
	Build  model.Build      `json:"build"`
	// Relay reports whether the host is a relay of its failure domain.
	Relay bool `json:"relay"`
	// LocalRelays are the peer addresses of the other relays of its domain, and
	// Receivers those of the relays of other domains that it sends totals to.
	LocalRelays []string `json:"local_relays"`
	Receivers   []string `json:"receivers"`
	// FleetHosts is the number of hosts of the fleet as far as it knows.
	FleetHosts int `json:"fleet_hosts"`
	// Reading reports whether it reads the platform's lists itself. ListAge is the
	// age of the newest read by any host, as far as it knows.
	Reading bool    `json:"reading"`
	ListAge float64 `json:"list_age_s"`
	// Era and Offset are its position in the list of endpoints.
	Era     model.Era     `json:"era"`
	Offset  model.Offset  `json:"offset"`
	Version model.Version `json:"version"`
	// ConfigAge is the time since Version was known to be the newest one.
	ConfigAge float64 `json:"config_age_s"`
	// LeavingEndpoints are the endpoints that have reported that they are leaving.
	LeavingEndpoints []model.EndpointName `json:"leaving_endpoints"`
	// LimitedEndpoints are the endpoints that have stated a request limit.
	LimitedEndpoints []LimitView `json:"limited_endpoints"`
	// BrittleEndpoints are the endpoints that state that they are brittle.
	BrittleEndpoints []BrittleView `json:"brittle_endpoints,omitempty"`
	// Capacity are the endpoints of the pools that can be scaled.
	Capacity []CapacityView `json:"capacity,omitempty"`
	// Accounts are the accounts above their share of a pool. This has an effect only while
	// the pool is short of room.
	Accounts []AccountView `json:"accounts,omitempty"`
	// Duties is what the host knows of the duties; missing if there are none.
	Duties *DutyStatus `json:"duties,omitempty"`
	// EngineSpeeds are the engines of whose speed it has enough evidence.
	EngineSpeeds []SpeedView `json:"engine_speeds"`
	// Suspects are what crashes endpoints.
	Suspects []SuspectView `json:"suspects"`
	Peers    []PeerView    `json:"peers"`
}

// LimitView is what a host knows of the request limit of an endpoint.
type LimitView struct {
	Endpoint model.EndpointName `json:"endpoint"`
	// PerSecond is the limit for all hosts together, in requests per second. Age is the
	// time since the endpoint stated it.
	PerSecond float64 `json:"per_second"`
	Age       float64 `json:"age_s"`
}

// BrittleView is what a host knows of a brittle endpoint.
type BrittleView struct {
	Endpoint model.EndpointName `json:"endpoint"`
	// Rejections is the number of requests that it may reject in a second, Rejected how many
	// of this host it has rejected in the last one. Age is the time since it stated it, in
	// seconds.
	Rejections float64 `json:"rejections_per_s"`
	Rejected   int     `json:"rejected"`
	Age        float64 `json:"age_s"`
}

// CapacityView are the endpoints of one kind of a pool in a failure domain.
type CapacityView struct {
	Pool        model.PoolName   `json:"pool"`
	Domain      model.DomainName `json:"domain"`
	Reclaimable bool             `json:"reclaimable"`
	// Need is the number of endpoints in all domains that carry the load of the pool.
	Need float64 `json:"need"`
	// Ordered is -1 if this host has given no order. Serving, Booting and Leaving are the
	// endpoints that accept requests, are ordered but not listed, and are draining.
	Ordered int `json:"ordered"`
	Serving int `json:"serving"`
	Booting int `json:"booting"`
	Leaving int `json:"leaving"`
	// Unavailable reports that the platform has refused the last order, Why is the reason of
	// that order.
	Unavailable bool            `json:"unavailable"`
	Why         capacity.Reason `json:"why,omitempty"`
}

// SuspectView is a part of prompts, or a whole request, that is in quarantine or suspended.
type SuspectView struct {
	Suspect quarantine.Suspect `json:"suspect"`
	// Quarantined reports whether it is in quarantine, else it is suspended.
	Quarantined bool `json:"quarantined"`
	// Crashes is the number of crashes at different moments, Age the time since the last
	// one.
	Crashes int     `json:"crashes"`
	Age     float64 `json:"age_s"`
	// Source is how the host has learned of it: "crash", "response", "store" or a peer.
	Source string `json:"source"`
}

// PeerView is what a host knows of another one.
type PeerView struct {
	Host    model.HostID     `json:"host"`
	Domain  model.DomainName `json:"domain"`
	Address string           `json:"address"`
	// Linked reports whether digests are sent to it, Live whether it counts as
	// live.
	Linked bool `json:"linked"`
	Live   bool `json:"live"`
	// Path is how this host hears of it: "direct", "reported" by another host, or
	// "none". Age is the time since it was last heard from on that path.
	Path    string        `json:"path"`
	Age     float64       `json:"age_s"`
	Version model.Version `json:"version"`
	// Build is the build that it has stated to this host; missing for none.
	Build *model.Build `json:"build,omitempty"`
}

// Paths on which a host hears of another one.
const (
	pathDirect   = "direct"
	pathReported = "reported"
	pathNone     = "none"
)

// PeerStatus returns what this host knows of the other hosts. It returns false if the
// control loop did not answer.
func (g *Gateway) PeerStatus(ctx context.Context) (PeerStatus, bool) {
	return queryLoop(ctx, g, func(now time.Time) PeerStatus { return g.control.status(now) })
}

// status returns what this host knows of the other hosts.
func (c *control) status(now time.Time) PeerStatus {
	opts := &c.gateway.opts
	digests := &c.peers.digests
	out := PeerStatus{
		Host: opts.Host, Domain: opts.Domain, Build: opts.Build, Relay: digests.isRelay,
		LocalRelays: slices.Clone(digests.localRelays), Receivers: slices.Clone(digests.remoteReceivers),
		FleetHosts: c.balancer.CountHosts(now), Reading: c.gateway.reading.Load(),
		ListAge: c.knownReadAge(now).Seconds(), Era: c.nextInList.Era, Offset: c.nextInList.Offset, Version: c.version(),
		ConfigAge: c.gateway.configAge(now).Seconds(), Duties: c.duties.status(), Accounts: c.accounts.views(now),
	}
	for _, instance := range c.directory.Leaving() {
		out.LeavingEndpoints = append(out.LeavingEndpoints, instance.Name)
	}
	for _, l := range c.knownLimits(now) {
		if l.Limited {
			out.LimitedEndpoints = append(out.LimitedEndpoints, LimitView{Endpoint: l.Instance.Name, PerSecond: l.PerSecond, Age: l.Age.Seconds()})
		}
	}
	for _, e := range c.knownBrittle(now) {
		if e.Brittle {
			view := BrittleView{Endpoint: e.Instance.Name, Rejections: e.Rejections, Rejected: e.Rejected, Age: e.Age.Seconds()}
			out.BrittleEndpoints = append(out.BrittleEndpoints, view)
		}
	}
	out.EngineSpeeds = c.engineSpeeds(now)
	for _, s := range c.quarantine.Suspects() {
		out.Suspects = append(out.Suspects, SuspectView{
			Suspect: s.Suspect, Quarantined: s.IsQuarantined(), Crashes: s.Crashes, Age: now.Sub(s.At).Seconds(),
			Source: c.suspectSources[s.Suspect],
		})
	}
	out.Capacity = c.capacity.views(now)
	for address, p := range c.peers.peers {
		out.Peers = append(out.Peers, c.peers.view(now, address, p))
	}
	slices.SortFunc(out.Peers, func(a, b PeerView) int {
		return strings.Compare(string(a.Domain)+"/"+a.Address, string(b.Domain)+"/"+b.Address)
	})
	return out
}

// view returns what this host knows of another one.
func (t *peerTable) view(now time.Time, address string, p *peer) PeerView {
	v := PeerView{
		Host: p.host, Domain: p.domain, Address: address, Linked: p.isLinked(), Live: p.host != "" && t.isLive(now, p),
		Path: pathNone, Version: p.version,
	}
	if build := p.build.build; build != (model.Build{}) {
		v.Build = &build
	}
	switch {
	case t.hearsFrom(now, p):
		v.Path, v.Age = pathDirect, now.Sub(p.lastSeen).Seconds()
	case !p.reportedAt.IsZero():
		v.Path, v.Age = pathReported, now.Sub(p.reportedAt).Seconds()
	}
	return v
}

// ServePeers serves PeerStatus as JSON.
func (g *Gateway) ServePeers(w http.ResponseWriter, r *http.Request) {
	status, ok := g.PeerStatus(r.Context())
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(status)
}

// ServeLift lifts a suspect at all hosts. It responds with 404 if nothing is known of it.
func (g *Gateway) ServeLift(w http.ResponseWriter, r *http.Request) {
	suspect, err := quarantine.ParseSuspect(r.PathValue("suspect"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lifted, ok := queryLoop(r.Context(), g, func(now time.Time) bool { return g.control.lift(now, suspect) })
	switch {
	case !ok:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !lifted:
		w.WriteHeader(http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// metricsInterval is the time between updates of the gauges.
const metricsInterval = time.Second

// updateMetrics sets the gauges about other hosts and the platform's lists.
func (c *control) updateMetrics(now time.Time) {
	if now.Sub(c.metricsAt) < metricsInterval {
		return
	}
	c.metricsAt = now
	c.reviewBuilds(now)
	links := 0
	for _, p := range c.peers.peers {
		if p.isLinked() {
			links++
		}
	}
	m := c.gateway.opts.Metrics
	m.SetPeers(len(c.peers.peers), links, c.peers.digests.isRelay)
	m.SetListAge(c.knownReadAge(now), uint64(c.nextInList.Era))
	m.SetLimitedEndpoints(c.balancer.CountLimited())
	m.SetBrittleEndpoints(c.balancer.CountBrittle())
	m.SetEngineSpeeds(speedRange(c.balancer.KnownSpeeds(now)))
	m.SetQuarantined(c.quarantine.Count(quarantine.KindPart), c.quarantine.Count(quarantine.KindRequest))
	m.SetMemoryHeld(c.gateway.memory.held())
	m.SetConfigAge(c.gateway.configAge(now))
}
