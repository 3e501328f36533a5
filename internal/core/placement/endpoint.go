package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// goldenRatio spreads the rounding of parts evenly over the endpoints of a pool.
const goldenRatio = 0.6180339887

// meanWeight is the weight of the newest sample in a learned mean.
const meanWeight = 0.1

// Endpoint is what this host knows of one endpoint of its failure domain.
type Endpoint struct {
	Name    model.EndpointName
	Address string
	// Index is the position in the pool, the same at all hosts.
	Index int
	// Own is this host's work at the endpoint.
	Own int
	// Limit is how much work this host may have at the endpoint.
	Limit int
	// ProtectedLimit is the same for protected classes, which may use what the
	// peers leave.
	ProtectedLimit int
	// Peers is what is known of the other hosts before the endpoint.
	Peers PeersView
	// Configured is the room of the configuration.
	Configured int
	Room       Room
	// Reports says that the endpoint tells its own load.
	Reports bool
	Health  Health
	// CanResume says that the engine resumes a stream at a token number.
	CanResume bool
	// Models are the models and adapters that the endpoint reported as
	// loaded; empty while unknown.
	Models []model.ModelName

	leaving    [leavingSources]bool
	hash       uint64
	firstToken movingMean
	// latency is learned by class, since prompts differ between classes.
	latency []latency
}

// LeavingSource is where a leave was learned from.
type LeavingSource uint8

// The sources of leaving, each of which is enough.
const (
	// LeavingConfig is the configuration.
	LeavingConfig LeavingSource = iota
	// LeavingReport is the endpoint's own report.
	LeavingReport
	// LeavingList is the platform's list or another host.
	LeavingList
	leavingSources
)

// NewEndpoint returns an endpoint with its configured room.
func NewEndpoint(name model.EndpointName, address string, room int) *Endpoint {
	return &Endpoint{
		Name:       name,
		Address:    address,
		Configured: room,
		Room:       NewRoom(room),
		Limit:      max(room, 1),

		ProtectedLimit: max(room, 1),
		Peers:          PeersView{Part: Whole},
		hash:           xxhash.Sum64String(string(name)),
	}
}

// SetLeaving notes what one source says.
func (e *Endpoint) SetLeaving(source LeavingSource, leaving bool) { e.leaving[source] = leaving }

// Leaving says that any source knows the endpoint to be leaving.
func (e *Endpoint) Leaving() bool { return e.leaving != [leavingSources]bool{} }

// Usable says that the endpoint may get new work.
func (e *Endpoint) Usable(now time.Time) bool {
	if e.Leaving() {
		return false
	}
	return !e.Health.Ejected() || e.Health.TrialDue(now)
}

// Free returns how many more requests this host may send now.
func (e *Endpoint) Free(now time.Time, protected bool) int {
	if !e.Usable(now) {
		return 0
	}
	if e.Health.Ejected() {
		return 1
	}
	if protected {
		return max(e.ProtectedLimit-e.Own, 0)
	}
	return max(e.Limit-e.Own, 0)
}

// Refresh works out the limit after the room or the peers' work changed.
func (e *Endpoint) Refresh(s Sharing) {
	_, offset := math.Modf(float64(e.Index) * goldenRatio)
	e.Limit = s.limit(e.Room.Value(), e.Peers, offset)
	e.ProtectedLimit = e.Limit
	if s == SharingParts {
		e.ProtectedLimit = max(e.Limit, e.Room.Value()-e.Peers.InFlight)
	}
}

// FirstToken takes the time to a first token, or to a plain service's whole
// answer, of the class at index with its latency target.
func (e *Endpoint) FirstToken(now time.Time, index int, took, target time.Duration) {
	e.firstToken.add(took)
	for len(e.latency) <= index {
		e.latency = append(e.latency, latency{})
	}
	if e.latency[index].add(now, took, target, e.Reports) {
		e.Room.Congested(now)
		return
	}
	e.Room.Good(e.Own + e.Peers.InFlight)
}

func (e *Endpoint) slowerThan(median time.Duration) bool {
	if median <= 0 || e.firstToken.count < slowSamples {
		return false
	}
	return float64(e.firstToken.mean) > slowFactor*float64(median)
}

// score is the expected time to a first token by load and speed; smaller is
// better.
func (e *Endpoint) score() float64 {
	load := float64(e.Own+e.Peers.InFlight+1) / float64(e.Room.Value())
	speed := max(e.firstToken.mean.Seconds(), minSpeed.Seconds())
	return load * speed
}

// minSpeed keeps endpoints without samples comparable.
const minSpeed = time.Millisecond

type movingMean struct {
	mean  time.Duration
	count int
}

func (m *movingMean) add(v time.Duration) {
	m.count++
	weight := max(meanWeight, 1/float64(m.count))
	m.mean += time.Duration(weight * float64(v-m.mean))
}

func (m *movingMean) reset() { *m = movingMean{} }
