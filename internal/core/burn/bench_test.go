package burn

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// newFullRecorder returns a Recorder that has counts in every minute of the
// retention for every class.
func newFullRecorder(classes int) *Recorder {
	r := NewRecorder("north")
	for c := range classes {
		class := model.ClassName(fmt.Sprintf("class-%d", c))
		for at := start; at.Before(start.Add(Retention)); at = at.Add(bucketWidth) {
			r.Record(at, Event{Class: class, Result: ResultServed, Tokens: 300})
			r.Record(at, Event{Class: class, Result: ResultRefused})
			r.RecordWaste(at, class, WasteRetry, 20)
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

// BenchmarkFirstRequest measures the memory of one class.
func BenchmarkFirstRequest(b *testing.B) {
	for b.Loop() {
		NewRecorder("north").Record(start, Event{Class: "confirm", Result: ResultServed})
	}
}

// BenchmarkSnapshot measures the cost of a report in the control loop,
// BenchmarkEncode its cost in the goroutine that answers.
func BenchmarkSnapshot(b *testing.B) {
	for _, classes := range []int{1, 6, 64} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) {
			r := newFullRecorder(classes)
			for b.Loop() {
				r.Snapshot(start.Add(Retention-time.Second), Retention)
			}
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, classes := range []int{1, 6, 64} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) {
			g := Aggregate{Snapshot: newFullRecorder(classes).Snapshot(start.Add(Retention-time.Second), Retention)}
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
