package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// goldenRatio spreads the rounding of shares evenly over the endpoints of a
// pool.
const goldenRatio = 0.6180339887

// meanWeight is the weight of the newest sample in a moving average.
const meanWeight = 0.1

// Endpoint is the state of one endpoint of this host's failure domain.
type Endpoint struct {
	Name    model.EndpointName
	Address string
	// Index is the position in the pool, which is the same at all hosts.
	Index int
	// LocalInFlight is the number of this host's requests in flight at the
	// endpoint.
	LocalInFlight int
	// Limit is how many requests this host may have in flight at the endpoint.
	Limit int
	// ProtectedLimit is the limit for protected classes, which may use all the
	// room that the peers do not use.
	ProtectedLimit int
	// Peers is the state of the other hosts at the endpoint.
	Peers PeersView
	// ConfiguredRoom is the room in the configuration. Room is the learned one.
	ConfiguredRoom int
	Room           Room
	// ReportsLoad reports whether the endpoint sends current load reports.
	ReportsLoad bool
	Health      Health
	// CanResume reports whether the engine can resume a stream at a token
	// number.
	CanResume bool
	// Models lists the models and adapters that the endpoint has reported as
	// loaded; empty while unknown.
	Models []model.ModelName

	leaving    [leavingSources]bool
	hash       uint64
	firstToken movingMean
	// latencyByClass is indexed by class, since prompts differ between classes.
	latencyByClass []classLatency
}

// LeavingSource identifies who reported that an endpoint is leaving.
type LeavingSource uint8

// The sources. An endpoint is leaving if any of them says so.
const (
	// LeavingConfig is the configuration.
	LeavingConfig LeavingSource = iota
	// LeavingReport is the endpoint's own report.
	LeavingReport
	// LeavingList is the platform's endpoint list or another host.
	LeavingList
	leavingSources
)

// NewEndpoint returns an endpoint with the configured room.
func NewEndpoint(name model.EndpointName, address string, room int) *Endpoint {
	return &Endpoint{
		Name:           name,
		Address:        address,
		ConfiguredRoom: room,
		Room:           NewRoom(room),
		Limit:          max(room, 1),

		ProtectedLimit: max(room, 1),
		Peers:          PeersView{Interval: FullInterval},
		hash:           xxhash.Sum64String(string(name)),
	}
}

// SetLeaving sets whether a source reports the endpoint as leaving.
func (e *Endpoint) SetLeaving(source LeavingSource, leaving bool) { e.leaving[source] = leaving }

// IsLeaving reports whether any source reports the endpoint as leaving.
func (e *Endpoint) IsLeaving() bool { return e.leaving != [leavingSources]bool{} }

// IsUsable reports whether the endpoint may get new requests.
func (e *Endpoint) IsUsable(now time.Time) bool {
	if e.IsLeaving() {
		return false
	}
	return !e.Health.IsEjected() || e.Health.IsTrialDue(now)
}

// FreeRoom returns how many more requests this host may send to the endpoint
// now: one to an ejected endpoint whose trial is due, none to an unusable one.
// For a protected class, ProtectedLimit applies.
func (e *Endpoint) FreeRoom(now time.Time, protected bool) int {
	if !e.IsUsable(now) {
		return 0
	}
	if e.Health.IsEjected() {
		return 1
	}
	if protected {
		return max(e.ProtectedLimit-e.LocalInFlight, 0)
	}
	return max(e.Limit-e.LocalInFlight, 0)
}

// UpdateLimits recomputes the limits after the room or the state of the peers
// has changed.
func (e *Endpoint) UpdateLimits(s Sharing) {
	_, offset := math.Modf(float64(e.Index) * goldenRatio)
	e.Limit = s.limit(e.Room.Value(), e.Peers, offset)
	e.ProtectedLimit = e.Limit
	if s == SharingByDemand {
		e.ProtectedLimit = max(e.Limit, e.Room.Value()-e.Peers.InFlight)
	}
}

// RecordFirstToken records the time to a first token, or to the whole response
// of a plain service, and adjusts the room. index and target are those of the
// class.
func (e *Endpoint) RecordFirstToken(now time.Time, index int, took, target time.Duration) {
	e.firstToken.add(took)
	for len(e.latencyByClass) <= index {
		e.latencyByClass = append(e.latencyByClass, classLatency{})
	}
	if e.latencyByClass[index].recordSample(now, took, target, e.ReportsLoad) {
		e.Room.RecordCongestion(now)
		return
	}
	e.Room.RecordOnTime(e.LocalInFlight + e.Peers.InFlight)
}

// isSlowerThan reports whether the mean time to the first token exceeds
// slowFactor times the median of the pool.
func (e *Endpoint) isSlowerThan(median time.Duration) bool {
	if median <= 0 || e.firstToken.count < minSlowSamples {
		return false
	}
	return float64(e.firstToken.mean) > slowFactor*float64(median)
}

// score returns the relative expected time to a first token from load and
// speed; smaller is better.
func (e *Endpoint) score() float64 {
	load := float64(e.LocalInFlight+e.Peers.InFlight+1) / float64(e.Room.Value())
	seconds := max(e.firstToken.mean.Seconds(), minFirstToken.Seconds())
	return load * seconds
}

// minFirstToken is the shortest mean used in a score, so that endpoints without
// samples can be compared.
const minFirstToken = time.Millisecond

// movingMean is a mean of the first samples that becomes an exponential moving
// average.
type movingMean struct {
	mean  time.Duration
	count int
}

// add adds a sample.
func (m *movingMean) add(v time.Duration) {
	m.count++
	weight := max(meanWeight, 1/float64(m.count))
	m.mean += time.Duration(weight * float64(v-m.mean))
}

// reset discards all samples.
func (m *movingMean) reset() { *m = movingMean{} }
