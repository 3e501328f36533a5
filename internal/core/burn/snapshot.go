package burn

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Snapshot holds counts of one or more hosts.
type Snapshot struct {
	// Rows are ordered by class, then by failure domain.
	Rows []Row `json:"rows"`
}

// Row holds the counts of one class in one failure domain.
type Row struct {
	Class  model.ClassName  `json:"class"`
	Domain model.DomainName `json:"domain"`
	// Objective is the share of requests that are to be good.
	Objective float64 `json:"objective"`
	// Buckets are ordered by time; empty ones are left out.
	Buckets []Bucket `json:"buckets"`
}

// Bucket holds the counts of one minute.
type Bucket struct {
	// Minute is the minute since the Unix epoch.
	Minute int64 `json:"minute"`
	Counts
}

// Start returns the begin of the minute.
func (b *Bucket) Start() time.Time { return time.Unix(b.Minute*int64(bucketWidth/time.Second), 0) }

// DecodeError is a snapshot that cannot be read.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("burn snapshot: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Snapshot copies the counts of the window that ends now.
func (r *Recorder) Snapshot(now time.Time, window time.Duration) Snapshot {
	var s Snapshot
	for _, class := range r.Classes() {
		if row := r.Row(now, window, class); len(row.Buckets) > 0 {
			s.Rows = append(s.Rows, row)
		}
	}
	return s
}

// Classes lists the counted classes in their order in snapshots.
func (r *Recorder) Classes() []model.ClassName {
	return slices.Sorted(maps.Keys(r.rings))
}

// Row copies the counts of one class. It lets an owner that must not be held
// up copy class by class.
func (r *Recorder) Row(now time.Time, window time.Duration, class model.ClassName) Row {
	row := Row{Class: class, Domain: r.domain, Objective: r.targets[class].objective}
	if g, ok := r.rings[class]; ok {
		row.Buckets = g.since(now, window)
	}
	return row
}

func (g *ring) since(now time.Time, window time.Duration) []Bucket {
	last := bucketNumber(now)
	first := max(firstBucket(now, window), g.latest-bucketCount+1)
	if first > last {
		return nil
	}
	out := make([]Bucket, 0, last-first+1)
	for number := first; number <= last; number++ {
		b := &g.buckets[number%bucketCount]
		if b.number == number && b.Counts != (Counts{}) {
			out = append(out, Bucket{Minute: number, Counts: b.Counts})
		}
	}
	return out
}

// firstBucket returns the first bucket of a window that ends now. The window
// is rounded to whole buckets; the current bucket is one of them.
func firstBucket(now time.Time, window time.Duration) int64 {
	window = min(max(window, bucketWidth), Kept)
	return bucketNumber(now) - int64((window+bucketWidth-1)/bucketWidth) + 1
}

// Merge adds up snapshots of different hosts. Where the hosts have different
// objectives for a class, the strictest counts.
func Merge(snapshots ...Snapshot) Snapshot {
	rows := map[key]*Row{}
	for _, s := range snapshots {
		for _, row := range s.Rows {
			k := key{row.Class, row.Domain}
			if rows[k] == nil {
				rows[k] = &Row{Class: row.Class, Domain: row.Domain}
			}
			rows[k].Objective = max(rows[k].Objective, row.Objective)
			rows[k].Buckets = append(rows[k].Buckets, row.Buckets...)
		}
	}
	var merged Snapshot
	for _, row := range rows {
		row.Buckets = addEqualMinutes(row.Buckets)
		merged.Rows = append(merged.Rows, *row)
	}
	merged.sort()
	return merged
}

func addEqualMinutes(buckets []Bucket) []Bucket {
	slices.SortStableFunc(buckets, func(a, b Bucket) int { return cmp.Compare(a.Minute, b.Minute) })
	out := buckets[:0]
	for _, b := range buckets {
		if n := len(out); n > 0 && out[n-1].Minute == b.Minute {
			out[n-1].add(&b.Counts)
			continue
		}
		out = append(out, b)
	}
	return out
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Domain, b.Domain))
	})
}
