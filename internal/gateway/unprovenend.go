package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// A response without a length ends with its connection, and so does one whose endpoint
// crashes. An endpoint that accepts another connection then is alive. One that does not may
// have crashed, may be draining, or this host may have lost its paths to it. In the last two
// cases the response is complete if the endpoint publishes its entry once more: its process
// went on.

const (
	// endProofTimeout bounds the wait for such an entry. It exceeds the time between two of
	// an endpoint, and the reads of the list around them.
	endProofTimeout = 3 * time.Second
	// minEndReview and maxEndReview bound the time between two reviews of an end. Checks of
	// other endpoints show a crash within milliseconds, a new entry takes longer.
	minEndReview = 10 * time.Millisecond
	maxEndReview = barrierReadInterval
)

// unprovenEnd is the end of a response that may have been caused by a crash.
type unprovenEnd struct {
	instance model.Instance
	address  string
	at       time.Time
}

// provenReply is a response whose end is proven before it counts as complete.
type provenReply struct {
	port.EndpointResponse
	ctx      context.Context
	gateway  *Gateway
	instance model.Instance
	address  string
	// ended is called when all of the response has arrived and a proof is awaited; nil for
	// nothing.
	ended func()
}

// sendAttempt sends an attempt to an endpoint, whose start is given. ended is called when all
// of the response has arrived and it is not known yet whether it is complete; nil for nothing.
func (g *Gateway) sendAttempt(ctx context.Context, a port.RoutedAttempt, started int64, ended func()) (port.EndpointResponse, error) {
	reply, err := g.opts.Endpoints.Send(ctx, a)
	if err != nil {
		return nil, err
	}
	instance := model.Instance{Name: a.Endpoint, Started: started}
	return &provenReply{EndpointResponse: reply, ctx: ctx, gateway: g, instance: instance, address: a.Address, ended: ended}, nil
}

// Body implements port.EndpointResponse.
func (r *provenReply) Body() ([]byte, error) {
	body, err := r.EndpointResponse.Body()
	if unproven, proven := r.prove(err); proven {
		return unproven.Body, nil
	}
	return body, err
}

// Next implements port.EndpointResponse.
func (r *provenReply) Next() (port.EventBatch, error) {
	batch, err := r.EndpointResponse.Next()
	if _, proven := r.prove(err); proven {
		return port.EventBatch{}, io.EOF
	}
	return batch, err
}

// prove reports whether the error of a response is an end that proves to be complete.
func (r *provenReply) prove(err error) (*port.UnprovenEndError, bool) {
	var unproven *port.UnprovenEndError
	if !errors.As(err, &unproven) {
		return nil, false
	}
	if r.ended != nil {
		r.ended()
	}
	return unproven, r.gateway.provesEnd(r.ctx, unprovenEnd{instance: r.instance, address: r.address, at: unproven.EndedAt})
}

// endResult is what is known of an unproven end.
type endResult int

const (
	// endOpen means that a later read of the list may prove that the response is complete.
	endOpen endResult = iota
	endProven
	// endOfEndpoint means that the endpoint has crashed, started again or left.
	endOfEndpoint
)

// provesEnd waits until it is known whether a response is complete. It returns false if that
// does not become known within endProofTimeout.
func (g *Gateway) provesEnd(ctx context.Context, end unprovenEnd) bool {
	ctx, cancel := context.WithTimeout(ctx, endProofTimeout)
	defer cancel()
	g.loop.Post(loop.Func(func(now time.Time) { g.control.checkAround(now, end.instance.Name) }))
	result := endOpen
	for pause := minEndReview; result == endOpen && clock.Sleep(ctx, pause); pause = min(2*pause, maxEndReview) {
		if found, ok := queryLoop(ctx, g, func(now time.Time) endResult { return g.control.reviewEnd(now, end) }); ok {
			result = found
		}
	}
	logUnprovenEnd(g.opts.Log, end, result)
	return result == endProven
}

// checkAround checks the endpoints around one that accepts no connection, so that its crash
// can be told from lost paths.
func (c *control) checkAround(now time.Time, name model.EndpointName) {
	c.balancer.RequestChecks(name)
	c.checkEndpoints(now)
}

// reviewEnd returns what is known of the end of a response, and requests the read of the list
// that may show more.
func (c *control) reviewEnd(now time.Time, end unprovenEnd) endResult {
	name := end.instance.Name
	entry, listed := c.directory.Lookup(name)
	if c.published[name].provesRunning(end) {
		return endProven
	}
	if !listed || entry.Started != end.instance.Started || c.directory.HasSuccessor(end.instance, end.address) {
		return endOfEndpoint
	}
	// A draining endpoint may accept no connections while it ends its last responses.
	if !c.directory.IsDraining(name) && !c.balancer.HasLostPaths() && c.balancer.IsOwnFailure(name, end.at) {
		return endOfEndpoint
	}
	c.barrier.requestRead(now)
	return endOpen
}

// publication is the last entry that this host has read as a change of the list.
type publication struct {
	started int64
	// after is a time after which the endpoint has published it.
	after time.Time
}

// provesRunning reports whether the endpoint was still running after the end of a response.
func (p publication) provesRunning(end unprovenEnd) bool {
	return p.started == end.instance.Started && !p.after.Before(end.at)
}

// recordPublished records the entries that were published since a read of the list whose
// result was complete as of a time.
func (c *control) recordPublished(records []port.ListRecord, since time.Time) {
	for _, rec := range records {
		if rec.Removed {
			delete(c.published, rec.Name)
			continue
		}
		c.published[rec.Name] = publication{started: rec.Entry.Started, after: since}
	}
}

// forgetPublished forgets the entries of endpoints that are removed from the list.
func (c *control) forgetPublished(change directory.Change) {
	if change.Removed {
		delete(c.published, change.Entry.Name)
	}
}
