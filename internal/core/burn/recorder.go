package burn

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

const (
	// bucketWidth is the time span of one bucket.
	bucketWidth = time.Minute
	// Retention is how long a Recorder keeps its counts.
	Retention = 24 * time.Hour
	// maxClasses bounds the number of classes of a Recorder, OtherClass
	// included. Requests of further classes are counted under OtherClass.
	maxClasses = 64

	bucketCount = int64(Retention / bucketWidth)
)

// OtherClass collects the counts of the classes beyond maxClasses.
const OtherClass model.ClassName = "other"

// Event describes the end of one request.
type Event struct {
	Class  model.ClassName
	Result Result
	// FirstToken is the time from the arrival of the request to the first
	// token or, for plain services, to the whole response.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens; 0 if there is none.
	BetweenTokens time.Duration
	// Tokens is the number of tokens delivered to the caller.
	Tokens int
}

// Recorder counts the requests of one host in buckets of one minute. Its memory
// is proportional to the number of classes, which is bounded. It is not safe for
// concurrent use.
type Recorder struct {
	domain  model.DomainName
	targets map[model.ClassName]target
	rings   map[model.ClassName]*ring
}

// target holds the latency targets and the objective of a class.
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

// SetClasses sets the targets and objectives of all classes. Requests that are
// already counted are not evaluated again.
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

// Record counts one ended request.
func (r *Recorder) Record(now time.Time, ev Event) {
	bucket := r.ring(ev.Class).bucketAt(now)
	if bucket != nil {
		bucket.countEvent(&ev, r.targets[ev.Class].isMet(&ev))
	}
}

// RecordWaste counts tokens that were generated but not used.
func (r *Recorder) RecordWaste(now time.Time, class model.ClassName, cause WasteCause, tokens int) {
	bucket := r.ring(class).bucketAt(now)
	if bucket == nil || tokens <= 0 || int(cause) >= wasteCauseCount {
		return
	}
	bucket.Wasted[cause] += uint64(tokens)
}

// isMet reports whether a complete response met the latency targets; 0 means no
// target.
func (t target) isMet(ev *Event) bool {
	if t.firstToken > 0 && ev.FirstToken > t.firstToken {
		return false
	}
	return t.betweenTokens <= 0 || ev.BetweenTokens <= t.betweenTokens
}

// ring returns the ring of the class, or that of OtherClass if the class is new
// and the bound is reached.
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

// ring is a ring buffer of the buckets of one class. A bucket is reused after
// Retention.
type ring struct {
	// latest is the largest bucket number seen.
	latest  int64
	buckets [bucketCount]bucket
}

type bucket struct {
	number int64
	Counts
}

// bucketAt returns the counts of the bucket that contains now, or nil if now is
// before the oldest bucket kept.
func (g *ring) bucketAt(now time.Time) *Counts {
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

// bucketNumber returns the number of the bucket that contains t, counted from
// the Unix epoch.
func bucketNumber(t time.Time) int64 { return t.Unix() / int64(bucketWidth/time.Second) }
