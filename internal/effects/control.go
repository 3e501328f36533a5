package effects

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/effect"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// tickEvery is the time between ticks of the state machine.
const tickEvery = 100 * time.Millisecond

// event is an input of the guard's control state.
type event interface {
	apply(now time.Time, c *control)
}

// bind ties an event to the state that it is for.
func (g *Guard) bind(ev event) loop.Event {
	return loop.Func(func(now time.Time) { ev.apply(now, g.control) })
}

// offer hands over an event without waiting. It returns false when the loop
// is full or has ended.
func (g *Guard) offer(ev event) bool {
	return g.opts.Loop.TryPost(g.bind(ev))
}

// post hands over an event that must not be lost.
func (g *Guard) post(ev event) {
	g.opts.Loop.Post(g.bind(ev))
}

// control is the state that only the control loop touches.
type control struct {
	guard   *Guard
	machine *effect.Machine
	answers map[effect.TryID]chan<- effect.Action
	// logUp is what the state machine was told last.
	logUp bool
	// ticked is when the state machine was last told the time.
	ticked time.Time
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
		answers: make(map[effect.TryID]chan<- effect.Action),
	}
}

func (c *control) tick(now time.Time) {
	if now.Sub(c.ticked) < tickEvery {
		return
	}
	c.ticked = now
	members := c.guard.opts.Members()
	c.guard.members.Store(&members)
	live := make([]effect.HostRef, 0, len(members))
	for _, m := range members {
		live = append(live, m.HostRef)
	}
	c.carryOut(c.machine.SetLive(now, live))
	c.carryOut(c.machine.Tick(now))
}

// carryOut passes actions on to the appenders and the waiting tries.
func (c *control) carryOut(actions []effect.Action) {
	for _, a := range actions {
		if a.Kind == effect.ActionAppend {
			c.append(a)
			continue
		}
		if answer := c.answers[a.Try]; answer != nil {
			answer <- a
			delete(c.answers, a.Try)
		}
	}
}

func (c *control) append(a effect.Action) {
	data, err := effect.EncodeRecord(a.Record)
	if err != nil {
		c.guard.opts.Logger.Errorf("effects: record of kind %s cannot be encoded: %v", a.Record.Kind, err)
		return
	}
	rec := a.Record
	c.guard.appenders[a.Partition].add(pending{data: data, record: &rec})
}

// beginEvent asks for a decision about a try.
type beginEvent struct {
	try    effect.Try
	answer chan<- effect.Action
}

func (e beginEvent) apply(now time.Time, c *control) {
	c.answers[e.try.ID] = e.answer
	c.carryOut(c.machine.Begin(now, e.try))
}

// giveUpEvent withdraws a try that waits.
type giveUpEvent struct{ id effect.TryID }

func (e giveUpEvent) apply(now time.Time, c *control) {
	c.carryOut(c.machine.GiveUp(now, e.id))
}

// finishEvent ends a permission.
type finishEvent struct {
	right  effect.Right
	result effect.Result
}

func (e finishEvent) apply(now time.Time, c *control) {
	c.carryOut(c.machine.Finish(now, e.right, e.result))
}

// ticketEvent asks for a ticket.
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

// batchEvent folds in what was read of a partition.
type batchEvent struct {
	partition int
	batch     port.Batch
	// next takes the offset to read on from.
	next chan<- model.Offset
}

func (e batchEvent) apply(now time.Time, c *control) {
	c.setLog(now, true)
	records := make([]effect.LogRecord, len(e.batch.Records))
	for i, rec := range e.batch.Records {
		records[i] = effect.LogRecord{Offset: rec.Offset, Data: rec.Data}
	}
	actions, err := c.machine.Applied(now, e.partition, e.batch.Earliest, records)
	if err != nil {
		c.guard.opts.Logger.Errorf("effects: partition %d stops, plain keys in it are refused: %v", e.partition, err)
	}
	c.carryOut(actions)
	e.next <- c.machine.NextOffset(e.partition)
}

// logDownEvent tells that the log did not answer.
type logDownEvent struct{}

func (logDownEvent) apply(now time.Time, c *control) { c.setLog(now, false) }

func (c *control) setLog(now time.Time, up bool) {
	if up == c.logUp {
		return
	}
	c.logUp = up
	if up {
		c.guard.opts.Logger.Info("effects: log answers, claims are made")
	} else {
		c.guard.opts.Logger.Warn("effects: log does not answer, plain keys are refused")
	}
	c.carryOut(c.machine.SetLog(now, up))
}

// wantedEvent asks which records still have to be appended.
type wantedEvent struct {
	records []*effect.Record
	reply   chan<- []bool
}

func (e wantedEvent) apply(_ time.Time, c *control) {
	wanted := make([]bool, len(e.records))
	for i, rec := range e.records {
		wanted[i] = rec != nil && c.machine.Wanted(*rec)
	}
	e.reply <- wanted
}
