package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/core/duty"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// callFraction is the part of a lease that one call of a duty may take, marginFraction
	// the part that is kept free before its end.
	callFraction   = 3
	marginFraction = 10
	// dutyInterval is the time between checks of the lease and of the reports.
	dutyInterval = 100 * time.Millisecond
	// paceFraction is the part of the calls that the platform takes that this host uses.
	// The holder before may have made calls in the same second.
	paceFraction = 0.8
)

// Duties configures the calls to the platform that one host at a time makes for all hosts.
type Duties struct {
	Client port.DutyClient
	// Log holds the lease and the reports.
	Log port.Log
	// Held are the duties that the hosts have.
	Held []port.Duty
	// Lease is how long a host may make the calls without renewal.
	Lease time.Duration
	// UsageWindow is the length of the windows of usage, UsageDue the time after the end of
	// a window within which it must be reported.
	UsageWindow, UsageDue time.Duration
	// CallsPerSecond is the number of calls that the platform takes from all hosts.
	CallsPerSecond float64
	// Steady is a clock that never jumps and also runs while the machine is suspended, Wall
	// the wall clock.
	Steady, Wall func() time.Time
}

// has reports whether the hosts have a duty.
func (d *Duties) has(held port.Duty) bool { return d != nil && slices.Contains(d.Held, held) }

// dutyTerm is the right of this host to make calls with a fencing number until a time.
type dutyTerm struct {
	fence model.Offset
	until time.Time
}

// dutyKeeper decides whether this host makes the calls of the duties, and makes them. The
// control loop owns it. All its times come from the steady clock of its options. A nil
// *dutyKeeper never holds the duties.
type dutyKeeper struct {
	control *control
	opts    *Duties
	keeper  *duty.Keeper
	limiter *rate.Limiter
	// term is what calls that are about to be sent check; nil if this host may make none.
	term atomic.Pointer[dutyTerm]
	// following reports whether this host reads the stream.
	following atomic.Bool
	// caughtUp reports that the stream has been read to its end, appending that an append is
	// in progress. calls is the number of calls in progress.
	caughtUp  bool
	appending bool
	calls     int
	checkedAt time.Time
	// memberReadsSince is since when this host reads the platform's lists although it relies
	// on relays; zero if it does not.
	memberReadsSince time.Time
	// loggedFence is the fencing number that was logged last, if loggedHolding.
	loggedFence   model.Offset
	loggedHolding bool
}

// newDutyKeeper returns the keeper of a host, nil if there are no duties.
func newDutyKeeper(c *control) *dutyKeeper {
	opts := c.gateway.opts.Duties
	if opts == nil || len(opts.Held) == 0 {
		return nil
	}
	return &dutyKeeper{
		control: c, opts: opts,
		keeper: duty.New(opts.Steady(), duty.Options{
			Host: c.gateway.opts.Host, Incarnation: c.gateway.opts.Incarnation,
			Lease: opts.Lease, CallTimeout: opts.callTimeout(), Margin: opts.Lease / marginFraction,
		}),
		limiter: opts.newLimiter(),
	}
}

// newLimiter returns the limiter of the calls of this host. The calls that it lets pass at
// once and those in the second that follows are no more than the platform takes.
func (d *Duties) newLimiter() *rate.Limiter {
	paced := d.CallsPerSecond * paceFraction
	return rate.NewLimiter(rate.Limit(paced), max(1, int(d.CallsPerSecond-paced)))
}

// callTimeout returns the time that one call may take.
func (d *Duties) callTimeout() time.Duration { return d.Lease / callFraction }

// holder returns the holder to name in a call that begins now, or false if this host may
// not make one. It reads the steady clock itself: the time of the control loop stands still
// while the machine is suspended.
func (k *dutyKeeper) holder(time.Time) (port.DutyHolder, bool) {
	if k == nil {
		return port.DutyHolder{}, false
	}
	fence, ok := k.keeper.Fence(k.opts.Steady())
	return port.DutyHolder{Host: k.control.gateway.opts.Host, Fence: fence}, ok
}

// refused records that the platform refused a call by this host with a fence. This host
// makes no more calls with it: it claims a higher one.
func (k *dutyKeeper) refused(_ time.Time, fence model.Offset) {
	k.keeper.Refuse(fence)
	k.publishTerm(k.opts.Steady())
}

// errNotHolder is the cause of a call that was not made since this host no longer holds the
// duties.
var errNotHolder = errors.New("this host no longer holds the duties")

// call makes a call of a duty in the background, at the pace that the platform takes from
// all hosts, and passes its result to done on the control loop. The call is not sent once
// the holder's time is over. After a conflict, this host makes no more calls with the fence.
func (k *dutyKeeper) call(holder port.DutyHolder, held port.Duty, send func(ctx context.Context) error, done func(now time.Time, err error)) {
	k.calls++
	k.keeper.RecordCall(k.opts.Steady())
	g := k.control.gateway
	g.background(func(ctx context.Context) {
		err := k.sendInTime(ctx, holder, held, send)
		g.loop.Post(loop.Func(func(now time.Time) {
			k.calls--
			k.keeper.RecordCall(k.opts.Steady())
			var failure *port.DutyError
			if errors.As(err, &failure) && failure.Conflict {
				k.refused(now, holder.Fence)
				logDutyRefused(g.opts.Log, holder, failure)
			}
			g.opts.Metrics.DutyCall(held.String(), dutyOutcome(err))
			done(now, err)
		}))
	})
}

