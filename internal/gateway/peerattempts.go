package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Attempts that this host sends for hosts that cannot reach an endpoint themselves. The host
// that has the caller's request decides and counts everything; this one sends the attempt to
// the named endpoint once. See docs/design/attempts-through-hosts.md.

const (
	// maxPeerAttempts bounds the attempts in progress for other hosts.
	maxPeerAttempts = 256
	// peerAttemptShare is the share of the memory for requests that the requests of other
	// hosts may hold.
	peerAttemptShare = 0.5
	// minPeerAttemptTime is the shortest time left in which an attempt is sent.
	minPeerAttemptTime = minRetryTime
)

// peerAttempts counts the attempts in progress for other hosts. It is safe for concurrent
// use.
type peerAttempts struct {
	mu    sync.Mutex
	count int
	// held is the number of bytes that their requests hold.
	held int64
	// ended is closed when no attempt is in progress any more; nil if nobody waits.
	ended chan struct{}
}

// add counts an attempt unless there are too many, or they hold more than limit bytes.
func (p *peerAttempts) add(bytes, limit int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count >= maxPeerAttempts || p.held+bytes > limit {
		return false
	}
	p.count++
	p.held += bytes
	return true
}

// remove ends an attempt.
func (p *peerAttempts) remove(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
	p.held -= bytes
	if p.count == 0 && p.ended != nil {
		close(p.ended)
		p.ended = nil
	}
}

// done returns a channel that is closed when no attempt is in progress; nil if none is.
func (p *peerAttempts) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == 0 {
		return nil
	}
	if p.ended == nil {
		p.ended = make(chan struct{})
	}
	return p.ended
}

// PeerAttemptsInProgress returns the number of attempts in progress for other hosts.
func (g *Gateway) PeerAttemptsInProgress() int {
	g.peerAttempts.mu.Lock()
	defer g.peerAttempts.mu.Unlock()
	return g.peerAttempts.count
}

