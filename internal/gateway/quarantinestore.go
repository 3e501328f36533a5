package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The quarantine in the platform's store. Hosts learn it from each other; the store is
// for the time after all of them were down. It is read once by a host that starts, and
// written by the host whose crash or response changes the quarantine, and again once the
// store was restored from an older copy.

const (
	// minStoreRetryDelay and maxStoreRetryDelay bound the delay between tries of a read
	// or write that fails.
	minStoreRetryDelay = 500 * time.Millisecond
	maxStoreRetryDelay = 5 * time.Second
	// maxStoreWrites bounds the tries of a write.
	maxStoreWrites = 20
)

// loadQuarantine reads the suspects from the store, and passes them to the control loop. It tries until the store answers or ctx ends.
func (g *Gateway) loadQuarantine(ctx context.Context) {
	if g.opts.Quarantine == nil {
		return
	}
	for delay := time.Duration(0); clock.Sleep(ctx, delay); delay = nextStoreDelay(delay) {
		suspects, err := g.opts.Quarantine.Suspects(ctx)
		if err != nil {
			g.opts.Log.WithError(err).Warn("quarantine: reading the store failed")
			continue
		}
		if len(suspects) > 0 {
			g.loop.Post(loop.Func(func(now time.Time) { g.control.adoptQuarantine(now, suspects) }))
		}
		return
	}
}

// nextStoreDelay returns the delay after one that was too short.
func nextStoreDelay(delay time.Duration) time.Duration {
	return min(max(2*delay, minStoreRetryDelay), maxStoreRetryDelay)
}

// adoptQuarantine applies the suspects that the store has.
func (c *control) adoptQuarantine(now time.Time, suspects []port.StoredSuspect) {
	var report quarantine.Report
	for _, s := range suspects {
		// The clock may have been ahead when the suspect was saved.
		age := max(now.Sub(s.At), 0)
		report.Suspects = append(report.Suspects, quarantine.SuspectEvidence{
			Suspect: s.Suspect, Evidence: quarantine.Evidence{Crashes: s.Crashes, At: now.Add(-age)},
		})
	}
	changes, _ := c.quarantine.Merge(now, report)
	c.applyQuarantineChanges(changes, sourceStore)
}

// suspectKey is the key of the writes for a suspect.
func suspectKey(s quarantine.Suspect) string { return "suspect " + s.String() }

// saveSuspects writes all suspects to the store. The hosts that read the store do so.
func (c *control) saveSuspects() {
	if !c.gateway.reading.Load() {
		return
	}
	var changes []quarantine.Change
	for _, s := range c.quarantine.Suspects() {
		changes = append(changes, quarantine.Change{Suspect: s.Suspect, Evidence: s.Evidence})
	}
	c.saveQuarantine(changes)
}

// saveQuarantine writes changes of the quarantine to the store.
func (c *control) saveQuarantine(changes []quarantine.Change) {
	store := c.gateway.opts.Quarantine
	if store == nil {
		return
	}
	for _, change := range changes {
		c.writes.add(suspectKey(change.Suspect), func(ctx context.Context) error {
			if change.Released {
				return store.ReleaseSuspect(ctx, change.Suspect)
			}
			return store.SaveSuspect(ctx, port.StoredSuspect{Suspect: change.Suspect, Crashes: change.Crashes, At: change.At})
		})
	}
}
