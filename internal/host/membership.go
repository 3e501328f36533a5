package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// heartbeatTimeout bounds one exchange of heartbeats.
const heartbeatTimeout = time.Second

// runHeartbeats starts a round of heartbeats at each interval until ctx ends.
func (h *Host) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(h.opts.HeartbeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.loop.post(heartbeatRoundEvent{})
		}
	}
}

// heartbeatRoundEvent starts a round of heartbeats and updates what depends on the
// other hosts: leaving endpoints, the dispatcher's view of peers, the published
// members, and the configuration, which may be fetched or carried forward.
type heartbeatRoundEvent struct{}

func (heartbeatRoundEvent) apply(now time.Time, c *control) {
	c.heartbeatRounds++
	c.members.Tick(now)
	c.leaving.reconcile(now, c)
	c.updateSelf(now)
	targets, heartbeat := c.members.Round(now, c.dispatch.FreeRoom(now))
	for _, address := range targets {
		c.sendHeartbeat(address, c.members.TrimFor(heartbeat, address))
	}
	c.deliver(c.dispatch.SetPeers(now, c.members.View(now)))
	c.publishMembers(now)
	c.fetchNewerConfig(now)
	c.carryForwardConfig(now)
}

// updateSelf refreshes the state that this host reports of itself.
func (c *control) updateSelf(now time.Time) {
	state := membership.Ready
	switch {
	case c.host.leaving.Load():
		state = membership.Leaving
	case c.host.version() == 0:
		state = membership.Starting
	}
	c.members.UpdateSelf(state, c.host.version(), c.dispatch.Digest(now), c.leaving.locallyKnown())
}

// sendHeartbeat sends one heartbeat, unless one to the address is still in flight.
func (c *control) sendHeartbeat(address string, heartbeat membership.Heartbeat) {
	if c.heartbeatsInFlight[address] || c.host.opts.Peers == nil {
		return
	}
	c.heartbeatsInFlight[address] = true
	c.host.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		response, err := c.host.opts.Peers.Exchange(ctx, address, heartbeatToPort(heartbeat))
		c.host.loop.post(heartbeatResponseEvent{address: address, heartbeat: response, err: err})
	})
}

// broadcastUrgent sends heartbeats to all hosts of the local failure domain at once
// if the regular rounds would be too slow to announce a leaving endpoint.
func (c *control) broadcastUrgent(now time.Time) {
	addresses := c.members.UrgentTargets()
	if len(addresses) == 0 {
		return
	}
	c.updateSelf(now)
	heartbeat := c.members.Heartbeat(now, nil)
	for _, address := range addresses {
		delete(c.heartbeatsInFlight, address)
		c.sendHeartbeat(address, c.members.TrimFor(heartbeat, address))
	}
}

// heartbeatResponseEvent applies the response to a heartbeat to the membership
// table, or records that the call failed.
type heartbeatResponseEvent struct {
	address   string
	heartbeat port.Heartbeat
	err       error
}

func (e heartbeatResponseEvent) apply(now time.Time, c *control) {
	delete(c.heartbeatsInFlight, e.address)
	if e.err != nil {
		c.members.RecordCallFailure(e.address)
		return
	}
	c.members.Receive(now, heartbeatFromPort(e.heartbeat))
}

// HandleExchange receives a heartbeat of a peer and returns one of this host. It
// implements port.PeerHandler.
func (h *Host) HandleExchange(ctx context.Context, heartbeat port.Heartbeat) (port.Heartbeat, error) {
	return queryControl(ctx, h, func(now time.Time, c *control) port.Heartbeat {
		c.members.Receive(now, heartbeatFromPort(heartbeat))
		c.updateSelf(now)
		response := c.members.Heartbeat(now, c.dispatch.FreeRoom(now))
		return heartbeatToPort(c.members.TrimFor(response, heartbeat.PeerAddress))
	})
}

// broadcastLeaving announces to the other hosts at once that this host is leaving.
func (h *Host) broadcastLeaving() {
	h.loop.post(broadcastLeavingEvent{})
}

// broadcastLeavingEvent sends this host's state to all hosts of the local failure
// domain and to one host of each remote failure domain, and makes the dispatcher
// drain.
type broadcastLeavingEvent struct{}

func (broadcastLeavingEvent) apply(now time.Time, c *control) {
	c.updateSelf(now)
	heartbeat := c.members.Heartbeat(now, nil)
	for _, address := range c.members.AnnouncementTargets() {
		delete(c.heartbeatsInFlight, address)
		c.sendHeartbeat(address, c.members.TrimFor(heartbeat, address))
	}
	c.deliver(c.dispatch.SetDraining(now))
}
