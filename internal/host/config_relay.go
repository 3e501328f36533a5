package host

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// configFetchTimeout bounds one call to a peer for its configuration.
	configFetchTimeout = 2 * time.Second
	// roundsBeforeAdopting is the number of rounds of heartbeats that a host
	// without a configuration waits, so that it hears of the highest version.
	roundsBeforeAdopting = 5
	// copyTries is the number of tries to carry a version forward in the time
	// that the log still keeps it.
	copyTries = 8
)

// HandleFetchConfig returns the version in force where it is newer; else the
// zero record.
func (h *Host) HandleFetchConfig(_ context.Context, newerThan model.Version) (port.ConfigRecord, error) {
	accepted := h.accepted.Load()
	if accepted == nil || accepted.Version <= newerThan {
		return port.ConfigRecord{}, nil
	}
	return *accepted, nil
}

// relayConfig asks a peer for its version where that is newer. A host that
// starts takes its first version from the log where the log still has one.
func (c *control) relayConfig(now time.Time) {
	starting := c.host.version() == 0
	fromLog := c.config.logReachable && c.config.state.Settled()
	if c.config.fetching || (starting && (fromLog || c.rounds < roundsBeforeAdopting)) {
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

// configFetchedEvent is a peer's answer.
type configFetchedEvent struct {
	from   string
	record port.ConfigRecord
	err    error
}

func (e configFetchedEvent) apply(now time.Time, c *control) {
	c.config.fetching = false
	log := c.host.opts.Log
	if e.err != nil {
		log.Warnf("config: %v", e.err)
		return
	}
	if e.record.Version == 0 {
		return
	}
	change, err := c.config.state.Adopt(e.record.Offset, e.record.Data)
	if err != nil {
		log.Errorf("config: record of peer %s: %v", e.from, err)
		return
	}
	c.configChanged(change)
	c.enforce(now)
}

// carryConfig appends the version in force again ahead of the log's
// retention. Hosts differ in when, so that one does it for all.
func (c *control) carryConfig(now time.Time) {
	due, ok := c.config.state.CarryForwardDue(c.host.opts.Retention, c.host.spread())
	if !ok || c.config.copying || now.Before(due) || now.Before(c.config.nextCopy) {
		return
	}
	current := c.config.state.Current()
	data, err := current.CarryForward(c.config.state.Next(), now).Encode()
	if err != nil {
		c.host.opts.Log.Errorf("config: version %d cannot be carried forward: %v", current.Record.Version, err)
		return
	}
	c.config.copying = true
	c.config.nextCopy = now.Add(c.host.opts.Retention / copyTries)
	c.host.background(func(ctx context.Context) {
		_, err := c.host.opts.PlatformLog.Append(ctx, ConfigStream, data)
		c.host.loop.post(configCopiedEvent{version: current.Record.Version, err: err})
	})
}

// configCopiedEvent is the end of an append that carried a version forward.
type configCopiedEvent struct {
	version model.Version
	err     error
}

func (e configCopiedEvent) apply(_ time.Time, c *control) {
	c.config.copying = false
	if e.err != nil {
		c.host.opts.Log.Warnf("config: version %d was not carried forward: %v", e.version, e.err)
		return
	}
	c.host.opts.Log.Infof("config: version %d is carried forward", e.version)
}

// spread places the host between 0 and 1 among the others.
func (h *Host) spread() float64 {
	const places = 1 << 16
	return float64(xxhash.Sum64String(string(h.opts.ID))%places) / places
}
