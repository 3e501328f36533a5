package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// silentAfter is the event after which a sound stream is silent for silentTime, which
	// exceeds minEventTimeout.
	silentAfter = 5
	silentTime  = 3 * time.Second
)

// silentEndpoints are endpoints whose streams are silent for a while, as those that an
// engine has preempted.
type silentEndpoints struct {
	*versionedEndpoints
	// silence is the length of the silence of a stream; nil for silentTime.
	silence func(a port.RoutedAttempt) time.Duration
}

func (e *silentEndpoints) Send(ctx context.Context, a port.RoutedAttempt) (port.EndpointResponse, error) {
	out, err := e.versionedEndpoints.Send(ctx, a)
	if err != nil || a.LastEventID != "" {
		return out, err
	}
	silence := silentTime
	if e.silence != nil {
		silence = e.silence(a)
	}
	return &silentStream{versionedStream: out.(*versionedStream), silence: silence}, nil
}

// silentStream is a stream that is silent once.
type silentStream struct {
	*versionedStream
	silence time.Duration
}

func (s *silentStream) Next() (port.EventBatch, error) {
	if s.next == silentAfter+1 && !sleepUnlessCrashed(s.ctx, s.silence, nil) {
		return port.EventBatch{}, errConnectionReset
	}
	return s.versionedStream.Next()
}

// drainingDecoder decodes entries that consist of a version, and of a mark if the endpoint
// is draining.
type drainingDecoder struct{ softwareDecoder }

const (
	drainingMark = " draining"
	// unknownSoftware is the entry of an endpoint that names no version.
	unknownSoftware = "unknown"
)

func (d drainingDecoder) Endpoint(key string, value []byte) (directory.Entry, error) {
	software, draining := strings.CutSuffix(string(value), drainingMark)
	entry, err := d.softwareDecoder.Endpoint(key, []byte(software))
	entry.Draining = draining
	if software == unknownSoftware {
		entry.Software = ""
	}
	if draining {
		entry.Sequence++
	}
	return entry, err
}

// A silent but sound stream must not be given up unless it can go on elsewhere.
func TestSilentStreamIsLeftAlone(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget float64
		// software are the versions of the endpoints, leave is what happens while the
		// stream is silent.
		software []string
		leave    func(f *versionFleet)
	}{
		{name: "the retry budget is used up", software: []string{"v1", "v1"}},
		{name: "no other endpoint", budget: 500, software: []string{"v1"}},
		{name: "the version is in doubt", budget: 500, software: []string{unknownSoftware, unknownSoftware}},
		{
			name: "the only endpoint of the version drains", budget: 500, software: []string{"v1"},
			leave: func(f *versionFleet) {
				f.list.append("e-0", []byte("v1"+drainingMark))
				f.add("e-new", "v2")
			},
		},
		{
			name: "the host leaves", budget: 500, software: []string{"v1", "v1"},
			leave: func(f *versionFleet) { f.gateways[0].Leave() },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionFleet(1)
				defer f.close()
				f.change = func(opts *Options) {
					opts.Budget = attempt.SharedBudgetOptions{Window: 10 * time.Second, Slack: c.budget}
					opts.Endpoints = &silentEndpoints{versionedEndpoints: f.endpoints}
					opts.Decoder = drainingDecoder{}
				}
				for i, software := range c.software {
					f.add("e-"+string(rune('0'+i)), software)
				}
				f.run()
				f.call(0)
				time.Sleep((silentAfter + 1) * versionedGap)
				if c.leave != nil {
					c.leave(f)
				}
				got := f.results()
				must.Eq(t, 1, got.complete)
				must.Zero(t, got.takeUps)
				must.Zero(t, f.endpoints.resumed)
			})
		})
	}
}

