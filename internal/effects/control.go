package effects

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/effect"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// tickEvery is the interval between ticks of the state machine.
const tickEvery = 100 * time.Millisecond

// event is an input of the Guard's control state.
type event interface {
	apply(now time.Time, c *control)
}

// bind returns a loop event that applies ev to the Guard's control state.
func (g *Guard) bind(ev event) loop.Event {
	return loop.Func(func(now time.Time) { ev.apply(now, g.control) })
}

// tryPost passes an event to the control loop without blocking. It returns false if
// the loop's queue is full or the loop has ended.
func (g *Guard) tryPost(ev event) bool {
	return g.opts.Loop.TryPost(g.bind(ev))
}

// post passes an event that must not be lost to the control loop.
func (g *Guard) post(ev event) {
	g.opts.Loop.Post(g.bind(ev))
}

// control is the state that only the control loop accesses.
type control struct {
	guard   *Guard
	machine *effect.Machine
	waiters map[effect.TryID]chan<- effect.Action
	// logUp is the log availability last passed to the state machine.
	logUp bool
	// lastTick is the time of the last tick of the state machine.
	lastTick time.Time
}

func newControl(g *Guard) *control {
	return &control{
		guard: g,
		machine: effect.New(effect.Options{
			Self:         g.opts.Self,
			Domain:       g.opts.Domain,
			Address:      g.opts.Address,
			Secret:       g.opts.Secret,
			Partitions:   Partitions,
			Window:       g.opts.Window,
			ClaimTimeout: g.opts.ClaimTimeout,
			MaxTickets:   defaultMaxTickets,
			CacheBytes:   defaultCacheBytes,
		}),
		waiters: make(map[effect.TryID]chan<- effect.Action),
	}
}

// tick passes the live hosts and the time to the state machine, at most once per
// tickEvery.
func (c *control) tick(now time.Time) {
	if now.Sub(c.lastTick) < tickEvery {
		return
	}
	c.lastTick = now
	members := c.guard.opts.Members()
	c.guard.members.Store(&members)
	live := make([]effect.HostRef, 0, len(members))
	for _, m := range members {
		live = append(live, m.HostRef)
	}
	c.execute(c.machine.SetLiveHosts(now, live))
	c.execute(c.machine.Tick(now))
}

// execute passes actions to the appenders and to the waiting tries.
func (c *control) execute(actions []effect.Action) {
	for _, a := range actions {
		if a.Kind == effect.ActionAppend {
			c.queueAppend(a)
			continue
		}
		if waiter := c.waiters[a.Try]; waiter != nil {
			waiter <- a
			delete(c.waiters, a.Try)
		}
	}
}

// queueAppend queues the record of an ActionAppend for its partition.
func (c *control) queueAppend(a effect.Action) {
	data, err := effect.EncodeRecord(a.Record)
	if err != nil {
		c.guard.opts.Logger.Errorf("effects: record of kind %s cannot be encoded: %v", a.Record.Kind, err)
		return
	}
	rec := a.Record
	c.guard.appenders[a.Partition].add(pendingEntry{data: data, record: &rec})
}

// beginEvent starts a try; reply receives the decision.
type beginEvent struct {
	try   effect.Try
	reply chan<- effect.Action
}

func (e beginEvent) apply(now time.Time, c *control) {
	c.waiters[e.try.ID] = e.reply
	c.execute(c.machine.Begin(now, e.try))
}

// cancelEvent cancels a waiting try.
type cancelEvent struct{ id effect.TryID }

func (e cancelEvent) apply(now time.Time, c *control) {
	c.execute(c.machine.Cancel(now, e.id))
}

// finishEvent ends a permit.
type finishEvent struct {
	permit effect.Permit
	result effect.Result
}

func (e finishEvent) apply(now time.Time, c *control) {
	c.execute(c.machine.Finish(now, e.permit, e.result))
}

// ticketEvent requests a ticket.
type ticketEvent struct {
	account model.AccountName
	reply   chan ticketReply
}

type ticketReply struct {
	text string
	err  error
}

func (e ticketEvent) apply(now time.Time, c *control) {
	text, err := c.machine.IssueTicket(now, e.account, DefaultTicketTTL)
	e.reply <- ticketReply{text: text, err: err}
}

// batchEvent applies a batch of records read from a partition.
type batchEvent struct {
	partition int
	batch     port.Batch
	// next receives the offset of the next read.
	next chan<- model.Offset
}

func (e batchEvent) apply(now time.Time, c *control) {
	c.setLogAvailable(now, true)
	records := make([]effect.LogRecord, len(e.batch.Records))
	for i, rec := range e.batch.Records {
		records[i] = effect.LogRecord{Offset: rec.Offset, Data: rec.Data}
	}
	actions, err := c.machine.ApplyRecords(now, e.partition, effect.Extent{EraStart: e.batch.EraStart, Earliest: e.batch.Earliest}, records)
	if err != nil {
		c.guard.opts.Logger.Errorf("effects: partition %d halted, requests with its idempotency keys are refused: %v", e.partition, err)
	}
	c.execute(actions)
	e.next <- c.machine.NextOffset(e.partition)
}

// logDownEvent reports that a call to the log failed.
type logDownEvent struct{}

func (logDownEvent) apply(now time.Time, c *control) { c.setLogAvailable(now, false) }

func (c *control) setLogAvailable(now time.Time, up bool) {
	if up == c.logUp {
		return
	}
	c.logUp = up
	if up {
		c.guard.opts.Logger.Info("effects: log is available, idempotency keys are claimed")
	} else {
		c.guard.opts.Logger.Warn("effects: log is unavailable, requests with idempotency keys are refused")
	}
	c.execute(c.machine.SetLogAvailable(now, up))
}

// needsAppendEvent queries which records still have to be appended.
type needsAppendEvent struct {
	records []*effect.Record
	reply   chan<- []bool
}

func (e needsAppendEvent) apply(_ time.Time, c *control) {
	needed := make([]bool, len(e.records))
	for i, rec := range e.records {
		needed[i] = rec != nil && c.machine.NeedsAppend(*rec)
	}
	e.reply <- needed
}
