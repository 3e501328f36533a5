package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/enginespeed"
	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
)

// Fair shares of client accounts while a pool is short of room:
//
//  1. All requests of accounts count as requested work, whether they are served or not.
//  2. An engine pool is short of room for a request if it would have to wait in a queue at
//     its endpoint, a pool of plain services if it would have to wait for a place at all.
//  3. Only the share of an account's requests that exceeds its share is treated differently.
//     At engines these come behind those of the same rank, never behind another tier, and
//     are the first to be refused for the length of the queue. At plain services they are
//     refused.

const (
	// outputTokenMS is the time by which decoding a token prolongs the other work of an
	// engine, in milliseconds: loadSlowdown for the time between two events.
	outputTokenMS = 0.5
	// shortOfRoomShare is the share of the latency target that a request waits in a queue
	// from which on the pool is short of room. shortOfRoomWait is that time without a
	// target.
	shortOfRoomShare = 0.1
	shortOfRoomWait  = 200 * time.Millisecond
	// aboveShareQueue is the share of the latency target, or of the remaining time, that a
	// request above its account's share may wait in the queue of an engine, where others of
	// its rank wait behind it. aboveSharePlaceWait is that for a place at a plain service.
	aboveShareQueue     = 0.2
	aboveSharePlaceWait = 0.25
	// freePlaceWait is the remaining time that is assumed for a request without a
	// deadline.
	freePlaceWait = 2 * time.Second
)

// Accounts returns the work that client accounts request.
func (b *Balancer) Accounts() *fairshare.Book { return b.accounts }

// engineWork returns the work of a request in milliseconds of engine time, if an engine
// has to prefill the given number of tokens.
func engineWork(p *pool, req *Request, prefill int) float64 {
	if p.engine == nil {
		return serviceBaseMS
	}
	return float64(prefill)*enginespeed.DefaultPrefillMS + outputShare*float64(req.Prompt.MaxOutputTokens)*outputTokenMS
}

// recordRequested counts the work of a request when it is submitted for the first time.
func (b *Balancer) recordRequested(now time.Time, req *Request, d *Decision) {
	p := b.pools[req.Pool]
	if p == nil || !b.opts.FairShares || req.Account == "" || len(req.Avoid) > 0 {
		return
	}
	prefill := d.OwnPrefill
	if d.IsRefused() {
		prefill = req.Prompt.UnsharedTokens()
	}
	b.accounts.RecordRequested(now, req.Pool, req.Account, engineWork(p, req, prefill))
}

// recordServed counts the work of a request whose first response is in time.
func (b *Balancer) recordServed(now time.Time, r *runningRequest) {
	if r.req.Target > 0 && now.Sub(r.req.Arrived) > r.req.Target {
		return
	}
	if p := b.pools[r.req.Pool]; p != nil && r.req.Account != "" {
		b.accounts.RecordServed(now, r.req.Pool, engineWork(p, &r.req, r.initialPrefill))
	}
}

// isAboveShare reports whether the pool is short of room for a new request and the request
// is one of those that exceed its account's share. These are chosen at random.
func (b *Balancer) isAboveShare(now time.Time, p *pool, req *Request, c *choice) (fairshare.Standing, bool) {
	if !b.opts.FairShares || req.Account == "" || len(req.Avoid) > 0 || !p.isShortOfRoom(now, req, c) {
		return fairshare.Standing{}, false
	}
	standing := b.accounts.Standing(now, req.Pool, req.Account)
	excess := standing.Excess()
	if excess == 0 || b.rng.Float64() >= excess {
		return fairshare.Standing{}, false
	}
	return standing, true
}

// isShortOfRoom reports whether a request has to wait at the chosen endpoint.
func (p *pool) isShortOfRoom(now time.Time, req *Request, c *choice) bool {
	limit := shortOfRoomWait
	if req.Target > 0 {
		limit = time.Duration(shortOfRoomShare * float64(req.Target))
	}
	if p.engine == nil {
		return !p.hasPlace(now, limit)
	}
	return c.queueWait() > limit
}

// hasPlace reports whether a usable plain service has a free place, or one within the time.
func (p *pool) hasPlace(now time.Time, wait time.Duration) bool {
	for _, e := range p.endpoints {
		if !e.isUsable(now) {
			continue
		}
		queued := e.localLoad.Count + e.remoteLoad.Count + 1 - e.Slots
		if e.Slots <= 0 || float64(queued)*serviceBaseMS/float64(e.Slots) <= float64(wait.Milliseconds()) {
			return true
		}
	}
	return false
}

// priorityAboveShare returns the engine priority of a request above its account's share:
// behind the requests of the same rank, but not behind those of other tiers.
func (r *Request) priorityAboveShare(priority int) int {
	if r.rank() == ranksPerTier-1 || priority != r.priority() {
		return priority
	}
	return min(priority+1, NumPriorities-1)
}

// refusesAboveShare reports whether a request above its account's share is to be refused,
// and after what time its caller may return.
func (b *Balancer) refusesAboveShare(now time.Time, p *pool, req *Request, best *choice) (time.Duration, bool) {
	left := freePlaceWait
	if !req.Deadline.IsZero() {
		left = req.Deadline.Sub(now)
	}
	if left <= 0 {
		return 0, false
	}
	if p.engine == nil {
		return b.spreadWait(left), !p.hasPlace(now, req.longestWait(aboveSharePlaceWait, left))
	}
	if p.hasRoom(now, req, best.priority, req.longestWait(aboveShareQueue, left)) {
		return 0, false
	}
	return b.spreadWait(left), true
}

// longestWait returns the wait from which on a request above its account's share is refused:
// a share of its latency target or of the remaining time.
func (r *Request) longestWait(share float64, left time.Duration) time.Duration {
	if r.Target > 0 {
		left = min(left, r.Target)
	}
	return time.Duration(share * float64(left))
}

// hasRoom reports whether a usable engine, other than those reserved for others, has a
// shorter queue than the limit before requests with the priority.
func (p *pool) hasRoom(now time.Time, req *Request, priority int, limit time.Duration) bool {
	for _, e := range p.endpoints {
		if !e.isUsable(now) || e.reserved && !req.isUrgent() {
			continue
		}
		total := e.totalLoad()
		if total.prefillAhead(priority)*e.speed.perTokenMS(total.Count) <= float64(limit.Milliseconds()) {
			return true
		}
	}
	return false
}
