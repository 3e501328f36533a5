package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// heartbeatTimeout bounds one heartbeat and its answer.
const heartbeatTimeout = time.Second

// beat sends heartbeats in rounds until ctx ends.
func (h *Host) beat(ctx context.Context) {
	ticker := time.NewTicker(h.opts.HeartbeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.loop.post(roundEvent{})
		}
	}
}

// roundEvent starts a round of heartbeats.
type roundEvent struct{}

func (roundEvent) apply(now time.Time, c *control) {
	c.rounds++
	c.members.Tick(now)
	c.leaving.restore(now, c)
	c.updateSelf(now)
	targets, beat := c.members.Round(now, c.dispatch.FreeRoom(now))
	for _, address := range targets {
		c.sendBeat(address, c.members.TrimFor(beat, address))
	}
	c.carryOut(c.dispatch.SetPeers(now, c.members.View(now)))
	c.shareMembers(now)
	c.relayConfig(now)
	c.carryConfig(now)
}

// updateSelf refreshes what this host tells of itself.
func (c *control) updateSelf(now time.Time) {
	state := membership.Ready
	switch {
	case c.host.leaving.Load():
		state = membership.Leaving
	case c.host.version() == 0:
		state = membership.Starting
	}
	c.members.UpdateSelf(state, c.host.version(), c.dispatch.Digest(now), c.leaving.firstHand())
}

// sendBeat sends one heartbeat, unless the last one to the address is still
// under way.
func (c *control) sendBeat(address string, beat membership.Heartbeat) {
	if c.beating[address] || c.host.opts.Peers == nil {
		return
	}
	c.beating[address] = true
	c.host.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		answer, err := c.host.opts.Peers.Exchange(ctx, address, heartbeatOf(beat))
		c.host.loop.post(beatAnswerEvent{address: address, beat: answer, err: err})
	})
}

// tellUrgently tells the own domain of a new leaving endpoint at once when the
// rounds of heartbeats are too slow for it.
func (c *control) tellUrgently(now time.Time) {
	addresses := c.members.UrgentTargets()
	if len(addresses) == 0 {
		return
	}
	c.updateSelf(now)
	beat := c.members.Heartbeat(now, nil)
	for _, address := range addresses {
		delete(c.beating, address)
		c.sendBeat(address, c.members.TrimFor(beat, address))
	}
}

// beatAnswerEvent is the end of a heartbeat.
type beatAnswerEvent struct {
	address string
	beat    port.Heartbeat
	err     error
}

func (e beatAnswerEvent) apply(now time.Time, c *control) {
	delete(c.beating, e.address)
	if e.err != nil {
		c.members.RecordCallFailure(e.address)
		return
	}
	c.members.Receive(now, beatOf(e.beat))
}

// HandleExchange takes a peer's heartbeat and answers with this host's.
func (h *Host) HandleExchange(ctx context.Context, beat port.Heartbeat) (port.Heartbeat, error) {
	return ask(ctx, h, func(now time.Time, c *control) port.Heartbeat {
		c.members.Receive(now, beatOf(beat))
		c.updateSelf(now)
		answer := c.members.Heartbeat(now, c.dispatch.FreeRoom(now))
		return heartbeatOf(c.members.TrimFor(answer, beat.PeerAddress))
	})
}

// announceLeaving tells the other hosts at once.
func (h *Host) announceLeaving() {
	h.loop.post(announceEvent{})
}

// announceEvent tells the own domain, and a host of each other one, what this
// host is doing now.
type announceEvent struct{}

func (announceEvent) apply(now time.Time, c *control) {
	c.updateSelf(now)
	beat := c.members.Heartbeat(now, nil)
	for _, address := range c.members.AnnouncementTargets() {
		delete(c.beating, address)
		c.sendBeat(address, c.members.TrimFor(beat, address))
	}
	c.carryOut(c.dispatch.SetDraining(now))
}
