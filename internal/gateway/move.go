package gateway

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Streams at an endpoint that ends soon are moved to others with their memory, shortly before
// the end. See docs/design/leaving-endpoints.md.

const (
	// moveLead is the time before the latest end of an endpoint at which its streams are
	// moved. The end may come up to a second earlier than known.
	moveLead = 1200 * time.Millisecond
	// timeLeftTimeout bounds the question to an endpoint when it ends.
	timeLeftTimeout = 400 * time.Millisecond
	// maxAsked and askInterval bound how often an endpoint is asked: what it says of itself
	// is as old as some hundred milliseconds, and may be from before the notice.
	maxAsked    = 4
	askInterval = 250 * time.Millisecond
	// moveTimeout bounds a move. Its run may be stopped all the same after that.
	moveTimeout = 800 * time.Millisecond
)

// runMoves holds the streams that can be moved, by endpoint. It is safe for concurrent use.
type runMoves struct {
	mu    sync.Mutex
	moves map[model.Instance]map[*runMove]bool
	// asked are the endpoints that were asked when they end. The control loop owns it.
	asked map[model.Instance]asked
}

// asked is how often and when an endpoint was asked.
type asked struct {
	times int
	at    time.Time
}

// runMove is a stream that can be moved.
type runMove struct {
	exchange *exchange
	source   balance.Decision
	// stream is who writes the stream.
	stream resume.Source
	// req is what is to be placed elsewhere.
	req balance.Request
	// started is closed when the move begins, done when its result is known.
	start         sync.Once
	started, done chan struct{}
	moved         movedRun
	// uncertain reports that the run may have been stopped, without a result of the move.
	uncertain bool
}

// movedRun is a stopped run that an endpoint can continue; the handle is empty for none.
type movedRun struct {
	port.MovedRun
	id       model.RequestID
	decision balance.Decision
	// software is the version that began the stream.
	software model.SoftwareVersion
}

// watchMove prepares the stream of an attempt that has begun for a move. It returns nil if it
// cannot be moved.
func (x *exchange) watchMove(decision balance.Decision, stream resume.Source) *runMove {
	g := x.gateway
	table := g.table.Load()
	if g.opts.Mover == nil || table == nil || x.stays || decision.Indirect {
		return nil
	}
	if p, known := table.Pool(x.req.Pool); !known || p.Engine == nil || !p.Engine.CanMove {
		return nil
	}
	m := &runMove{exchange: x, source: decision, stream: stream, req: x.req, started: make(chan struct{}), done: make(chan struct{})}
	m.req.Avoid = append(append([]model.EndpointName(nil), x.req.Avoid...), decision.Endpoint)
	m.req.Retry = false
	instance := m.instance()
	g.moves.mu.Lock()
	defer g.moves.mu.Unlock()
	if g.moves.moves == nil {
		g.moves.moves = make(map[model.Instance]map[*runMove]bool)
	}
	if g.moves.moves[instance] == nil {
		g.moves.moves[instance] = make(map[*runMove]bool)
	}
	g.moves.moves[instance][m] = true
	return m
}

func (m *runMove) instance() model.Instance {
	return model.Instance{Name: m.source.Endpoint, Started: m.source.Started}
}

// stopWatching ends the preparation for a move.
func (m *runMove) stopWatching() {
	if m == nil {
		return
	}
	moves, instance := &m.exchange.gateway.moves, m.instance()
	moves.mu.Lock()
	defer moves.mu.Unlock()
	delete(moves.moves[instance], m)
	if len(moves.moves[instance]) == 0 {
		delete(moves.moves, instance)
	}
}

// instances returns the endpoints that have streams that can be moved.
func (r *runMoves) instances() []model.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []model.Instance
	for instance := range r.moves {
		out = append(out, instance)
	}
	return out
}

// at returns the streams at an endpoint that can be moved.
func (r *runMoves) at(instance model.Instance) []*runMove {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*runMove
	for m := range r.moves[instance] {
		out = append(out, m)
	}
	return out
}

// startMoves moves the streams of the endpoints that end soon.
func (c *control) startMoves(now time.Time) {
	if !c.directory.HasDepartures() {
		c.gateway.moves.asked = nil
		return
	}
	for _, instance := range c.gateway.moves.instances() {
		if !c.directory.IsDeparting(instance) {
			continue
		}
		end, known := c.directory.EndsAt(instance)
		if !known {
			c.askTimeLeft(now, instance)
			continue
		}
		if now.Before(end.Add(-moveLead)) {
			continue
		}
		for _, m := range c.gateway.moves.at(instance) {
			m.start.Do(func() {
				close(m.started)
				c.gateway.background(m.run)
			})
		}
	}
}

// askTimeLeft asks an endpoint when it ends, unless it was just asked or does not know.
func (c *control) askTimeLeft(now time.Time, instance model.Instance) {
	g := c.gateway
	entry, listed := c.directory.Lookup(instance.Name)
	before := g.moves.asked[instance]
	if !listed || before.times >= maxAsked || now.Sub(before.at) < askInterval {
		return
	}
	if g.moves.asked == nil {
		g.moves.asked = make(map[model.Instance]asked)
	}
	maps.DeleteFunc(g.moves.asked, func(other model.Instance, _ asked) bool { return !c.directory.IsDeparting(other) })
	g.moves.asked[instance] = asked{times: before.times + 1, at: now}
	g.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeLeftTimeout)
		defer cancel()
		left, known, err := g.opts.Mover.TimeLeft(ctx, entry.Address)
		logTimeLeft(g.opts.Log, instance, left, known, err)
		if err != nil || !known {
			return
		}
		g.loop.Post(loop.Func(func(now time.Time) { c.directory.SetEnd(instance, now.Add(left)) }))
	})
}

