package effects

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/effect"
)

// BenchmarkConfirmations sends confirmation requests at a fixed rate, with a log
// that takes 5 ms per append. It reports the appends per confirmation and the
// mean time until the permit.
func BenchmarkConfirmations(b *testing.B) {
	for _, perSecond := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("per_second=%d", perSecond), func(b *testing.B) {
			l := newFakeLog()
			l.delay = 5 * time.Millisecond
			g := startGuard(b, l, "a", nil)
			// Once a claim is decided, the partitions have been read.
			for _, err := g.Begin(context.Background(), confirmation("first")); err != nil; {
				_, err = g.Begin(context.Background(), confirmation("first"))
			}
			before := l.appends
			b.ResetTimer()
			waited := confirmAt(b, g, perSecond)
			b.StopTimer()
			b.ReportMetric(float64(l.appends-before)/float64(b.N), "appends/confirmation")
			b.ReportMetric(float64(waited.Microseconds())/float64(b.N), "us/claim")
		})
	}
}

func confirmAt(b *testing.B, g *Guard, perSecond int) time.Duration {
	var all sync.WaitGroup
	var mu sync.Mutex
	var waited time.Duration
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range b.N {
		<-ticker.C
		all.Go(func() {
			began := time.Now()
			d, err := g.Begin(context.Background(), confirmation(fmt.Sprint(i)))
			took := time.Since(began)
			if err == nil {
				g.Finish(d.Permit, effect.Result{Status: 200})
			}
			mu.Lock()
			defer mu.Unlock()
			waited += took
		})
	}
	all.Wait()
	return waited
}

// BenchmarkTicket measures the time that a ticket adds to a request.
func BenchmarkTicket(b *testing.B) {
	g := startGuard(b, newFakeLog(), "a", nil)
	for b.Loop() {
		text, _, err := g.IssueTicket(context.Background(), "office")
		if err != nil {
			b.Fatal(err)
		}
		d, err := g.Begin(context.Background(), confirmation(text))
		if err != nil {
			b.Fatal(err)
		}
		g.Finish(d.Permit, effect.Result{Status: 200})
	}
}
