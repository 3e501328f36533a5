package burn

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Snapshot holds the counts of one or more hosts.
type Snapshot struct {
	// Rows are ordered by class, then by failure domain.
	Rows []Row `json:"rows"`
}

// Row holds the counts of one class in one failure domain.
type Row struct {
	Class  model.ClassName  `json:"class"`
	Domain model.DomainName `json:"domain"`
	// Objective is the target share of good requests, from 0 to 1.
	Objective float64 `json:"objective"`
	// Buckets are ordered by time; empty buckets are omitted.
	Buckets []Bucket `json:"buckets"`
}

// Bucket holds the counts of one minute.
type Bucket struct {
	// Minute is the number of the minute since the Unix epoch.
	Minute int64 `json:"minute"`
	Counts
}

// Start returns the start of the minute.
func (b *Bucket) Start() time.Time { return time.Unix(b.Minute*int64(bucketWidth/time.Second), 0) }

// DecodeError means that encoded counts cannot be parsed.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("burn snapshot: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Snapshot returns a copy of the counts in the window that ends now.
func (r *Recorder) Snapshot(now time.Time, window time.Duration) Snapshot {
	var s Snapshot
	for _, class := range r.Classes() {
		if row := r.Row(now, window, class); len(row.Buckets) > 0 {
			s.Rows = append(s.Rows, row)
		}
	}
	return s
}

// Classes returns the classes that have counts, in the order of snapshots.
func (r *Recorder) Classes() []model.ClassName {
	return slices.Sorted(maps.Keys(r.rings))
}

// Row returns a copy of the counts of one class in the window that ends now. It
// allows an owner that must not block for long to copy class by class.
func (r *Recorder) Row(now time.Time, window time.Duration, class model.ClassName) Row {
	row := Row{Class: class, Domain: r.domain, Objective: r.targets[class].objective}
	if g, ok := r.rings[class]; ok {
		row.Buckets = g.bucketsInWindow(now, window)
	}
	return row
}

// bucketsInWindow returns the non-empty buckets of the window that ends now.
func (g *ring) bucketsInWindow(now time.Time, window time.Duration) []Bucket {
	last := bucketNumber(now)
	first := max(firstBucketNumber(now, window), g.latest-bucketCount+1)
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

// firstBucketNumber returns the number of the first bucket of the window that
// ends now. The window is limited to Retention and rounded up to whole buckets,
// of which the current bucket is one.
func firstBucketNumber(now time.Time, window time.Duration) int64 {
	window = min(max(window, bucketWidth), Retention)
	return bucketNumber(now) - int64((window+bucketWidth-1)/bucketWidth) + 1
}

// Merge sums the snapshots of different hosts. If the hosts have different
// objectives for a class, the strictest one applies.
func Merge(snapshots ...Snapshot) Snapshot {
	rows := map[rowKey]*Row{}
	for _, s := range snapshots {
		for _, row := range s.Rows {
			k := rowKey{row.Class, row.Domain}
			if rows[k] == nil {
				rows[k] = &Row{Class: row.Class, Domain: row.Domain}
			}
			rows[k].Objective = max(rows[k].Objective, row.Objective)
			rows[k].Buckets = append(rows[k].Buckets, row.Buckets...)
		}
	}
	var merged Snapshot
	for _, row := range rows {
		row.Buckets = mergeSameMinutes(row.Buckets)
		merged.Rows = append(merged.Rows, *row)
	}
	merged.sort()
	return merged
}

// mergeSameMinutes sorts the buckets by time and sums those of the same minute.
// It reuses the slice.
func mergeSameMinutes(buckets []Bucket) []Bucket {
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
