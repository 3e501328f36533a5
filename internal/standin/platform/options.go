// Package platform implements a small stand-in for the platform's services, for
// scenarios and first runs: the append-only log, the host list that shows
// changes late, and the rate-limited weight store. Faults can be injected over
// HTTP.
package platform

import "time"

// Default values of Options.
const (
	defaultAppendsPerSecond     = 400
	defaultAppendBurst          = 100
	defaultRetainRecords        = 100_000
	defaultRetainAge            = time.Hour
	defaultListExpiry           = 15 * time.Second
	defaultWeightCallsPerSecond = 2
	defaultWeightCallBurst      = 4
)

// Options configures a Server. Zero fields get default values.
type Options struct {
	// AppendsPerSecond is the rate limit of appends, across all streams.
	AppendsPerSecond float64
	// AppendBurst is the burst size of that limit.
	AppendBurst int
	// RetainRecords is the maximum number of records that each stream retains.
	RetainRecords int
	// RetainAge is how long each stream retains a record.
	RetainAge time.Duration
	// ListLag is the delay until the host list shows an announcement.
	ListLag time.Duration
	// ListExpiry is how long the list keeps an entry that isn't renewed.
	ListExpiry time.Duration
	// WeightCallsPerSecond is the rate limit of calls to the weight store.
	WeightCallsPerSecond float64
	// WeightCallBurst is the burst size of that limit.
	WeightCallBurst int
	// Weights maps the names of models and adapters to sizes in bytes. Other
	// names have defaultWeightBytes.
	Weights map[string]int64
}

func (o Options) withDefaults() Options {
	setDefault(&o.AppendsPerSecond, defaultAppendsPerSecond)
	setDefault(&o.AppendBurst, defaultAppendBurst)
	setDefault(&o.RetainRecords, defaultRetainRecords)
	setDefault(&o.RetainAge, defaultRetainAge)
	setDefault(&o.ListExpiry, defaultListExpiry)
	setDefault(&o.WeightCallsPerSecond, defaultWeightCallsPerSecond)
	setDefault(&o.WeightCallBurst, defaultWeightCallBurst)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
