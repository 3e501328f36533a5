package burn

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

const (
	// bucketWidth is the time span of one bucket.
	bucketWidth = time.Minute
	// Kept is how far back a Recorder counts.
	Kept = 24 * time.Hour
	// maxClasses bounds the classes of a Recorder. Further ones are counted
	// under OtherClass.
	maxClasses = 64

	bucketCount = int64(Kept / bucketWidth)
)

// OtherClass collects the counts of classes above the bound.
const OtherClass model.ClassName = "other"

// Event is the end of one request.
type Event struct {
	Class  model.ClassName
	Result Result
	// FirstToken is the time from the request's arrival to the first token
	// or, for plain services, to the whole answer.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens; 0 for none.
	BetweenTokens time.Duration
	// Tokens were delivered to the caller.
	Tokens int
}

// Recorder counts the requests of one host in buckets of a minute. Its memory
// is bounded by the number of classes. It is not safe for concurrent use.
type Recorder struct {
	domain  model.DomainName
	targets map[model.ClassName]target
	rings   map[model.ClassName]*ring
}

type target struct {
	firstToken    time.Duration
	betweenTokens time.Duration
	objective     float64
}

// NewRecorder returns a Recorder for a host of the failure domain.
func NewRecorder(domain model.DomainName) *Recorder {
	return &Recorder{
		domain:  domain,
		targets: map[model.ClassName]target{},
		rings:   map[model.ClassName]*ring{},
	}
}

// SetClasses takes the targets and objectives of a configuration. Requests
// that were counted before keep their judgement.
func (r *Recorder) SetClasses(classes []opconfig.Class) {
	r.targets = make(map[model.ClassName]target, len(classes))
	for _, c := range classes {
		r.targets[c.Name] = target{
			firstToken:    c.FirstToken.Std(),
			betweenTokens: c.BetweenTokens.Std(),
			objective:     c.Objective,
		}
	}
}

// Record counts the end of a request.
func (r *Recorder) Record(now time.Time, ev Event) {
	bucket := r.ring(ev.Class).at(now)
	if bucket != nil {
		bucket.count(&ev, r.targets[ev.Class].met(&ev))
	}
}

// Waste counts tokens that were generated and not used.
func (r *Recorder) Waste(now time.Time, class model.ClassName, cause WasteCause, tokens int) {
	bucket := r.ring(class).at(now)
	if bucket == nil || tokens <= 0 || int(cause) >= wasteCauses {
		return
	}
	bucket.Wasted[cause] += uint64(tokens)
}

// met tells whether a whole answer met the latency targets; 0 is no target.
func (t target) met(ev *Event) bool {
	if t.firstToken > 0 && ev.FirstToken > t.firstToken {
		return false
	}
	return t.betweenTokens <= 0 || ev.BetweenTokens <= t.betweenTokens
}

func (r *Recorder) ring(class model.ClassName) *ring {
	if found, ok := r.rings[class]; ok {
		return found
	}
	if len(r.rings) >= maxClasses-1 {
		class = OtherClass
	}
	if found, ok := r.rings[class]; ok {
		return found
	}
	created := &ring{}
	r.rings[class] = created
	return created
}

// ring holds the buckets of one class. A bucket is used again after Kept.
type ring struct {
	// latest is the largest bucket number seen.
	latest  int64
	buckets [bucketCount]bucket
}

type bucket struct {
	number int64
	Counts
}

// at returns the counts of the bucket that now falls into, or nil when now is
// older than all kept buckets.
func (g *ring) at(now time.Time) *Counts {
	number := bucketNumber(now)
	if number <= g.latest-bucketCount {
		return nil
	}
	g.latest = max(g.latest, number)
	b := &g.buckets[number%bucketCount]
	if b.number != number {
		*b = bucket{number: number}
	}
	return &b.Counts
}

func bucketNumber(t time.Time) int64 { return t.Unix() / int64(bucketWidth/time.Second) }
