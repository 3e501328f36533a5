package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// silenceFactor and minSilence bound the wait for a first answer of a
	// request that may be repeated, in targets of its route.
	silenceFactor = 3
	minSilence    = 700 * time.Millisecond
	// gapFactor and minGap bound the pause between two events of a stream that
	// may be resumed, in longest pauses of its route.
	gapFactor = 5
	minGap    = 1200 * time.Millisecond
	// stallAfter is the pause between two events from which on a stream's
	// endpoint is avoided: engines make an event in some tens of milliseconds.
	stallAfter = 400 * time.Millisecond
)

// silenceWatch follows an attempt's answer. It tells the control loop when a
// stream stops, and ends the attempt when its endpoint says nothing for long
// while another could do the work.
type silenceWatch struct {
	exchange *exchange
	id       model.RequestID
	endpoint model.EndpointName
	address  string
	// end ends the attempt; nil when it may not be repeated.
	end *time.Timer
	// stall tells of a stop; nil before the first event.
	stall *time.Timer
	mu    sync.Mutex
	told  bool
}

// watch begins with the wait for the first answer. Requests that may not be
// repeated wait until their time limit.
func (x *exchange) watch(cancel context.CancelCauseFunc, decision balance.Decision) *silenceWatch {
	w := &silenceWatch{exchange: x, id: x.ask.ID, endpoint: decision.Endpoint, address: decision.Address}
	if x.route.Repeatable() && x.runs+1 < x.route.MaxAttempts {
		limit := max(silenceFactor*x.route.Target, minSilence)
		w.end = time.AfterFunc(limit, func() { cancel(errSilent) })
	}
	return w
}

// wait starts the wait for the next event.
func (w *silenceWatch) wait() {
	if w.end != nil {
		w.end.Reset(max(gapFactor*w.exchange.route.MaxGap, minGap))
	}
	if w.stall == nil {
		w.stall = time.AfterFunc(stallAfter, func() { w.tell(true) })
		return
	}
	w.stall.Reset(stallAfter)
}

// pause ends the wait when events have come.
func (w *silenceWatch) pause() {
	if w.end != nil {
		w.end.Stop()
	}
	if w.stall != nil {
		w.stall.Stop()
		w.tell(false)
	}
}

// stop ends the watch.
func (w *silenceWatch) stop() { w.pause() }

// tell tells the control loop of a change.
func (w *silenceWatch) tell(stalled bool) {
	w.mu.Lock()
	changed := w.told != stalled
	w.told = stalled
	w.mu.Unlock()
	if !changed {
		return
	}
	w.exchange.gateway.stalled(w.id, stalled)
	if stalled {
		w.exchange.gateway.opts.Endpoints.DropConnections(w.endpoint, w.address)
	}
}
