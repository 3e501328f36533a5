package metrics

import "sync"

// maxLabels is the maximum number of labels of one metric.
const maxLabels = 2

// vec holds one metric for each combination of label values.
type vec[T any] struct {
	labels []string
	limits [maxLabels]valueLimit
	create func(tags map[string]string) T
	// metrics maps [maxLabels]string to T.
	metrics sync.Map
}

func newVec[T any](maxValues int, labels []string, create func(tags map[string]string) T) *vec[T] {
	v := &vec[T]{labels: labels, create: create}
	for i := range v.limits {
		v.limits[i].max = maxValues
	}
	return v
}

// with returns the metric for the label values and creates it if necessary. A
// metric with one label ignores second.
func (v *vec[T]) with(first, second string) T {
	values := [maxLabels]string{first, second}
	if found, ok := v.metrics.Load(values); ok {
		return found.(T)
	}
	return v.add(values)
}

// add creates the metric for the label values, which it bounds first.
func (v *vec[T]) add(values [maxLabels]string) T {
	tags := make(map[string]string, len(v.labels))
	for i, label := range v.labels {
		values[i] = v.limits[i].bound(values[i])
		tags[label] = values[i]
	}
	created, _ := v.metrics.LoadOrStore(values, v.create(tags))
	return created.(T)
}

// valueLimit bounds the number of values of one label.
type valueLimit struct {
	max  int
	mu   sync.Mutex
	seen map[string]struct{}
}

// bound returns the value, or Other if it is new and the limit is reached.
func (l *valueLimit) bound(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.seen[value]; ok {
		return value
	}
	if len(l.seen) >= l.max {
		return Other
	}
	if l.seen == nil {
		l.seen = map[string]struct{}{}
	}
	l.seen[value] = struct{}{}
	return value
}