// logTimeLeft logs when an endpoint ends that has announced it.
func logTimeLeft(logger log.Interface, instance model.Instance, left time.Duration, known bool, err error) {
	entry := logger.WithFields(fields{"endpoint": instance.Name, "known": known, "left_ms": left.Milliseconds()})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("endpoints: end is announced")
}

// run moves the stream to an endpoint that the balancer chooses.
func (m *runMove) run(ctx context.Context) {
	defer close(m.done)
	g := m.exchange.gateway
	software, settled := g.awaitVersion(ctx, m.stream)
	if !settled {
		// Any target may run another version, so the run stays where it is.
		m.log("version not certain", nil)
		return
	}
	m.req.Software = software
	m.req.ID = g.nextID(m.exchange.call.ID)
	target, ok := queryLoop(ctx, g, func(now time.Time) balance.Decision { return g.control.placeRequest(now, m.req) })
	if !ok || target.IsRefused() || target.Indirect {
		g.finish(m.req.ID, balance.Result{})
		m.log("no target", nil)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	run, err := g.opts.Mover.MoveRun(callCtx, m.source.Address, m.exchange.call.ID, target.Address)
	if err != nil || run.AtSource {
		g.finish(m.req.ID, balance.Result{})
	}
	if err != nil {
		m.uncertain = mayHaveStopped(err)
		m.log("failed", err)
		return
	}
	decision := target
	if run.AtSource {
		decision = m.source
	}
	m.moved = movedRun{MovedRun: run, id: m.req.ID, decision: decision, software: software}
	m.log("stopped", nil)
}

// log logs and counts the result of a move.
func (m *runMove) log(result string, err error) {
	g := m.exchange.gateway
	entry := g.opts.Log.WithFields(fields{"request": m.exchange.call.ID, "endpoint": m.source.Endpoint, "to": m.moved.decision.Endpoint, "result": result})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("request: move of the run")
	g.opts.Metrics.Moved(model.ClassName(m.exchange.route.Name), result)
}

// mayHaveStopped reports whether a failed move may have stopped its run.
func mayHaveStopped(err error) bool {
	var failure *port.MoveError
	return !errors.As(err, &failure) || failure.Outcome != model.OutcomeNotRun
}

// streamEnd is what a move means for a stream that has ended.
type streamEnd int

const (
	// endOwn is the end that the endpoint has given the stream.
	endOwn streamEnd = iota
	// endMoved is that of a run which was stopped and goes on elsewhere.
	endMoved
	// endUncertain is either of both: the result of the move is not known.
	endUncertain
)

// await returns, after the stream has ended, what a move that had begun means for it.
func (m *runMove) await(ctx context.Context) (movedRun, streamEnd) {
	if m == nil {
		return movedRun{}, endOwn
	}
	m.stopWatching()
	select {
	case <-m.started:
	default:
		// The stream has ended before a move of it begins.
		m.start.Do(func() { close(m.started); close(m.done) })
	}
	select {
	case <-m.done:
		return m.result()
	default:
	}
	select {
	case <-m.done:
		return m.result()
	case <-ctx.Done():
		m.releasePlaced()
		return movedRun{}, endUncertain
	}
}

// result returns the result of a move that is done.
func (m *runMove) result() (movedRun, streamEnd) {
	switch {
	case m.moved.Handle != "":
		return m.moved, endMoved
	case m.uncertain:
		return movedRun{}, endUncertain
	default:
		return movedRun{}, endOwn
	}
}

// abandon ends a move, or the preparation for it, whose caller receives nothing more.
func (m *runMove) abandon() {
	if m == nil {
		return
	}
	m.stopWatching()
	m.start.Do(func() { close(m.started); close(m.done) })
	m.releasePlaced()
}

// releasePlaced releases what the move has placed, once its result is known.
func (m *runMove) releasePlaced() {
	m.exchange.gateway.background(func(context.Context) {
		<-m.done
		if m.moved.Handle != "" {
			m.exchange.gateway.finish(m.moved.id, balance.Result{})
		}
	})
}

// errMoved is the error of an attempt whose run goes on elsewhere, errEndUncertain that of one
// whose stream has ended after a move without a result, so that it may not be complete.
var (
	errMoved        = errors.New("the run was stopped to be moved")
	errEndUncertain = errors.New("the run may have been stopped to be moved")
)

// noteMoved notes the result of an attempt for the next one. It returns true if the run of the
// attempt goes on there.
func (x *exchange) noteMoved(result *attemptResult) bool {
	if x.movedFrom != "" && result.outcome == model.OutcomeNotRun {
		// The run that was to be continued has run elsewhere.
		result.outcome = model.OutcomeRan
	}
	x.movedFrom = ""
	x.movedRun = result.moved
	if result.moved.Handle == "" {
		return false
	}
	x.req.Software = result.moved.software
	return true
}

// placeMovedOrNext returns the placement of the run that was stopped to be moved, or places
// the next attempt of the request. A run whose target had no room goes on where it was.
func (x *exchange) placeMovedOrNext(ctx context.Context) (placement, bool) {
	run := x.movedRun
	if run.Handle == "" {
		return x.nextAttempt(ctx)
	}
	x.releaseReserved()
	if run.AtSource {
		// It is not stopped there once more.
		x.stays = true
		x.req.ID = x.gateway.nextID(x.call.ID)
	} else {
		x.req.ID = run.id
	}
	x.movedFrom = run.Handle
	return placement{Decision: run.decision, generation: 1}, true
}
