package metrics

import "sync"

// maxLabels is the number of labels of one metric.
const maxLabels = 2

// vec keeps one metric for each combination of label values.
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

// with returns the metric of the values; a metric with one label ignores
// second.
func (v *vec[T]) with(first, second string) T {
	values := [maxLabels]string{first, second}
	if found, ok := v.metrics.Load(values); ok {
		return found.(T)
	}
	return v.add(values)
}

func (v *vec[T]) add(values [maxLabels]string) T {
	tags := make(map[string]string, len(v.labels))
	for i, label := range v.labels {
		values[i] = v.limits[i].bound(values[i])
		tags[label] = values[i]
	}
	created, _ := v.metrics.LoadOrStore(values, v.create(tags))
	return created.(T)
}

// valueLimit bounds the values of one label.
type valueLimit struct {
	max  int
	mu   sync.Mutex
	seen map[string]struct{}
}

// bound returns the value, or Other when there are too many values already.
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
