package gateway

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/bytebudget"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The memory for requests in progress: what is held for each, who is refused and who is shed.

const (
	// memoryRetryAfter is the shortest Retry-After for a request that is refused for lack of
	// memory. Up to as much again is added at random, so that refused callers return at
	// different times. Requests end within seconds.
	memoryRetryAfter = time.Second
	// memoryLogInterval is the minimum time between two log lines about refusals.
	memoryLogInterval = time.Second
	// memoryWaitInterval is the time between two searches for a caller to shed while a
	// response waits for room.
	memoryWaitInterval = 100 * time.Millisecond
)

// noClass is the class of requests that were refused before their route was known, in metrics.
const noClass model.ClassName = "none"

// reasonMemory is the reason of a refusal for lack of memory, in metrics.
type reasonMemory struct{}

// String implements fmt.Stringer.
func (reasonMemory) String() string { return "memory" }

// memoryAccount accounts for the memory that the requests in progress hold. It is safe for
// concurrent use.
type memoryAccount struct {
	gateway *Gateway
	mu      sync.Mutex
	budget  *bytebudget.Budget
	// cuts cut off the responses of requests.
	cuts map[*bytebudget.Holder]func()
	// freed is closed and replaced when memory is freed while requests wait for it.
	freed   chan struct{}
	waiting int
	// refused is the number of refusals since loggedAt.
	refused  int
	loggedAt time.Time
}

// newMemoryAccount returns an account with a limit in bytes; 0 for none.
func newMemoryAccount(g *Gateway, limit int64) *memoryAccount {
	if limit <= 0 {
		limit = math.MaxInt64 / 2
	}
	return &memoryAccount{
		gateway: g, budget: bytebudget.New(limit), cuts: make(map[*bytebudget.Holder]func()), freed: make(chan struct{}),
	}
}

// HoldMemory implements port.CallRouter.
func (g *Gateway) HoldMemory(bodyLength int64) (port.MemoryHold, *port.RequestError) {
	a := g.memory
	a.mu.Lock()
	defer a.mu.Unlock()
	holder := a.budget.Admit(bodyLength)
	if holder == nil {
		return nil, a.refuse(bodyLength)
	}
	return &memoryHold{account: a, holder: holder}, nil
}

// refuse returns the error response to a request whose body is not read, or not to its end,
// for lack of memory. The caller must hold mu.
func (a *memoryAccount) refuse(bodyLength int64) *port.RequestError {
	a.recordRefusal(bodyLength)
	return &port.RequestError{
		Code: port.CodeOverloaded, Status: http.StatusServiceUnavailable, Outcome: model.OutcomeNotRun,
		Message:    "not run: this host has no memory for the body of the request",
		RetryAfter: memoryRetryAfter + time.Duration(a.gateway.rng.fraction()*float64(memoryRetryAfter)),
	}
}

// recordRefusal counts a refusal, and logs the refusals since the last log line. The caller
// must hold mu.
func (a *memoryAccount) recordRefusal(bodyLength int64) {
	a.gateway.opts.Metrics.Refused(noClass, reasonMemory{})
	a.refused++
	now := time.Now()
	if now.Sub(a.loggedAt) < memoryLogInterval {
		return
	}
	a.gateway.opts.Log.WithFields(fields{
		"refused": a.refused, "body": bodyLength, "held": a.budget.Used(), "limit": a.budget.Limit(), "requests": a.budget.Count(),
	}).Warn("memory: requests refused before their bodies were read")
	a.refused, a.loggedAt = 0, now
}

// held returns the bytes that are held and their limit.
func (a *memoryAccount) held() (used, limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Used(), a.budget.Limit()
}

// signalFreed wakes the responses that wait for room. The caller must hold mu.
func (a *memoryAccount) signalFreed() {
	if a.waiting > 0 {
		close(a.freed)
		a.freed, a.waiting = make(chan struct{}), 0
	}
}

// memoryHold implements port.MemoryHold. A nil *memoryHold accounts for nothing.
type memoryHold struct {
	account *memoryAccount
	holder  *bytebudget.Holder
	// waiting reports whether the response waits for room.
	waiting atomic.Bool
}

// holdOf returns what is held for a call.
func holdOf(call *port.RoutedCall) *memoryHold {
	hold, _ := call.Memory.(*memoryHold)
	return hold
}

// GrowBody implements port.MemoryHold.
func (h *memoryHold) GrowBody(bytes int64) *port.RequestError {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.budget.GrowBody(h.holder, bytes) {
		return nil
	}
	return a.refuse(bytes)
}

