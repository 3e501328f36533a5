package host

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// burnPeerTimeout bounds one call to a host of the same failure domain.
	burnPeerTimeout = time.Second
	// burnDomainTimeout bounds one call to a host that gathers the counts of
	// another failure domain. It leaves that host time to wait for its own
	// peers.
	burnDomainTimeout = 2 * time.Second
	// maxBurnCalls bounds the number of concurrent calls.
	maxBurnCalls = 16
)

// errNoKnownHost means that no host of a failure domain can be called. Operators
// receive its text in a report next to the name of the failure domain.
var errNoKnownHost = errors.New("no host of it is known")

// burnTarget is a host or a failure domain to query for counts.
type burnTarget struct {
	domain model.DomainName
	// host is empty for a whole failure domain.
	host model.HostID
	// addresses are queried in order until one answers.
	addresses []string
}

// GatherBurn returns the counts of all reachable hosts. It queries the hosts of the
// local failure domain directly and each remote failure domain through one of its
// hosts.
func (h *Host) GatherBurn(ctx context.Context, window time.Duration) (burn.Aggregate, error) {
	sum, err := h.gatherDomain(ctx, window)
	if err != nil {
		return burn.Aggregate{}, err
	}
	domains, err := queryControl(ctx, h, func(now time.Time, c *control) []burnTarget { return c.domainTargets(now) })
	if err != nil {
		return burn.Aggregate{}, err
	}
	h.queryTargets(ctx, &sum, domains, port.BurnQuery{Window: window, WholeDomain: true}, burnDomainTimeout)
	return sum, nil
}

// gatherDomain returns the counts of all hosts of the local failure domain.
func (h *Host) gatherDomain(ctx context.Context, window time.Duration) (burn.Aggregate, error) {
	sum, err := h.Burn(ctx, window)
	if err != nil {
		return burn.Aggregate{}, err
	}
	peers, err := queryControl(ctx, h, func(now time.Time, c *control) []burnTarget { return c.peerTargets(now) })
	if err != nil {
		return burn.Aggregate{}, err
	}
	h.queryTargets(ctx, &sum, peers, port.BurnQuery{Window: window}, burnPeerTimeout)
	return sum, nil
}

// peerTargets returns the other hosts of the local failure domain. Hosts that are
// gone are included, so that their counts are reported as missing, unless they
// left gracefully.
func (c *control) peerTargets(now time.Time) []burnTarget {
	var out []burnTarget
	for _, m := range c.members.Members(now) {
		left := m.Health == membership.Gone && m.State == membership.Leaving
		if m.Host == c.host.opts.ID || m.Domain != c.host.opts.Domain || left {
			continue
		}
		out = append(out, burnTarget{domain: m.Domain, host: m.Host, addresses: []string{m.Address}})
	}
	return out
}

// domainTargets returns the remote failure domains: those with known digests and
// those in which the configuration has endpoints.
func (c *control) domainTargets(now time.Time) []burnTarget {
	known := map[model.DomainName]bool{c.host.opts.Domain: true}
	var out []burnTarget
	for _, d := range c.members.Domains(now) {
		if !known[d.Name] {
			known[d.Name] = true
			out = append(out, burnTarget{domain: d.Name, addresses: d.Gateways})
		}
	}
	cat := c.host.catalog.Load()
	if cat == nil {
		return out
	}
	for i := range cat.Config().Endpoints {
		name := cat.Config().Endpoints[i].Domain
		if !known[name] {
			known[name] = true
			out = append(out, burnTarget{domain: name})
		}
	}
	return out
}

// queryTargets queries all targets concurrently and adds their counts to sum.
// Targets that do not answer are listed as missing.
func (h *Host) queryTargets(ctx context.Context, sum *burn.Aggregate, targets []burnTarget, query port.BurnQuery, timeout time.Duration) {
	responses := make([]burn.Aggregate, len(targets))
	var calls errgroup.Group
	calls.SetLimit(maxBurnCalls)
	for i, target := range targets {
		calls.Go(func() error {
			responses[i] = h.queryTarget(ctx, target, query, timeout)
			return nil
		})
	}
	_ = calls.Wait()
	for _, response := range responses {
		sum.Add(response)
	}
}

// queryTarget returns the counts of the first address that answers, or an aggregate
// that lists the target as missing.
func (h *Host) queryTarget(ctx context.Context, target burnTarget, query port.BurnQuery, timeout time.Duration) burn.Aggregate {
	err := errNoKnownHost
	for _, address := range target.addresses {
		var counts burn.Aggregate
		if counts, err = h.queryPeer(ctx, address, query, timeout); err == nil {
			return counts
		}
	}
	return burn.Aggregate{Missing: []burn.Missing{{Domain: target.domain, Host: target.host, Reason: err.Error()}}}
}

// queryPeer returns the counts of the host at the address. The timeout applies to
// each call separately, so that a host that hangs leaves time for the next one.
func (h *Host) queryPeer(ctx context.Context, address string, query port.BurnQuery, timeout time.Duration) (burn.Aggregate, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if h.opts.Peers == nil {
		return burn.Aggregate{}, errNoKnownHost
	}
	data, err := h.opts.Peers.Burn(ctx, address, query)
	if err != nil {
		return burn.Aggregate{}, err
	}
	return burn.Decode(data)
}
