package balance

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// The paths of this host to the endpoints of all failure domains together:
//
//  1. When connections to endpoints of several domains have failed and none was answered
//     in between, all domains are checked at once.
//  2. A host that reaches no endpoint of any domain has lost its paths. What its failures
//     seemed to show of the endpoints is dropped.
//  3. From then on it sends directly to an endpoint again once a check there has succeeded.

const (
	// suspicionTime is how long failed connections to several domains without an answer make
	// the paths suspect.
	suspicionTime = time.Second
	// failuresToSuspect is the number of endpoints with failed connections that make the
	// paths suspect if all are in one domain.
	failuresToSuspect = 3
	// maxUnreachedKeys bounds the keys in a PathReport.
	maxUnreachedKeys = 32
)

// OtherPaths are the paths of other hosts to endpoints.
type OtherPaths interface {
	// Reaches reports whether another host reaches an endpoint and sends attempts there for
	// this one.
	Reaches(now time.Time, endpoint EndpointKey) bool
}

// PathReport is which endpoints this host reaches.
type PathReport struct {
	// Endpoints is the number of endpoints that are not draining, Unreached the number of
	// those that this host cannot reach, as far as it knows. Keys identify the ones that it
	// has found unreachable, some of them if they are many.
	Endpoints, Unreached int
	Keys                 []EndpointKey
	// Lost reports that this host reaches no endpoint, Returning that it had lost its paths
	// and has not checked all endpoints since.
	Lost, Returning bool
}

// paths is the state of the paths of this host.
type paths struct {
	// failed are the endpoints to which connections have failed since the last answer of any
	// endpoint, with their domains. lastFailure is when the last one has.
	failed      map[model.EndpointName]model.DomainName
	lastFailure time.Time
	// lost reports that this host reaches no endpoint; changedAt is when that last changed.
	lost      bool
	changedAt time.Time
}

// recordPathFailure records that a connection to an endpoint has failed.
func (b *Balancer) recordPathFailure(now time.Time, e *endpoint) {
	if now.Sub(b.paths.lastFailure) > suspicionTime {
		clear(b.paths.failed)
	}
	b.paths.lastFailure = now
	b.paths.failed[e.Name] = e.Domain
}

// ArePathsSuspect reports whether this host may be losing its paths: connections to
// endpoints of several domains have failed, or several if there is one domain, and none
// was answered in between.
func (b *Balancer) ArePathsSuspect(now time.Time) bool {
	if b.paths.lost || len(b.paths.failed) < 2 || now.Sub(b.paths.lastFailure) > suspicionTime {
		return false
	}
	domains := make(map[model.DomainName]bool)
	for _, domain := range b.paths.failed {
		domains[domain] = true
	}
	return len(domains) > 1 || len(b.paths.failed) >= failuresToSuspect && !b.hasEndpointsOutside(domains)
}

// hasEndpointsOutside reports whether any endpoint that is not draining is in none of the
// failure domains.
func (b *Balancer) hasEndpointsOutside(domains map[model.DomainName]bool) bool {
	for _, e := range b.endpoints {
		if !e.Draining && !domains[e.Domain] {
			return true
		}
	}
	return false
}

// HasLostPaths reports whether this host reaches no endpoint.
func (b *Balancer) HasLostPaths() bool { return b.paths.lost }

// reaches reports whether this host reaches an endpoint directly, as far as it knows.
func (b *Balancer) reaches(e *endpoint) bool {
	return !e.unreachable && !e.unproven && !b.domain(e.Domain).unreachable
}

// reviewPaths determines whether this host reaches any endpoint.
func (b *Balancer) reviewPaths(now time.Time) {
	listed := false
	for _, e := range b.endpoints {
		if e.Draining {
			continue
		}
		listed = true
		if b.reaches(e) {
			b.setPathsLost(now, false)
			return
		}
	}
	b.setPathsLost(now, listed)
}