// AddUnread implements port.MemoryHold. If there is no room, it sheds a caller that reads
// slowly.
func (h *memoryHold) AddUnread(ctx context.Context, bytes int64) error {
	return h.await(ctx, bytes, (*bytebudget.Budget).AddUnread)
}

// AddBuffer implements port.MemoryHold, as AddUnread does.
func (h *memoryHold) AddBuffer(ctx context.Context, bytes int64) error {
	return h.await(ctx, bytes, (*bytebudget.Budget).AddBuffer)
}

// KeepBuffer implements port.MemoryHold.
func (h *memoryHold) KeepBuffer(bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.budget.KeepBuffer(h.holder, bytes)
}

// FreeBuffer implements port.MemoryHold.
func (h *memoryHold) FreeBuffer(bytes int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.FreeBuffer(h.holder, bytes)
	a.signalFreed()
}

// addBytes adds bytes of a response to an account. Its results are those of
// bytebudget.Budget.AddUnread.
type addBytes func(b *bytebudget.Budget, now time.Time, h *bytebudget.Holder, bytes int64) (bool, *bytebudget.Holder)

// await adds bytes of the response as soon as there is room. It fails when ctx ends before.
func (h *memoryHold) await(ctx context.Context, bytes int64, add addBytes) error {
	if h == nil {
		return nil
	}
	defer h.waiting.Store(false)
	for {
		ok, freed, err := h.tryAdd(bytes, add)
		if ok || err != nil {
			return err
		}
		h.waiting.Store(true)
		timer := time.NewTimer(memoryWaitInterval)
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		}
		timer.Stop()
	}
}

// tryAdd adds bytes of the response if there is room. Otherwise it cuts off the response
// to shed, if there is one, and returns a channel that is closed when memory is freed. It fails
// if the response is the one to break off.
func (h *memoryHold) tryAdd(bytes int64, add addBytes) (ok bool, freed <-chan struct{}, err error) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	ok, victim := add(a.budget, time.Now(), h.holder, bytes)
	if ok {
		return true, nil, nil
	}
	if victim == nil && a.breakOff(h.holder) {
		return false, nil, port.ErrNoRoom
	}
	a.waiting++
	if cut := a.cuts[victim]; cut != nil {
		// It must not run after Release: the connection may serve the next request then.
		cut()
	}
	return false, a.freed, nil
}

// breakOff chooses the response to break off, if there is one. It reports whether it is that
// of the holder, and wakes the others otherwise. The caller must hold mu.
func (a *memoryAccount) breakOff(holder *bytebudget.Holder) bool {
	broken, chosen := a.budget.BreakOff(time.Now(), holder)
	if chosen && broken != holder {
		a.signalFreed()
	}
	return broken == holder
}

// isWaiting reports whether the response waits for room, so that nothing is read from its
// endpoint.
func (h *memoryHold) isWaiting() bool { return h != nil && h.waiting.Load() }

// OnShed implements port.MemoryHold.
func (h *memoryHold) OnShed(cut func()) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cuts[h.holder] = cut
}

// Release implements port.MemoryHold.
func (h *memoryHold) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Release(h.holder)
	delete(a.cuts, h.holder)
	a.signalFreed()
}

// ranksPerTier exceeds the rank of each route.
const ranksPerTier = 1 << 8

// setRank sets the rank of the request: callers of the lowest tier are shed first, and within
// a tier those of the lowest rank.
func (h *memoryHold) setRank(tier, rank model.Tier) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.budget.SetRank(h.holder, int(tier)*ranksPerTier+int(rank))
}

// send records that bytes of the response are being sent to the caller.
func (h *memoryHold) send() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.budget.Send(time.Now(), h.holder)
}

// read frees bytes of the response that the caller has read.
func (h *memoryHold) read(bytes int) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Read(time.Now(), h.holder, int64(bytes))
	a.signalFreed()
}

// logShed logs and counts a response that was cut off because its caller reads slowly.
func (x *exchange) logShed() {
	x.gateway.opts.Metrics.Completed(model.ClassName(x.route.Name), model.OutcomeUnknown)
	x.gateway.opts.Metrics.ShedReader(model.ClassName(x.route.Name))
	x.gateway.opts.Log.WithFields(fields{
		"request": x.call.ID, "account": x.account, "tier": x.req.Tier, "rank": x.req.Rank, "events": x.eventsSent, "age_ms": x.ageMS(),
	}).Warn("memory: response cut off, its caller reads slowly")
}
