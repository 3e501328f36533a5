package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// listEntriesPerSecond bounds the average number of entries of the platform's host
// list that a host reads per second, so that a long list is read less often. An
// entry is about 75 bytes.
const listEntriesPerSecond = 50

// announceEvery is the interval between renewals of this host's entry in the
// platform's host list.
const announceEvery = 3 * time.Second

// syncHostList reads the platform's host list and renews this host's entry until
// ctx ends. While the list is unreachable, heartbeats among the hosts continue.
func (h *Host) syncHostList(ctx context.Context) {
	var announced, due time.Time
	ticker := time.NewTicker(h.opts.ListEvery)
	defer ticker.Stop()
	for {
		now := time.Now()
		if now.Sub(announced) >= announceEvery && h.announceToHostList(ctx) == nil {
			announced = now
		}
		if !now.Before(due) {
			due = now.Add(h.readHostList(ctx))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readHostList reads the host list and posts it to the control loop. It returns the
// time until the next read is due, shortened by half a tick so that the read
// happens at the intended tick and not at the one after it.
func (h *Host) readHostList(ctx context.Context) time.Duration {
	hosts, err := h.opts.HostList.Hosts(ctx)
	if err != nil {
		return 0
	}
	h.loop.post(hostListEvent{hosts: hosts})
	return hostListInterval(h.opts.ListEvery, len(hosts)) - h.opts.ListEvery/2
}

// hostListInterval returns the interval between reads of a list with that many
// entries, at least minimum.
func hostListInterval(minimum time.Duration, entries int) time.Duration {
	return max(minimum, time.Duration(entries)*time.Second/listEntriesPerSecond)
}

// announceToHostList adds or renews this host's entry in the platform's host list.
func (h *Host) announceToHostList(ctx context.Context) error {
	return h.opts.HostList.Announce(ctx, port.ListedHost{
		Name:        string(h.opts.ID),
		Domain:      h.opts.Domain,
		PeerAddress: h.opts.PeerAddress,
		Leaving:     h.leaving.Load(),
	})
}

// hostListEvent applies a copy of the platform's host list to the membership table
// and to the leaving endpoints; entries without a peer address are endpoints. If
// the list marks this host as leaving, the host is requested to leave.
type hostListEvent struct {
	hosts []port.ListedHost
}

func (e hostListEvent) apply(now time.Time, c *control) {
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
	c.leaving.reconcile(now, c)
	if c.members.IsListedAsLeaving() && !c.host.leaving.Load() {
		c.host.requestLeave("the platform's list")
	}
}

// requestLeave closes the channel of LeaveRequested and logs who requested it.
// Further calls do nothing.
func (h *Host) requestLeave(by string) {
	h.leaveOnce.Do(func() {
		h.opts.Log.Infof("host: leave requested by %s", by)
		close(h.leaveRequested)
	})
}

// LeaveRequested returns a channel that is closed when an operator or the
// platform's host list requests that this host leave.
func (h *Host) LeaveRequested() <-chan struct{} { return h.leaveRequested }