// setPathsLost sets whether this host has lost its paths. When it loses them, all endpoints
// must be checked again, and recent failures are no evidence against the endpoints.
func (b *Balancer) setPathsLost(now time.Time, lost bool) {
	if b.paths.lost == lost {
		return
	}
	b.paths.lost, b.paths.changedAt = lost, now
	if !lost {
		return
	}
	for _, d := range b.domains {
		b.setDomainUnreachable(d, true)
	}
	for _, e := range b.endpoints {
		e.unproven = true
		b.watched.watch(e)
		e.unreached = downtime{}
		if e.isFailing() {
			e.failureRate, e.consecutiveFailures = 0, 0
			if e.pausedForBreaks {
				e.pausedUntil = time.Time{}
			}
		}
	}
}

// PathReport returns which endpoints this host reaches.
func (b *Balancer) PathReport() PathReport {
	out := PathReport{Lost: b.paths.lost}
	for _, e := range b.endpoints {
		if e.Draining {
			continue
		}
		out.Endpoints++
		if b.reaches(e) {
			continue
		}
		out.Unreached++
		out.Returning = out.Returning || e.unproven
		if !e.unproven && len(out.Keys) < maxUnreachedKeys {
			out.Keys = append(out.Keys, EndpointKey(e.hash))
		}
	}
	slices.Sort(out.Keys)
	return out
}

// EndpointAddresses returns the addresses of all endpoints.
func (b *Balancer) EndpointAddresses() []Check {
	out := make([]Check, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		out = append(out, Check{Endpoint: e.Name, Address: e.Address})
	}
	return out
}

// DomainOf returns the failure domain of an endpoint; empty if it is not listed.
func (b *Balancer) DomainOf(name model.EndpointName) model.DomainName {
	if e := b.endpoints[name]; e != nil {
		return e.Domain
	}
	return ""
}

// mayGoThroughAnotherHost reports whether a request for the endpoint can be sent through
// another host: this one has lost the paths to it and to others, another host reaches it, and
// only that is in the way. An endpoint that cannot be reached alone is likely down.
func (b *Balancer) mayGoThroughAnotherHost(now time.Time, e *endpoint, r *reach) bool {
	isCut := !r.domains[e.Domain] || !r.pools[e.Pool] || e.unproven
	return b.opts.Others != nil && isCut && !e.Draining && !now.Before(e.pausedUntil) &&
		e.backoffAllowsRequest(now) && e.limit.allowsRequest(now) && b.opts.Others.Reaches(now, EndpointKey(e.hash))
}

// reach is what this host reaches: the failure domains and the pools with any endpoint that it
// reaches.
type reach struct {
	domains map[model.DomainName]bool
	pools   map[model.PoolName]bool
}

// reach returns what this host reaches.
func (b *Balancer) reach() *reach {
	out := &reach{domains: make(map[model.DomainName]bool), pools: make(map[model.PoolName]bool)}
	for _, e := range b.endpoints {
		if !e.Draining && b.reaches(e) {
			out.domains[e.Domain], out.pools[e.Pool] = true, true
		}
	}
	return out
}

const (
	// maxReportAge is the greatest age of the report of another host that it does not reach an
	// endpoint, and the greatest error of the age of a crash that it reports.
	maxReportAge = time.Second
	// minReportedAge is the least age of a start, by the clock of its endpoint, at which such
	// reports are on this start. Hosts check an endpoint that they do not reach each maxPause,
	// and until then report what they know of the start before.
	minReportedAge = maxPause + maxReportAge + 500*time.Millisecond
)

// DoubtSoftware records that other hosts do not reach endpoints, so that these may start
// again with another version.
func (b *Balancer) DoubtSoftware(now time.Time, endpoints []EndpointKey) {
	for _, key := range endpoints {
		if e := b.byKey[key]; e != nil {
			e.doubtSoftware(now)
			if !time.UnixMilli(e.Started).After(now.Add(-minReportedAge)) {
				e.down.add(downtime{first: now, last: now})
			}
		}
	}
}
