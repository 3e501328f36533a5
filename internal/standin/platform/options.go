// Package platform is a small stand-in for the platform's services: the
// append-only log, the lagging host list and the rate-limited weight store.
// Scenarios and first runs use it; its faults are switched over HTTP.
package platform

import "time"

// The defaults of Options.
const (
	defaultAppendsPerSecond = 400
	defaultAppendBurst      = 100
	defaultRetainRecords    = 100_000
	defaultRetainAge        = time.Hour
	defaultListExpiry       = 15 * time.Second
	defaultStatsPerSecond   = 2
	defaultStatBurst        = 4
)

// Options configures a Server. A zero field takes its default.
type Options struct {
	// AppendsPerSecond bounds the appends to all streams together.
	AppendsPerSecond float64
	// AppendBurst is the number of appends that may come at once.
	AppendBurst int
	// RetainRecords is the number of records that each stream keeps.
	RetainRecords int
	// RetainAge is how long each stream keeps a record.
	RetainAge time.Duration
	// ListLag is how late the host list shows what hosts announce.
	ListLag time.Duration
	// ListExpiry is how long the list keeps a host that does not renew.
	ListExpiry time.Duration
	// StatsPerSecond bounds the calls to the weight store.
	StatsPerSecond float64
	// StatBurst is the number of calls that may come at once.
	StatBurst int
	// Weights are the sizes in bytes by model or adapter. A name that is not
	// listed has defaultWeightBytes.
	Weights map[string]int64
}

func (o Options) withDefaults() Options {
	setDefault(&o.AppendsPerSecond, defaultAppendsPerSecond)
	setDefault(&o.AppendBurst, defaultAppendBurst)
	setDefault(&o.RetainRecords, defaultRetainRecords)
	setDefault(&o.RetainAge, defaultRetainAge)
	setDefault(&o.ListExpiry, defaultListExpiry)
	setDefault(&o.StatsPerSecond, defaultStatsPerSecond)
	setDefault(&o.StatBurst, defaultStatBurst)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