// Streams that fall silent together go on elsewhere as far as the retry budget allows it. No
// other one is cut.
func TestSilentStreamsGoOnWithinRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, slack = 40, 10
		f := newVersionFleet(1)
		defer f.close()
		f.change = func(opts *Options) {
			opts.Budget = attempt.SharedBudgetOptions{Window: 10 * time.Second, Slack: slack}
			opts.Endpoints = &silentEndpoints{versionedEndpoints: f.endpoints}
		}
		f.addVersions(4, "v1")
		f.run()
		for range streams {
			f.call(0)
		}
		got := f.results()
		must.Eq(t, streams, got.complete)
		must.Zero(t, got.takeUps)
		must.Between(t, 1, f.endpoints.resumed, slack)
	})
}

// A stream whose endpoint stays silent goes on at another one, within one answer.
func TestStreamOfLostEndpointGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(1)
		defer f.close()
		lost := model.EndpointName("")
		f.change = func(opts *Options) {
			opts.Endpoints = &silentEndpoints{versionedEndpoints: f.endpoints, silence: func(a port.RoutedAttempt) time.Duration {
				lost = a.Endpoint
				return time.Hour
			}}
		}
		f.addVersions(2, "v1")
		f.run()
		started := time.Now()
		f.call(0)
		got := f.results()
		must.Eq(t, 1, got.complete)
		must.Zero(t, got.takeUps)
		must.NotEq(t, "", lost)
		must.Less(t, minEventTimeout+2*versionedEvents*versionedGap, time.Since(started))
		// What was reserved elsewhere is released.
		load, ok := queryLoop(t.Context(), f.gateways[0], func(now time.Time) int { return len(f.gateways[0].control.balancer.LocalLoad(now)) })
		must.True(t, ok)
		must.Zero(t, load)
	})
}

// newSilentExchange returns an exchange whose attempts may be given up at once, for a fleet
// of version v1.
func newSilentExchange(g *Gateway, hold port.MemoryHold) *exchange {
	return &exchange{
		gateway: g, call: &port.RoutedCall{ID: "1", Memory: hold}, deadline: time.Now().Add(time.Hour),
		route: &routing.Route{Kind: routing.Streaming, LatencyTarget: time.Second, MaxGap: time.Second, MaxAttempts: 2, Resumable: true},
		req:   balance.Request{Pool: "p", Software: "v1", Target: time.Second},
	}
}

// An endpoint whose events are not read for lack of memory is not silent.
func TestEndpointIsNotSilentWhileMemoryIsLacking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLongFleet(1 << 20)
		defer f.close()
		g := f.gateways[0]
		others, _ := g.HoldMemory(0)
		must.NoError(t, others.AddUnread(t.Context(), 900<<10))
		hold, _ := g.HoldMemory(0)
		added := make(chan error, 1)
		go func() { added <- hold.AddUnread(t.Context(), 900<<10) }()
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		w := newSilentExchange(g, hold).startWatch(ctx, cancel, balance.Decision{Endpoint: "e-0"})
		w.resume()
		time.Sleep(time.Minute)
		must.NoError(t, context.Cause(ctx))
		must.False(t, w.reported)
		others.Release()
		must.NoError(t, <-added)
		time.Sleep(time.Minute)
		must.ErrorIs(t, context.Cause(ctx), errSilent)
		must.NotNil(t, w.stop())
		hold.Release()
	})
}

// A timeout that has expired while events arrived must not end the attempt.
func TestTimeoutBesideEventsGivesNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(1)
		defer f.close()
		f.addVersions(2, "v1")
		f.run()
		g := f.gateways[0]
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		w := newSilentExchange(g, nil).startWatch(ctx, cancel, balance.Decision{Endpoint: "e-0"})
		w.pause()
		w.giveUp()
		must.NoError(t, context.Cause(ctx))
		w.resume()
		w.giveUp()
		must.NoError(t, context.Cause(ctx))
		time.Sleep(time.Minute)
		must.ErrorIs(t, context.Cause(ctx), errSilent)
		must.NotNil(t, w.stop())
	})
}
