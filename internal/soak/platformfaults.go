package soak

import (
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

// Faults of what the platform states: the store is restored from an older copy, another
// writer adds entries to the list of endpoints, and endpoints state in their responses that
// they are leaving or want no requests.

const (
	// platformFaultPause is the time between the starts of two of these faults.
	platformFaultPause = 1500 * time.Millisecond
	// restoreOutage is how long the store is away when it is restored.
	restoreOutage = 200 * time.Millisecond
	// republishDelay is the time after which the operator and the endpoints write
	// again to a restored store. The platform states about 2 s.
	republishDelay = 500 * time.Millisecond
	// maxKeyBytes and maxRecordBytes bound the keys and the records of the store.
	maxKeyBytes    = 255
	maxRecordBytes = 1 << 20
)

// tickPlatform starts the next fault if it is due.
func (f *faultInjector) tickPlatform(now time.Time) {
	if now.Before(f.nextPlatformFault) {
		return
	}
	f.nextPlatformFault = now.Add(platformFaultPause)
	f.count++
	duration := minFaultDuration + time.Duration(f.platformRNG.Int64N(int64(maxFaultDuration-minFaultDuration)))
	all := f.environment.endpoints()
	e := all[f.platformRNG.IntN(len(all))]
	switch f.platformRNG.IntN(4) {
	case 0:
		f.restoreStore(now, duration)
	case 1:
		f.reportLeaving(now, e, duration)
	case 2:
		f.addForeignEntry()
	default:
		f.environment.trace("refuse with a Retry-After at %s for %s", e.Instance(), duration.Round(time.Millisecond))
		e.SetFaults(replica.Faults{QueueFull: true, RetryAfter: "0.7"})
		f.scheduleEnd(now, duration, func() { e.SetFaults(replica.Faults{}) })
	}
}

// restoreStore loses what is written to the store during a duration.
func (f *faultInjector) restoreStore(now time.Time, duration time.Duration) {
	env := f.environment
	env.trace("restore the store from a copy in %s", duration.Round(time.Millisecond))
	copied := env.store.Copy()
	f.scheduleEnd(now, duration, func() { env.store.SetFault(logstore.FaultUnavailable) })
	f.scheduleEnd(now, duration+restoreOutage, func() {
		env.store.Restore(copied)
		env.store.SetFault(logstore.FaultNone)
	})
	f.scheduleEnd(now, duration+restoreOutage+republishDelay, env.republish)
}

// addForeignEntry lets another writer write an entry that names no endpoint to use, or remove
// one that it has written.
func (f *faultInjector) addForeignEntry() {
	keys := []string{users.ForeignKey, "stock-1", strings.Repeat("\xff", maxKeyBytes), "\n"}
	values := []string{
		"", users.ForeignEntry, strings.Replace(users.ForeignEntry, "stock", "z\xfcrich", 1), strings.Replace(users.ForeignEntry, "stock", strings.Repeat("s", maxRecordBytes/2), 1),
		strings.Replace(users.ForeignEntry, ":4", ":9223372036854775807", 1), `{"service":7}`, "\x00\xff", strings.Repeat("[", maxRecordBytes/2),
	}
	key, value := f.platformRNG.IntN(len(keys)), f.platformRNG.IntN(len(values))
	f.environment.trace("foreign entry %d under key %d", value, key)
	f.environment.store.Put(users.EndpointsTopic, keys[key], []byte(values[value]))
}

// reportLeaving lets an endpoint state that it is leaving, before it is listed as
// draining and replaced.
func (f *faultInjector) reportLeaving(now time.Time, e *endpoint, duration time.Duration) {
	if !e.drained.IsZero() || !e.leavingSince.IsZero() {
		return
	}
	f.environment.trace("%s states that it is leaving", e.Instance())
	f.environment.mu.Lock()
	e.leavingSince = now
	f.environment.mu.Unlock()
	e.SetFaults(replica.Faults{Leaving: true})
	f.scheduleEnd(now, duration, func() { f.replaceEndpoint(e) })
}
