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
	// burnPeerTimeout bounds the answer of a host of the own domain.
	burnPeerTimeout = time.Second
	// burnDomainTimeout bounds the answer of a host that gathers over another
	// domain. It leaves that host time to wait for its own peers.
	burnDomainTimeout = 2 * time.Second
	// maxBurnCalls bounds the calls under way at once.
	maxBurnCalls = 16
)

// errNoGateway says that no host of a failure domain is known.
var errNoGateway = errors.New("no host of it is known")

// burnTarget is whom to ask for counts.
type burnTarget struct {
	domain model.DomainName
	// host is empty for a whole failure domain.
	host model.HostID
	// addresses are tried in order until one answers.
	addresses []string
}

// GatherBurn returns the counts of all hosts that can be reached: those of the
// own domain directly, those of each other domain through one of its hosts.
func (h *Host) GatherBurn(ctx context.Context, window time.Duration) (burn.Aggregate, error) {
	own, err := h.gatherDomain(ctx, window)
	if err != nil {
		return burn.Aggregate{}, err
	}
	domains, err := ask(ctx, h, func(now time.Time, c *control) []burnTarget { return c.domainTargets(now) })
	if err != nil {
		return burn.Aggregate{}, err
	}
	h.askAll(ctx, &own, domains, port.BurnQuery{Window: window, WholeDomain: true}, burnDomainTimeout)
	return own, nil
}

// gatherDomain returns the counts of the own domain's hosts.
func (h *Host) gatherDomain(ctx context.Context, window time.Duration) (burn.Aggregate, error) {
	own, err := h.Burn(ctx, window)
	if err != nil {
		return burn.Aggregate{}, err
	}
	peers, err := ask(ctx, h, func(now time.Time, c *control) []burnTarget { return c.peerTargets(now) })
	if err != nil {
		return burn.Aggregate{}, err
	}
	h.askAll(ctx, &own, peers, port.BurnQuery{Window: window}, burnPeerTimeout)
	return own, nil
}

// peerTargets are the other hosts of the own domain. Hosts that are gone are
// asked as well, unless they left in good order: their counts are missed.
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

// domainTargets are the other domains: those that have been heard of and those
// that the configuration has endpoints in.
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

// askAll adds the answers of all targets. A target without an answer is named
// as missing.
func (h *Host) askAll(ctx context.Context, sum *burn.Aggregate, targets []burnTarget, query port.BurnQuery, timeout time.Duration) {
	answers := make([]burn.Aggregate, len(targets))
	var calls errgroup.Group
	calls.SetLimit(maxBurnCalls)
	for i, target := range targets {
		calls.Go(func() error {
			answers[i] = h.askTarget(ctx, target, query, timeout)
			return nil
		})
	}
	_ = calls.Wait()
	for _, answer := range answers {
		sum.Add(answer)
	}
}

func (h *Host) askTarget(ctx context.Context, target burnTarget, query port.BurnQuery, timeout time.Duration) burn.Aggregate {
	err := errNoGateway
	for _, address := range target.addresses {
		var counts burn.Aggregate
		if counts, err = h.askPeer(ctx, address, query, timeout); err == nil {
			return counts
		}
	}
	return burn.Aggregate{Missing: []burn.Missing{{Domain: target.domain, Host: target.host, Reason: err.Error()}}}
}

// askPeer bounds each call on its own, so that a frozen host leaves time for
// the next one.
func (h *Host) askPeer(ctx context.Context, address string, query port.BurnQuery, timeout time.Duration) (burn.Aggregate, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if h.opts.Peers == nil {
		return burn.Aggregate{}, errNoGateway
	}
	data, err := h.opts.Peers.Burn(ctx, address, query)
	if err != nil {
		return burn.Aggregate{}, err
	}
	return burn.Decode(data)
}
