package host

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// configFetchTimeout bounds one call that fetches the configuration of a
	// peer.
	configFetchTimeout = 2 * time.Second
	// roundsBeforeAdopting is the number of heartbeat rounds that a host without
	// a configuration waits before it fetches one, so that it has received the
	// highest version number.
	roundsBeforeAdopting = 5
	// carryForwardTries is the number of attempts to carry a version forward
	// within the retention of the log.
	carryForwardTries = 8
)

// HandleFetchConfig returns the version in force if it is newer than newerThan, else
// the zero record. It implements port.PeerHandler.
func (h *Host) HandleFetchConfig(_ context.Context, newerThan model.Version) (port.ConfigRecord, error) {
	accepted := h.accepted.Load()
	if accepted == nil || accepted.Version <= newerThan {
		return port.ConfigRecord{}, nil
	}
	return *accepted, nil
}

// fetchNewerConfig fetches the configuration of a peer that has a newer version. A
// starting host does so only if it cannot get its first version from the log, and
// after some rounds of heartbeats.
func (c *control) fetchNewerConfig(now time.Time) {
	starting := c.host.version() == 0
	fromLog := c.config.logReachable && c.config.state.Settled()
	if c.config.fetching || (starting && (fromLog || c.heartbeatRounds < roundsBeforeAdopting)) {
		return
	}
	version, address := c.members.NewestVersion(now)
	known := c.config.state.Version()
	if version <= known || address == "" {
		return
	}
	c.config.fetching = true
	c.host.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
		defer cancel()
		rec, err := c.host.opts.Peers.FetchConfig(ctx, address, known)
		c.host.loop.post(configFetchedEvent{from: address, record: rec, err: err})
	})
}

// configFetchedEvent is the result of fetching a configuration from a peer. It
// adopts the version and puts it in force if it is newer.
type configFetchedEvent struct {
	from   string
	record port.ConfigRecord
	err    error
}

func (e configFetchedEvent) apply(now time.Time, c *control) {
	c.config.fetching = false
	log := c.host.opts.Log
	if e.err != nil {
		log.Warnf("config: cannot fetch a newer version: %v", e.err)
		return
	}
	if e.record.Version == 0 {
		return
	}
	change, err := c.config.state.Adopt(e.record.Offset, e.record.Data)
	if err != nil {
		log.Errorf("config: record from peer %s cannot be adopted: %v", e.from, err)
		return
	}
	c.handleConfigChange(change)
	c.activateNewest(now)
}

// carryForwardConfig appends a copy of the version in force before the log's
// retention drops it. The time differs between hosts, so that usually one host
// does it for all.
func (c *control) carryForwardConfig(now time.Time) {
	due, ok := c.config.state.CarryForwardDue(c.host.opts.Retention, c.host.idHashFraction())
	if !ok || c.config.carryingForward || now.Before(due) || now.Before(c.config.nextCarryForward) {
		return
	}
	current := c.config.state.Current()
	data, err := current.CarryForward(c.config.state.Next(), now).Encode()
	if err != nil {
		c.host.opts.Log.Errorf("config: version %d cannot be carried forward: %v", current.Record.Version, err)
		return
	}
	c.config.carryingForward = true
	c.config.nextCarryForward = now.Add(c.host.opts.Retention / carryForwardTries)
	c.host.background(func(ctx context.Context) {
		_, err := c.host.opts.PlatformLog.Append(ctx, ConfigStream, data)
		c.host.loop.post(configCarriedForwardEvent{version: current.Record.Version, err: err})
	})
}

// configCarriedForwardEvent is the result of an append that carries a version
// forward. It is logged, and the next copy may be appended.
type configCarriedForwardEvent struct {
	version model.Version
	err     error
}

func (e configCarriedForwardEvent) apply(_ time.Time, c *control) {
	c.config.carryingForward = false
	if e.err != nil {
		c.host.opts.Log.Warnf("config: version %d was not carried forward: %v", e.version, e.err)
		return
	}
	c.host.opts.Log.Infof("config: version %d is carried forward", e.version)
}

// idHashFraction returns a hash of the host ID as a number from 0 up to, but not
// including, 1. It makes hosts do the same work at different times.
func (h *Host) idHashFraction() float64 {
	const places = 1 << 16
	return float64(xxhash.Sum64String(string(h.opts.ID))%places) / places
}
