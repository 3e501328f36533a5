package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// hostsPerLimitedRequest is the number of hosts that share a limit, for each request
	// per second of it. Each of them has two thirds of a request per second, which a
	// host can use, and all of them together stay below one and a half times the limit
	// with what they keep unused.
	hostsPerLimitedRequest = 1.5
	// limitPatience is the time without a response from a limited endpoint after which
	// other hosts share its limit: the former ones may have no requests for it.
	limitPatience = 5 * time.Second
	// limitShareInterval is the time between two selections of the hosts.
	limitShareInterval = 100 * time.Millisecond
)

// liveHosts are the live hosts of the fleet as far as this host knows.
type liveHosts struct {
	self     model.HostID
	byDomain map[model.DomainName][]model.HostID
}

// SetLiveHosts sets the hosts that may share limits, this one included. Those of this
// host's failure domain are complete; of other domains some may be missing.
func (b *Balancer) SetLiveHosts(self model.HostID, byDomain map[model.DomainName][]model.HostID) {
	b.liveHosts = liveHosts{self: self, byDomain: byDomain}
}

// sharing returns the hosts that may share the limit of an endpoint in a failure domain:
// those of the domain or, if none is live there, all.
func (h *liveHosts) sharing(domain model.DomainName) []model.HostID {
	if local := h.byDomain[domain]; len(local) > 0 {
		return local
	}
	var all []model.HostID
	for _, hosts := range h.byDomain {
		all = append(all, hosts...)
	}
	return all
}

// updateLimitShares updates this host's shares of all limits, at most once per
// limitShareInterval.
func (b *Balancer) updateLimitShares(now time.Time) {
	if len(b.limitReports) == 0 || now.Sub(b.limitSharesAt) < limitShareInterval {
		return
	}
	b.limitSharesAt = now
	for _, e := range b.limitReports {
		if e.isLimited() {
			e.limit.setShare(now, b.limitShare(now, e))
		}
	}
}

// limitShare returns the part of an endpoint's limit that this host may use, in requests
// per second. Hosts are ranked by rendezvous hashing, and the first ones share the limit
// equally; while the endpoint is silent, the next ones take their turn.
func (b *Balancer) limitShare(now time.Time, e *endpoint) float64 {
	report := e.limit.report
	hosts := slices.Clone(b.liveHosts.sharing(e.Domain))
	if len(hosts) == 0 {
		return report.PerSecond
	}
	slices.SortFunc(hosts, func(x, y model.HostID) int { return cmp.Compare(limitScore(y, e), limitScore(x, e)) })
	rank := slices.Index(hosts, b.liveHosts.self)
	if rank < 0 {
		return 0
	}
	sharing := min(max(int(math.Ceil(hostsPerLimitedRequest*report.PerSecond)), 1), len(hosts))
	turn := int(max(now.Sub(report.At), 0) / limitPatience)
	position := (rank - turn*sharing) % len(hosts)
	if position < 0 {
		position += len(hosts)
	}
	if position >= sharing {
		return 0
	}
	return report.PerSecond / float64(sharing)
}

// limitScore returns the rendezvous hashing score of a host for an endpoint.
func limitScore(host model.HostID, e *endpoint) uint64 {
	return rendezvous(model.PartID(xxhash.Sum64String(string(host))), e)
}