// sendInTime waits until the platform takes another call, and sends it if this host still
// holds the duties. The wait is bounded by the time of a call as well.
func (k *dutyKeeper) sendInTime(ctx context.Context, holder port.DutyHolder, held port.Duty, send func(ctx context.Context) error) error {
	waitCtx, cancelWait := context.WithTimeout(ctx, k.opts.callTimeout())
	defer cancelWait()
	if err := k.limiter.Wait(waitCtx); err != nil {
		return &port.DutyError{Duty: held, Outcome: model.OutcomeNotRun, TooMany: true, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.callTimeout())
	defer cancel()
	if term := k.term.Load(); term == nil || term.fence != holder.Fence || !k.opts.Steady().Before(term.until) {
		return &port.DutyError{Duty: held, Outcome: model.OutcomeNotRun, Cause: errNotHolder}
	}
	return send(ctx)
}

// dutyOutcome returns the result of a call for metrics.
func dutyOutcome(err error) string {
	var failure *port.DutyError
	switch {
	case err == nil:
		return "done"
	case !errors.As(err, &failure):
		return "failed"
	case failure.Conflict:
		return "refused"
	case failure.TooMany:
		return "too_many"
	case errors.Is(failure, errNotHolder):
		return "not_holder"
	default:
		return "failed"
	}
}

// publishTerm makes the right of this host to make calls visible to calls that are about to
// be sent.
func (k *dutyKeeper) publishTerm(now time.Time) {
	fence, ok := k.keeper.Fence(now)
	if !ok {
		k.term.Store(nil)
		return
	}
	k.term.Store(&dutyTerm{fence: fence, until: k.keeper.Until()})
}

// tick claims, renews or releases the lease if that is due.
func (k *dutyKeeper) tick(now time.Time) {
	if k == nil || now.Sub(k.checkedAt) < dutyInterval {
		return
	}
	k.checkedAt = now
	steady := k.opts.Steady()
	situation := k.situation(now)
	holds := k.keeper.Holds(steady)
	k.following.Store(!situation.Leaving && (holds && !k.caughtUp || !holds && situation.Candidate))
	if !holds && !k.following.Load() {
		k.caughtUp = false
	}
	if !k.appending {
		if rec, due := k.keeper.Due(steady, situation, rand.Uint64()); due {
			k.append(rec)
		}
	}
	k.publishTerm(steady)
	k.logHolding(steady)
	k.control.usage.tick(now)
}

// situation returns what decides whether this host should hold the duties. Only hosts that
// read the platform's lists are candidates, so that a large fleet does not storm the store.
func (k *dutyKeeper) situation(now time.Time) duty.Situation {
	g := k.control.gateway
	s := duty.Situation{Leaving: g.leaving.Load(), Busy: k.calls > 0, CaughtUp: k.caughtUp}
	known, heard := 0, 0
	for _, p := range k.control.peers.peers {
		if p.host == "" || p.lastSeen.IsZero() || now.Sub(p.lastSeen) > forgetPeerAfter || now.Before(p.leavingUntil) {
			continue
		}
		known++
		if !k.control.peers.hearsFrom(now, p) {
			continue
		}
		heard++
		if p.reading && p.host < g.opts.Host {
			s.Rank++
		}
	}
	holds := k.keeper.Holds(k.opts.Steady())
	isolated := heard*minHeardFraction < known
	s.Candidate = g.reading.Load() && (!isolated || !holds) && !k.leavesToRelays(now)
	if isolated {
		s.Rank += isolatedRank
	}
	return s
}

// leavesToRelays reports whether this host relies on relays, which are to hold the duties:
// counts of other hosts reach them first, and there are few. Its own reads show that the
// relays cannot read, but all hosts of a failure domain may begin to read at once.
func (k *dutyKeeper) leavesToRelays(now time.Time) bool {
	if !k.control.gateway.reading.Load() || !k.control.peers.digests.isMember(now) {
		k.memberReadsSince = time.Time{}
		return false
	}
	if k.memberReadsSince.IsZero() {
		k.memberReadsSince = now
	}
	return now.Sub(k.memberReadsSince) < memberCandidateAfter
}

const (
	// memberCandidateAfter is how long a host that relies on relays reads the platform's
	// lists until it may hold the duties.
	memberCandidateAfter = 6 * time.Second
	// minHeardFraction is the reciprocal of the part of the known hosts that a holder must
	// hear from: a host that is cut off from the others does not know what they count.
	minHeardFraction = 3
	// isolatedRank is added to the rank of such a host: it claims after all others.
	isolatedRank = 10
)

// logHolding logs that this host has begun or ceased to hold the duties.
func (k *dutyKeeper) logHolding(now time.Time) {
	fence, holds := k.keeper.Fence(now)
	if holds == k.loggedHolding && (!holds || fence == k.loggedFence) {
		return
	}
	g := k.control.gateway
	logDutyHolder(g.opts.Log, holds, fence, k.loggedFence)
	k.loggedHolding, k.loggedFence = holds, fence
	g.opts.Metrics.SetDutyHolder(holds)
}
