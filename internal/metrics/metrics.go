// Package metrics holds the counters and histograms of a host and serves them to
// Prometheus. The number of values of each label is bounded; further values are
// counted under "other".
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// reportInterval is the time after which a count becomes visible to scrapes.
	reportInterval = time.Second
	// defaultMaxValues is the default bound on the number of values of a label.
	defaultMaxValues = 64
	// Other is the label value for all values above the bound.
	Other = "other"
)

// firstTokenBuckets are the upper bounds of the buckets for first-token latency,
// 1 ms to 32.768 s.
var firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// betweenTokensBuckets are the upper bounds of the buckets for the time between
// tokens, 1 ms to about 438 ms.
var betweenTokensBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 16)

// Options configures Metrics.
type Options struct {
	// MaxValues bounds the number of values of one label; 0 means 64.
	MaxValues int
}

// Metrics holds all counters and histograms of a host. It is safe for concurrent
// use.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	requests       *vec[tally.Counter]
	refusals       *vec[tally.Counter]
	spills         *vec[tally.Counter]
	retries        *vec[tally.Counter]
	ejections      *vec[tally.Counter]
	preemptions    *vec[tally.Counter]
	drains         *vec[tally.Counter]
	wasted         *vec[tally.Counter]
	shedReaders    *vec[tally.Counter]
	peerErrors     *vec[tally.Counter]
	platformErrors *vec[tally.Counter]
	dutyCalls      *vec[tally.Counter]
	orders         *vec[tally.Counter]
	aboveShare     *vec[tally.Counter]
	moves          *vec[tally.Counter]
	peerAttempts   *vec[tally.Counter]

	firstToken    *vec[tally.Histogram]
	betweenTokens *vec[tally.Histogram]

	knownHosts                            tally.Gauge
	builds, sameBuild                     tally.Gauge
	peerLinks                             tally.Gauge
	relay                                 tally.Gauge
	listAge                               tally.Gauge
	configAge                             tally.Gauge
	limited, brittle, pathsLost           tally.Gauge
	knownSpeeds, fastest, slowest         tally.Gauge
	quarantinedParts, quarantinedRequests tally.Gauge
	storeEra                              tally.Gauge
	memoryHeld, memoryLimit               tally.Gauge
	dutyHolder                            tally.Gauge
	usageReportAge                        tally.Gauge
	orderedEndpoints, servingEndpoints    tally.Gauge
	bootingEndpoints, leavingEndpoints    tally.Gauge
}

// Error is returned if the metrics cannot be set up.
type Error struct{ Cause error }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("set up metrics: %v", e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New creates the metrics of one host and starts reporting. Several may exist in
// one process. It fails with an *Error.
func New(opts Options) (*Metrics, error) {
	if opts.MaxValues == 0 {
		opts.MaxValues = defaultMaxValues
	}
	if opts.MaxValues < 0 {
		return nil, &Error{Cause: fmt.Errorf("MaxValues is %d, allowed is 0 or more", opts.MaxValues)}
	}
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "wigeonsail",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
	m.addCounters(opts.MaxValues)
	m.addHistograms(opts.MaxValues)
	m.addGauges()
	return m, nil
}

func (m *Metrics) addCounters(maxValues int) {
	counter := func(name string, labels ...string) *vec[tally.Counter] {
		return newVec(maxValues, labels, func(tags map[string]string) tally.Counter {
			return m.scope.Tagged(tags).Counter(name)
		})
	}
	m.requests = counter("requests_total", "class", "outcome")
	m.refusals = counter("refusals_total", "class", "reason")
	m.spills = counter("spills_total", "class", "domain")
	m.retries = counter("retries_total", "class", "reason")
	m.ejections = counter("ejections_total", "pool", "reason")
	m.preemptions = counter("preemptions_total", "class")
	m.drains = counter("drains_total", "pool", "source")
	m.wasted = counter("wasted_tokens_total", "class", "cause")
	m.shedReaders = counter("shed_readers_total", "class")
	m.peerErrors = counter("peer_errors_total", "op")
	m.dutyCalls = counter("duty_calls_total", "duty", "outcome")
	m.platformErrors = counter("platform_errors_total", "op", "outcome")
	m.moves = counter("moves_total", "class", "result")
	m.peerAttempts = counter("peer_attempts_total", "direction", "result")
	m.orders = counter("capacity_orders_total", "pool", "outcome")
	m.aboveShare = counter("above_share_total", "pool", "effect")
}

func (m *Metrics) addHistograms(maxValues int) {
	histogram := func(name string, buckets tally.Buckets) *vec[tally.Histogram] {
		return newVec(maxValues, []string{"class"}, func(tags map[string]string) tally.Histogram {
			return m.scope.Tagged(tags).Histogram(name, buckets)
		})
	}
	m.firstToken = histogram("first_token_seconds", firstTokenBuckets)
	m.betweenTokens = histogram("between_tokens_seconds", betweenTokensBuckets)
}

func (m *Metrics) addGauges() {
	m.knownHosts = m.scope.Gauge("known_hosts")
	m.builds, m.sameBuild = m.scope.Gauge("host_builds"), m.scope.Gauge("hosts_of_same_build")
	m.peerLinks = m.scope.Gauge("peer_links")
	m.relay = m.scope.Gauge("relay")
	m.listAge = m.scope.Gauge("list_age_seconds")
	m.limited = m.scope.Gauge("limited_endpoints")
	m.brittle = m.scope.Gauge("brittle_endpoints")
	m.pathsLost = m.scope.Gauge("paths_lost")
	m.knownSpeeds = m.scope.Gauge("engines_of_known_speed")
	m.fastest = m.scope.Gauge("fastest_engine_prefill_us")
	m.slowest = m.scope.Gauge("slowest_engine_prefill_us")
	m.quarantinedParts = m.scope.Gauge("quarantined_parts")
	m.quarantinedRequests = m.scope.Gauge("quarantined_requests")
	m.memoryHeld = m.scope.Gauge("memory_held_bytes")
	m.memoryLimit = m.scope.Gauge("memory_limit_bytes")
	m.configAge = m.scope.Gauge("config_age_seconds")
	m.dutyHolder = m.scope.Gauge("duty_holder")
	m.usageReportAge = m.scope.Gauge("usage_report_age_seconds")
	m.storeEra = m.scope.Gauge("store_era")
	m.orderedEndpoints = m.scope.Gauge("ordered_endpoints")
	m.servingEndpoints = m.scope.Gauge("serving_endpoints")
	m.bootingEndpoints = m.scope.Gauge("booting_endpoints")
	m.leavingEndpoints = m.scope.Gauge("leaving_endpoints")
}

// Handler returns a handler that serves the metrics in the text format of
// Prometheus. They are at most 1 s old.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the last counts and stops the reporting goroutine.
func (m *Metrics) Close() error { return m.closer.Close() }

// Discard returns Metrics that drop all counts.
func Discard() *Metrics {
	m := &Metrics{scope: tally.NoopScope, closer: io.NopCloser(nil), handler: http.NotFoundHandler()}
	m.addCounters(defaultMaxValues)
	m.addHistograms(defaultMaxValues)
	m.addGauges()
	return m
}
