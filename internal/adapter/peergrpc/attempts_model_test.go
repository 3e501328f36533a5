package peergrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// attemptPlan is what happens to one attempt through another host.
type attemptPlan struct {
	refused, unreachable bool
	// ranWithoutHead reports that the endpoint runs it and breaks before the head.
	ranWithoutHead bool
	// events is the length of the response, breakAt the event that breaks; 0 for none.
	events, breakAt int
	// cancelAt and killAt are the events at which the sender cancels, or the other host is
	// killed; 0 for never.
	cancelAt, killAt int
}

func drawPlan(t *rapid.T) attemptPlan {
	events := rapid.IntRange(0, 8).Draw(t, "events")
	at := func(name string) int { return max(rapid.IntRange(-8, events).Draw(t, name), 0) }
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	return attemptPlan{
		refused: fate == 0, unreachable: fate == 1, ranWithoutHead: fate == 2,
		events: events, breakAt: at("break"), cancelAt: at("cancel"), killAt: at("kill"),
	}
}

func planEvent(i int) port.EventBatch {
	return port.EventBatch{Data: fmt.Appendf(nil, "id: %d\n\n", i), LastID: fmt.Sprint(i), Events: 1}
}

// handler returns a handler for the plan that counts the runs at the endpoint.
func (p attemptPlan) handler(runs *atomic.Int32) *fakeAttempts {
	return &fakeAttempts{handle: func(context.Context, port.PeerAttempt) (port.EndpointResponse, error) {
		failure := &port.PeerAttemptError{Outcome: model.OutcomeNotRun, Refused: p.refused, Unreachable: p.unreachable, Cause: io.ErrUnexpectedEOF}
		if p.refused || p.unreachable {
			return nil, failure
		}
		runs.Add(1)
		if p.ranWithoutHead {
			failure.Outcome = model.OutcomeUnknown
			return nil, failure
		}
		return &fakeReply{status: http.StatusOK, stream: true, next: func(i int) (port.EventBatch, error) {
			switch {
			case i == p.breakAt:
				return port.EventBatch{}, &port.EndpointError{Outcome: model.OutcomeUnknown, Cause: io.ErrUnexpectedEOF}
			case i > p.events:
				return port.EventBatch{}, io.EOF
			}
			return planEvent(i), nil
		}}, nil
	}}
}

// send sends an attempt and reads its response. It returns the number of events and the end.
func (p attemptPlan) send(t *rapid.T, c *Client, s *Server, address string) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reply, err := c.SendAttempt(ctx, address, testAttempt([]byte("body")))
	if err != nil {
		return 0, err
	}
	defer reply.Close()
	for received := 0; ; received++ {
		if received+1 == p.cancelAt {
			cancel()
		}
		if received+1 == p.killAt {
			s.grpc.Stop()
		}
		batch, err := reply.Next()
		if err != nil {
			return received, err
		}
		must.Eq(t, planEvent(received+1), batch)
	}
}

// Whatever fails, an attempt runs once at most, one reported as not run has not run, and only
// a whole response ends as one.
func TestAttemptSequencesRunOnceAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		var runs atomic.Int32
		t.Run("", func(t *testing.T) {
			c, s, address := serveAttempts(t, plan.handler(&runs))
			received, err := plan.send(rt, c, s, address)
			must.LessEq(t, 1, runs.Load())
			if errors.Is(err, io.EOF) {
				must.Eq(t, plan.events, received)
				must.Eq(t, 1, runs.Load())
				return
			}
			failure := attemptErrorOf(t, err)
			must.Eq(t, runs.Load() == 0, failure.Outcome == model.OutcomeNotRun)
		})
	})
}