// AwaitPeerAttempts waits until no attempt for another host is in progress, or until ctx ends.
func (g *Gateway) AwaitPeerAttempts(ctx context.Context) {
	for {
		ended := g.peerAttempts.done()
		if ended == nil {
			return
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}

// peerHold is the memory that is held for an attempt of another host.
type peerHold struct {
	*memoryHold
	release func()
}

// Release implements port.MemoryHold.
func (h *peerHold) Release() {
	h.memoryHold.Release()
	h.release()
}

// AdmitAttempt implements port.AttemptHandler.
func (g *Gateway) AdmitAttempt(bodyBytes int64) (port.MemoryHold, error) {
	if g.leaving.Load() {
		return nil, g.refuseAttempt(errLeaving)
	}
	if g.pathsLost.Load() {
		return nil, g.refuseAttempt(errNoPaths)
	}
	_, limit := g.memory.held()
	if !g.peerAttempts.add(bodyBytes, int64(peerAttemptShare*float64(limit))) {
		return nil, g.refuseAttempt(errTooManyAttempts)
	}
	held, refusal := g.HoldMemory(bodyBytes)
	if refusal != nil {
		g.peerAttempts.remove(bodyBytes)
		return nil, g.refuseAttempt(refusal)
	}
	release := sync.OnceFunc(func() { g.peerAttempts.remove(bodyBytes) })
	return &peerHold{memoryHold: held.(*memoryHold), release: release}, nil
}

var (
	errLeaving         = errors.New("this host is leaving")
	errNoPaths         = errors.New("this host has no paths to endpoints itself")
	errTooManyAttempts = errors.New("too many attempts for other hosts are in progress")
	errTimeLeft        = errors.New("the time left is too short")
	errNotListed       = errors.New("the endpoint is not listed here")
	errDraining        = errors.New("the endpoint is draining")
	errBusy            = errors.New("the list of endpoints is not available")
)

// refuseAttempt counts and returns the error of an attempt that is not sent.
func (g *Gateway) refuseAttempt(cause error) *port.PeerAttemptError {
	g.opts.Metrics.PeerAttempt(attemptServed, attemptRefused)
	return &port.PeerAttemptError{Outcome: model.OutcomeNotRun, Refused: true, Cause: cause}
}

// HandleAttempt implements port.AttemptHandler. Its endpoint is the one in the list of this
// host, and the sender counts its load.
func (g *Gateway) HandleAttempt(ctx context.Context, a port.PeerAttempt) (port.EndpointResponse, error) {
	received := time.Now()
	entry, err := g.attemptEndpoint(ctx, a)
	a.TimeLeft -= time.Since(received)
	if err == nil && a.TimeLeft < minPeerAttemptTime {
		err = errTimeLeft
	}
	if err != nil {
		refused := g.refuseAttempt(err)
		g.logServedAttempt(a, attemptRefused, refused)
		return nil, refused
	}
	a.Address = entry.Address
	reply := &peerReply{gateway: g, attempt: a}
	if hold, ok := a.Call.Memory.(*peerHold); ok {
		reply.hold = hold.memoryHold
		reply.hold.setRank(a.Tier, a.Rank)
	}
	reply.ctx, reply.cancel = context.WithTimeoutCause(ctx, a.TimeLeft+deadlineGrace, errDeadline)
	reply.EndpointResponse, err = g.sendAttempt(reply.ctx, a.RoutedAttempt, a.Started, nil)
	if err != nil {
		defer reply.cancel()
		return nil, reply.failed(err)
	}
	if reply.IsLeaving() {
		g.markLeaving(model.Instance{Name: a.Endpoint, Started: a.Started})
	}
	return reply, nil
}

// attemptEndpoint returns the listed endpoint of an attempt. It fails if the endpoint gets no
// requests, unless its run is only to go on where it was.
func (g *Gateway) attemptEndpoint(ctx context.Context, a port.PeerAttempt) (directory.Entry, error) {
	type listed struct {
		entry           directory.Entry
		known, draining bool
	}
	found, ok := queryLoop(ctx, g, func(time.Time) listed {
		entry, known := g.control.directory.Lookup(a.Endpoint)
		return listed{entry: entry, known: known, draining: known && g.control.directory.IsDraining(a.Endpoint)}
	})
	switch {
	case !ok:
		return directory.Entry{}, errBusy
	case !found.known || found.entry.Started != a.Started:
		return directory.Entry{}, errNotListed
	case found.draining && a.MovedFrom == "":
		return directory.Entry{}, errDraining
	}
	return found.entry, nil
}

// peerReply is an endpoint's response to an attempt of another host. What waits to be sent to
// that host counts as unread.
type peerReply struct {
	port.EndpointResponse
	gateway *Gateway
	attempt port.PeerAttempt
	hold    *memoryHold
	ctx     context.Context
	cancel  context.CancelFunc
	// unread is the number of bytes of the last batch.
	unread int
	// complete reports that the response was received to its end, end is the error that ended
	// it early.
	complete bool
	end      error
}

// failed returns the error of an attempt without a response.
func (r *peerReply) failed(err error) *port.PeerAttemptError {
	out := &port.PeerAttemptError{Outcome: model.OutcomeUnknown, Cause: err}
	var failure *port.EndpointError
	if errors.As(err, &failure) {
		out.Outcome = failure.Outcome
	}
	out.Unreachable = out.Outcome == model.OutcomeNotRun && r.ctx.Err() == nil
	result := attemptBroken
	r.gateway.checkEndpoint(r.attempt.Endpoint)
	if out.Unreachable {
		result = attemptUnreachable
	} else if errors.Is(context.Cause(r.ctx), errDeadline) {
		r.gateway.opts.Endpoints.DropConnections(r.attempt.Endpoint, r.attempt.Address)
	}
	r.gateway.opts.Metrics.PeerAttempt(attemptServed, result)
	r.gateway.logServedAttempt(r.attempt, result, out)
	return out
}

// Body implements port.EndpointResponse.
func (r *peerReply) Body() ([]byte, error) {
	body, err := r.EndpointResponse.Body()
	r.complete, r.end = err == nil, err
	r.hold.send()
	return body, err
}

// Next implements port.EndpointResponse.
func (r *peerReply) Next() (port.EventBatch, error) {
	r.hold.read(r.unread)
	r.unread = 0
	batch, err := r.EndpointResponse.Next()
	if err == nil {
		if err = r.hold.AddUnread(r.ctx, int64(len(batch.Data))); err != nil {
			err = &port.EndpointError{Outcome: model.OutcomeUnknown, Cause: err}
		}
	}
	if err != nil {
		if r.complete = errors.Is(err, io.EOF); !r.complete {
			r.end = err
		}
		return port.EventBatch{}, err
	}
	r.unread = len(batch.Data)
	r.hold.send()
	return batch, nil
}

// Close implements port.EndpointResponse.
func (r *peerReply) Close() {
	result, err := attemptAnswered, r.end
	switch {
	case r.complete:
	case errors.Is(context.Cause(r.ctx), port.ErrShed):
		result, err = attemptShed, port.ErrShed
	case r.ctx.Err() != nil:
		result, err = attemptCanceled, context.Cause(r.ctx)
	case err != nil:
		result = attemptBroken
		r.gateway.checkEndpoint(r.attempt.Endpoint)
	}
	r.EndpointResponse.Close()
	r.cancel()
	r.gateway.opts.Metrics.PeerAttempt(attemptServed, result)
	r.gateway.logServedAttempt(r.attempt, result, err)
}

// Directions and results of attempts through other hosts in metrics and logs.
const (
	attemptSent   = "sent"
	attemptServed = "served"

	attemptAnswered    = "answered"
	attemptRefused     = "refused"
	attemptUnreachable = "unreachable"
	attemptBroken      = "broken"
	attemptPath        = "path broken"
	attemptCanceled    = "canceled"
	attemptShed        = "shed"
)

// logServedAttempt logs the end of an attempt for another host.
func (g *Gateway) logServedAttempt(a port.PeerAttempt, result string, err error) {
	entry := g.opts.Log.WithFields(fields{
		"request": a.Call.ID, "sender": a.Sender, "endpoint": a.Endpoint, "result": result, "left_ms": a.TimeLeft.Milliseconds(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("peers: attempt for another host ended")
}

// sendThroughHost has another host send an attempt to its endpoint, and logs and counts the
// result. Errors are *port.PeerAttemptError.
func (g *Gateway) sendThroughHost(ctx context.Context, host model.HostID, address string, a port.PeerAttempt) (port.EndpointResponse, error) {
	a.Sender = g.opts.Host
	reply, err := g.forwardAttempt(ctx, address, a)
	result, outcome := attemptAnswered, model.OutcomeUnknown
	var failure *port.PeerAttemptError
	if errors.As(err, &failure) {
		result, outcome = attemptResultName(failure), failure.Outcome
	}
	g.opts.Metrics.PeerAttempt(attemptSent, result)
	entry := g.opts.Log.WithFields(fields{"request": a.Call.ID, "through": host, "address": address, "endpoint": a.Endpoint, "result": result})
	if err != nil {
		entry = entry.WithField("outcome", outcome.String()).WithError(err)
	}
	entry.Info("request: attempt through another host")
	return reply, err
}

func (g *Gateway) forwardAttempt(ctx context.Context, address string, a port.PeerAttempt) (port.EndpointResponse, error) {
	sender, ok := g.opts.Peers.(port.AttemptSender)
	if !ok {
		return nil, &port.PeerAttemptError{Outcome: model.OutcomeNotRun, Refused: true, Cause: fmt.Errorf("no attempts are sent to %s", address)}
	}
	return sender.SendAttempt(ctx, address, a)
}

// attemptResultName returns the result of a failed attempt through another host.
func attemptResultName(failure *port.PeerAttemptError) string {
	switch {
	case failure.Refused:
		return attemptRefused
	case failure.Unreachable:
		return attemptUnreachable
	case failure.PathBroken:
		return attemptPath
	default:
		return attemptBroken
	}
}
