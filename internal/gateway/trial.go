package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/peerpaths"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/loop"
)

// Trials of suspended requests, and of those that tell a quarantined part of prompts from
// another part that may be the cause: one host at a time sends such a request to one endpoint,
// and the result decides. The platform's store selects the host, so that all hosts
// together send no more than one, whatever they know of each other.

const (
	// suspendedRetryAfter is the Retry-After for a suspended request. A trial takes about
	// as long as the request does.
	suspendedRetryAfter = time.Second
	// trialClaimTimeout bounds the calls to the store for a trial: the caller waits.
	trialClaimTimeout = 200 * time.Millisecond
	// trialSettling is the time within which all hosts learn of a crash.
	trialSettling = time.Second
)

// placement is the decision where to send a request.
type placement struct {
	balance.Decision
	// through is the host that sends the attempt if the decision is Indirect.
	through peerpaths.Receiver
	// suspect is set for a refusal because of crashes.
	suspect quarantine.Suspect
	// generation is the number of crashes at different moments by the request that the
	// host knows of, and one more.
	generation int
}

// place asks the balancer for an endpoint for a request, unless endpoints crash under it.
// A request on trial is sent although it is suspended. It returns false when the control
// loop gave no decision.
func (g *Gateway) place(ctx context.Context, req balance.Request, f model.Fingerprint, onTrial bool) (placement, bool) {
	return queryLoop(ctx, g, func(now time.Time) placement {
		state := g.control.quarantine
		if refusal, refused := g.control.checkSuspects(now, req.Prompt, f, onTrial); refused {
			return refusal
		}
		out := placement{Decision: g.control.placeRequest(now, req), generation: 1}
		g.control.chooseThrough(now, req.ID, &out)
		if g.control.capacity.isScaled(req.Pool) {
			g.control.demand.recordRequest(&req, out.Decision)
		}
		g.control.recordDecision(req.Pool, req.Account, out.AboveShare, out.IsRefused())
		if state.IsWatching() {
			out.generation = state.Generation(f)
		}
		return out
	})
}

// checkSuspects returns the refusal of a request under which endpoints crash. It returns false
// if the request may be sent, as it may on trial unless it is in quarantine.
func (c *control) checkSuspects(now time.Time, p model.Prompt, f model.Fingerprint, onTrial bool) (placement, bool) {
	evidence, found := c.quarantine.Check(now, p, f)
	switch {
	case found && !evidence.NeedsTrial():
		until := evidence.At.Add(quarantine.Duration)
		return placement{Decision: balance.Decision{Reason: balance.ReasonQuarantine, RetryAfter: until.Sub(now)}, suspect: evidence.Suspect}, true
	case found && !onTrial:
		return placement{Decision: balance.Decision{Reason: balance.ReasonSuspended, RetryAfter: suspendedRetryAfter}, suspect: evidence.Suspect}, true
	default:
		return placement{}, false
	}
}

// placeNext places the next attempt of the request. A suspended request goes on trial
// unless that was tried before, it may have run, or another request is on trial.
func (x *exchange) placeNext(ctx context.Context) (placement, bool) {
	decision, ok := x.gateway.place(ctx, x.req, x.fingerprint, x.onTrial != nil && x.possibleRuns == 0)
	if !ok || decision.Reason != balance.ReasonSuspended || x.trialTried || x.possibleRuns > 0 {
		return decision, ok
	}
	x.trialTried = true
	if !x.startTrial(ctx, decision.suspect) {
		return decision, true
	}
	return x.gateway.place(ctx, x.req, x.fingerprint, true)
}

// startTrial reserves the request for a trial by this host. It returns false if another
// request is on trial, or the store does not answer.
func (x *exchange) startTrial(ctx context.Context, suspect quarantine.Suspect) bool {
	g := x.gateway
	reserved, ok := queryLoop(ctx, g, func(time.Time) bool { return g.control.reserveTrial(suspect) })
	if !ok || !reserved {
		return false
	}
	if !g.claimTrial(ctx, suspect, x.deadline) {
		g.freeTrial(suspect)
		return false
	}
	x.onTrial = &suspect
	g.opts.Log.WithFields(fields{"suspect": suspect, "request": x.call.ID}).Info("quarantine: suspended request is on trial")
	return true
}

// claimTrial claims a trial from the platform's store.
func (g *Gateway) claimTrial(ctx context.Context, suspect quarantine.Suspect, until time.Time) bool {
	if g.opts.Quarantine == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	claimed, err := g.opts.Quarantine.ClaimTrial(ctx, suspect, until)
	if err != nil {
		g.opts.Log.WithError(err).WithField("suspect", suspect).Warn("quarantine: claiming a trial failed")
	}
	return claimed
}

// endTrial ends the trial of the request, if it is on trial. After a crash, the next trial
// waits until all hosts know of it.
func (x *exchange) endTrial() {
	if x.onTrial == nil {
		return
	}
	g, suspect := x.gateway, *x.onTrial
	delay := time.Duration(0)
	if x.crashReported {
		delay = trialSettling
	}
	g.background(func(ctx context.Context) {
		defer g.freeTrial(suspect)
		if !clock.Sleep(ctx, delay) || g.opts.Quarantine == nil {
			return
		}
		if err := g.opts.Quarantine.EndTrial(ctx, suspect); err != nil {
			// The claim ends by itself with the time limit of the request.
			g.opts.Log.WithError(err).WithField("suspect", suspect).Warn("quarantine: ending a trial failed")
		}
	})
}

// reserveTrial reserves a suspect for a trial by this host. It returns false if a request
// of this host is on trial.
func (c *control) reserveTrial(suspect quarantine.Suspect) bool {
	if c.trials[suspect] {
		return false
	}
	c.trials[suspect] = true
	return true
}

// freeTrial ends the reservation of reserveTrial.
func (g *Gateway) freeTrial(suspect quarantine.Suspect) {
	g.loop.Post(loop.Func(func(time.Time) { delete(g.control.trials, suspect) }))
}
