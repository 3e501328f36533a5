package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// listEntriesPerSecond bounds how many entries of the platform's list a host
// reads in a second: a long list is read less often. An entry takes about 75
// bytes.
const listEntriesPerSecond = 50

// announceEvery is the time between renewals of this host's entry in the
// platform's list.
const announceEvery = 3 * time.Second

// followList reads the platform's host list and renews this host's entry
// until ctx ends. Without the list the peers' heartbeats go on.
func (h *Host) followList(ctx context.Context) {
	var announced, due time.Time
	ticker := time.NewTicker(h.opts.ListEvery)
	defer ticker.Stop()
	for {
		now := time.Now()
		if now.Sub(announced) >= announceEvery && h.announce(ctx) == nil {
			announced = now
		}
		if !now.Before(due) {
			due = now.Add(h.readList(ctx))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readList hands the list to the control loop. It returns the time until the
// next read, which ends half a tick early so that the tick finds it due.
func (h *Host) readList(ctx context.Context) time.Duration {
	hosts, err := h.opts.HostList.Hosts(ctx)
	if err != nil {
		return 0
	}
	h.loop.post(listEvent{hosts: hosts})
	return listInterval(h.opts.ListEvery, len(hosts)) - h.opts.ListEvery/2
}

// listInterval is the time between reads of a list of that many entries.
func listInterval(least time.Duration, entries int) time.Duration {
	return max(least, time.Duration(entries)*time.Second/listEntriesPerSecond)
}

// announce adds or renews this host's entry in the platform's list.
func (h *Host) announce(ctx context.Context) error {
	return h.opts.HostList.Announce(ctx, port.ListedHost{
		Name:        string(h.opts.ID),
		Domain:      h.opts.Domain,
		PeerAddress: h.opts.PeerAddress,
		Leaving:     h.leaving.Load(),
	})
}

// listEvent is the platform's host list.
type listEvent struct {
	hosts []port.ListedHost
}

func (e listEvent) apply(now time.Time, c *control) {
	listed := make([]membership.ListedHost, 0, len(e.hosts))
	for _, h := range e.hosts {
		if h.PeerAddress == "" {
			c.leaving.listed[model.EndpointName(h.Name)] = h.Leaving
			continue
		}
		listed = append(listed, membership.ListedHost{
			Host: model.HostID(h.Name), Domain: h.Domain, Address: h.PeerAddress, Leaving: h.Leaving,
		})
	}
	c.members.SetHostList(now, listed)
	c.leaving.restore(now, c)
	if c.members.IsListedAsLeaving() && !c.host.leaving.Load() {
		c.host.askToLeave("the platform's list")
	}
}

// askToLeave closes LeaveAsked.
func (h *Host) askToLeave(by string) {
	h.leaveOnce.Do(func() {
		h.opts.Log.Infof("host: told to leave by %s", by)
		close(h.leaveAsked)
	})
}

// LeaveAsked is closed when an operator or the platform's list tells this
// host to leave.
func (h *Host) LeaveAsked() <-chan struct{} { return h.leaveAsked }
