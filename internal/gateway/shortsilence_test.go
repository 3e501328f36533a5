package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// droppingEndpoints count the times at which connections were dropped.
type droppingEndpoints struct {
	silentEndpoints
	drops atomic.Int64
}

func (e *droppingEndpoints) DropConnections(model.EndpointName, string) { e.drops.Add(1) }

// playSilence plays a stream that is silent once, while another endpoint has room. It returns
// the result, and how often connections were dropped.
func playSilence(t *testing.T, silence time.Duration) (resumed int, complete bool, drops int64) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(1)
		defer f.close()
		endpoints := &droppingEndpoints{silentEndpoints: silentEndpoints{
			versionedEndpoints: f.endpoints, silence: func(port.RoutedAttempt) time.Duration { return silence },
		}}
		f.change = func(opts *Options) {
			opts.Budget = attempt.SharedBudgetOptions{Window: 10 * time.Second, Slack: 500}
			opts.Endpoints = endpoints
		}
		f.addVersions(2, "v1")
		f.run()
		f.call(0)
		got := f.results()
		resumed, complete, drops = f.endpoints.resumed, got.complete == 1 && got.takeUps == 0, endpoints.drops.Load()
	})
	return resumed, complete, drops
}

// A sound endpoint that is silent for a second or so must keep its stream and its connections.
func TestShortSilenceEndsNothing(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			resumed, complete, drops := playSilence(t, silence)
			must.True(t, complete)
			must.Zero(t, resumed)
			must.Zero(t, drops)
		})
	}
}

// Callers abandon a stream after two seconds of silence: it must have gone on before.
func TestLongSilenceEndsBeforeCallersLeave(t *testing.T) {
	resumed, complete, drops := playSilence(t, time.Hour)
	must.True(t, complete)
	must.Eq(t, 1, resumed)
	must.Eq(t, 1, drops)
	must.Less(t, 2*time.Second-3*versionedGap, minEventTimeout)
}
