package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The version at which a stream began is settled when it is needed: for another attempt, a
// move, or a caller that resumes the stream. Until then only the connection is known. A run
// that continues a stream is confirmed in the same way before its first event is forwarded.

// versionWait bounds the wait for the version of a stream.
const versionWait = time.Second + barrierTimeout

// streamSource returns who writes the response of an attempt.
func (x *exchange) streamSource(decision balance.Decision, reply port.EndpointResponse) resume.Source {
	now := time.Now()
	running := reply.ConnectedAt()
	if running.IsZero() {
		running = now
	}
	return resume.Source{Pool: x.req.Pool, Endpoint: decision.Endpoint, RunningAt: running, BeganAt: now}
}

// recordBegin records who wrote the first event of the response, before it is sent to the
// caller. The rest of the response must come from the same version.
func (x *exchange) recordBegin(source resume.Source) {
	if x.began {
		return
	}
	x.began, x.source = true, source
	streams := []resume.StreamID{resume.NewStreamID(x.call.ID)}
	if x.isResumed() && x.call.Resumes != "" {
		streams = append(streams, resume.NewStreamID(x.call.Resumes))
	}
	g, origin := x.gateway, resume.Origin{Pool: x.req.Pool, Software: x.req.Software}
	g.loop.Post(loop.Func(func(now time.Time) {
		c := g.control
		if !origin.IsKnown() {
			c.streams.RecordSource(now, c.listView(now), resume.SourcedStreams{Streams: streams, Source: source})
			return
		}
		for _, id := range streams {
			c.streams.RecordBegin(now, resume.Begin{Stream: id, Origin: origin})
		}
	}))
}

// settleVersion waits until the version is certain that began the response. It returns false
// if it does not become so. A response that has not begun may have any.
func (x *exchange) settleVersion(ctx context.Context) bool {
	if !x.began || x.req.Software != "" {
		return true
	}
	software, settled := x.gateway.awaitVersion(ctx, x.source)
	x.req.Software = software
	return settled
}

// continues reports whether the source of an attempt may continue the stream: it has the
// version that began it.
func (x *exchange) continues(ctx context.Context, source resume.Source) bool {
	if x.req.Software == "" {
		return true
	}
	software, settled := x.gateway.awaitVersion(ctx, source)
	return settled && software == x.req.Software
}

// versionResult is what is known of the version of a source.
type versionResult struct {
	software   model.SoftwareVersion
	settlement resume.Settlement
	// listRead is closed once the list may show the version; nil if it will not.
	listRead <-chan struct{}
}

// awaitVersion returns the version of a source. It waits for the list of endpoints, up to
// versionWait, and returns false if the version does not become certain.
func (g *Gateway) awaitVersion(ctx context.Context, source resume.Source) (model.SoftwareVersion, bool) {
	ctx, cancel := context.WithTimeout(ctx, versionWait)
	defer cancel()
	for {
		found, ok := queryLoop(ctx, g, func(now time.Time) versionResult { return g.control.requestVersion(now, source) })
		switch {
		case ok && found.settlement == resume.Settled:
			return found.software, true
		case !ok || found.settlement == resume.Unprovable || !awaitClosed(ctx, found.listRead, versionWait):
			g.opts.Log.WithFields(fields{"endpoint": source.Endpoint, "unprovable": found.settlement == resume.Unprovable}).
				Info("streams: version of an endpoint is not certain")
			return "", false
		}
	}
}

// requestVersion returns the version of a source, or requests the read of the list that may
// show it.
func (c *control) requestVersion(now time.Time, source resume.Source) versionResult {
	list := c.listView(now)
	software, settlement := c.streams.Version(list, source)
	out := versionResult{software: software, settlement: settlement}
	if settlement != resume.Unsettled {
		return out
	}
	if !c.listReadFailing {
		out.listRead = c.barrier.wait(now, source.RunningAt.Add(resume.StartReportTime))
		return out
	}
	if sole, known := c.streams.SoleVersionWithoutStore(now, list, source); known {
		out.software, out.settlement = sole, resume.Settled
	}
	return out
}

// listAsOf returns a time as of which the list of endpoints is known.
func (c *control) listAsOf(now time.Time) time.Time { return now.Add(-c.directory.Age(now)) }

// listView returns what is known of the list of endpoints.
func (c *control) listView(now time.Time) resume.ListView {
	return resume.ListView{AsOf: c.listAsOf(now), Downtime: c.balancer.Downtime}
}

// isListed reports whether the list of endpoints has an endpoint.
func (c *control) isListed(name model.EndpointName) bool {
	_, listed := c.directory.Lookup(name)
	return listed
}
