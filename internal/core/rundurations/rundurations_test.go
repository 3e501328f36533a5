package rundurations

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

var start = time.Unix(1000, 0)

func TestQuantileIsUnknownWithoutEvidence(t *testing.T) {
	d := New()
	for range minWeight - 1 {
		d.Observe(start, "a", time.Second)
	}
	_, known := d.Quantile(start, "a", 0.9)
	must.False(t, known)
	d.Observe(start, "a", time.Second)
	_, known = d.Quantile(start, "a", 0.9)
	must.True(t, known)
	_, known = d.Quantile(start, "b", 0.9)
	must.False(t, known)
	_, known = d.Quantile(start.Add(halfLife), "a", 0.9)
	must.False(t, known)
}

func TestQuantileIsNoShorterThanTheShareOfRequests(t *testing.T) {
	d := New()
	for i := 1; i <= 100; i++ {
		d.Observe(start, "a", time.Duration(i)*50*time.Millisecond)
	}
	for _, share := range []float64{0.5, 0.9, 0.99} {
		want := time.Duration(share*100) * 50 * time.Millisecond
		got, known := d.Quantile(start, "a", share)
		must.True(t, known)
		must.GreaterEq(t, want, got)
		must.LessEq(t, time.Duration(float64(want)*binRatio), got)
	}
}

func TestQuantileFollowsChangedDurations(t *testing.T) {
	d := New()
	for range 100 {
		d.Observe(start, "a", 20*time.Second)
	}
	later := start.Add(5 * halfLife)
	for range 100 {
		d.Observe(later, "a", 100*time.Millisecond)
	}
	got, known := d.Quantile(later, "a", 0.95)
	must.True(t, known)
	must.Less(t, 200*time.Millisecond, got)
}

func TestQuantileBeyondTheLastBin(t *testing.T) {
	d := New()
	for range minWeight {
		d.Observe(start, "a", time.Hour)
	}
	got, _ := d.Quantile(start, "a", 0.5)
	must.Eq(t, time.Hour, got)
}

func TestClassesAreBounded(t *testing.T) {
	d := New()
	for i := range maxClasses + 10 {
		d.Observe(start.Add(time.Duration(i)), model.ClassName(strconv.Itoa(i)), time.Second)
	}
	must.MapLen(t, maxClasses, d.classes)
	must.MapNotContainsKey(t, d.classes, "0")
}
