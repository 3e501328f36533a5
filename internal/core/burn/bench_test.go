package burn

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// fullRecorder has counts in every kept minute of every class.
func fullRecorder(classes int) *Recorder {
	r := NewRecorder("north")
	for c := range classes {
		class := model.ClassName(fmt.Sprintf("class-%d", c))
		for at := start; at.Before(start.Add(Kept)); at = at.Add(bucketWidth) {
			r.Record(at, Event{Class: class, Result: ResultServed, Tokens: 300})
			r.Record(at, Event{Class: class, Result: ResultRefused})
			r.Waste(at, class, WasteRetry, 20)
		}
	}
	return r
}

func BenchmarkRecord(b *testing.B) {
	r := newRecorder("north")
	for b.Loop() {
		r.Record(start, Event{Class: "confirm", Result: ResultServed, Tokens: 10})
	}
}

// BenchmarkFirstRequest shows the memory of one class.
func BenchmarkFirstRequest(b *testing.B) {
	for b.Loop() {
		NewRecorder("north").Record(start, Event{Class: "confirm", Result: ResultServed})
	}
}

// BenchmarkSnapshot shows what a report costs the control loop, BenchmarkEncode
// what it costs the goroutine that answers.
func BenchmarkSnapshot(b *testing.B) {
	for _, classes := range []int{1, 6, 64} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) {
			r := fullRecorder(classes)
			for b.Loop() {
				r.Snapshot(start.Add(Kept-time.Second), Kept)
			}
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, classes := range []int{1, 6, 64} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) {
			g := Gathered{Snapshot: fullRecorder(classes).Snapshot(start.Add(Kept-time.Second), Kept)}
			size := 0
			for b.Loop() {
				data, err := g.Encode()
				must.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/report")
		})
	}
}
