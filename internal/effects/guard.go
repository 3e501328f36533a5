// Package effects is the shell around the decisions of core/effect: it owns
// the state machine in one goroutine, follows the partitions of the platform's
// log, and appends claims and outcomes in batches.
package effects

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/core/effect"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Partitions is the number of streams that hold claims and outcomes. It must
// be equal on all hosts.
const Partitions = 4

// The defaults of Options.
const (
	// DefaultWindow is how long a key is protected.
	DefaultWindow = time.Hour
	// DefaultTicketTTL is how long a ticket can be used.
	DefaultTicketTTL = 15 * time.Minute

	defaultClaimTimeout = 4 * time.Second
	defaultMaxTickets   = 100_000
	defaultCacheBytes   = 16 << 20
	// maxAppendsPerSecond bounds a host's appends to one partition.
	maxAppendsPerSecond = 25
	// allAppendsPerSecond bounds the appends of all hosts to all partitions.
	// One host of a failure domain batches a partition, so the domains share
	// the bound. It leaves the log room for leases and configurations.
	allAppendsPerSecond = 300
)

// Options configures a Guard.
type Options struct {
	// Loop owns the Guard's control state. It calls Tick regularly.
	Loop *loop.Loop
	// Self, Domain and Address describe this host; Address is where it
	// serves its peers.
	Self    effect.HostRef
	Domain  model.DomainName
	Address string
	// Secret authenticates tickets among the hosts.
	Secret []byte
	// Window is how long a key is protected; 0 for DefaultWindow. The log
	// must keep records longer, by an hour at least.
	Window time.Duration
	// ClaimTimeout bounds the wait for a claim; 0 for the default of 4 s.
	ClaimTimeout time.Duration
	// Log is the platform's log.
	Log port.Log
	// Peers reaches the other hosts; nil for none.
	Peers port.PeerTransport
	// Members returns the other live hosts; nil for none.
	Members func() []Member
	// Logger takes the log lines.
	Logger log.Interface
}

// Member is another live host.
type Member struct {
	effect.HostRef
	// Domain is the host's failure domain.
	Domain model.DomainName
	// Address is where the host serves its peers.
	Address string
}

// Guard gives the permission to send requests that may not be repeated. It is
// safe for concurrent use.
type Guard struct {
	opts      Options
	control   *control
	appenders []*appender
	// members is the latest answer of Options.Members.
	members atomic.Pointer[[]Member]
	nextTry atomic.Uint64
	// unread counts the partitions that were never asked for.
	unread  atomic.Int32
	stop    context.CancelFunc
	workers sync.WaitGroup
}

// SetDomains tells the number of failure domains, which share the appends
// that the log takes. It may be called from any goroutine.
func (g *Guard) SetDomains(n int) {
	for _, a := range g.appenders {
		a.limit.SetLimit(appendRate(n))
	}
}

// appendRate is the bound on a host's appends to one partition, in appends a
// second.
func appendRate(domains int) rate.Limit {
	shared := rate.Limit(allAppendsPerSecond) / rate.Limit(Partitions*max(domains, 1))
	return min(shared, maxAppendsPerSecond)
}

// New builds a Guard. It decides nothing until Start.
func New(opts Options) *Guard {
	opts.setDefaults()
	g := &Guard{opts: opts}
	g.control = newControl(g)
	g.unread.Store(Partitions)
	g.members.Store(&[]Member{})
	for i := range Partitions {
		g.appenders = append(g.appenders, newAppender(g, i))
	}
	return g
}

func (o *Options) setDefaults() {
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.ClaimTimeout == 0 {
		o.ClaimTimeout = defaultClaimTimeout
	}
	if o.Members == nil {
		o.Members = func() []Member { return nil }
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
}

// Start runs the goroutines of the Guard until Close.
func (g *Guard) Start() {
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	for i, a := range g.appenders {
		g.workers.Go(func() { g.follow(ctx, i) })
		g.workers.Go(func() { a.run(ctx) })
	}
}

// Ready says whether every partition was read once, or the log was found not
// to answer. Before that a plain key would be refused for want of a claim.
func (g *Guard) Ready() bool { return g.unread.Load() == 0 }

// Tick lets time pass. Only the control loop calls it.
func (g *Guard) Tick(now time.Time) { g.control.tick(now) }

// flushTimeout bounds the wait for the last outcomes at Close.
const flushTimeout = 2 * time.Second

// Close waits a short time for outcomes that are not on the log yet, and ends
// all goroutines.
func (g *Guard) Close() {
	deadline := time.After(flushTimeout)
	for _, a := range g.appenders {
		select {
		case <-a.idle():
		case <-deadline:
		}
	}
	g.stop()
	g.workers.Wait()
}

// errClosed tells that the Guard has ended.
var errClosed = errors.New("effects: closed")

// Decision tells what to do with a request.
type Decision struct {
	// Kind is ActionSend, ActionReplay or ActionForward.
	Kind effect.ActionKind
	// Right is the permission of ActionSend. It ends with Finish.
	Right effect.Right
	// Result is the recorded answer of ActionReplay.
	Result effect.Result
	// Address is the issuer's address of ActionForward.
	Address string
}

// Begin asks for the permission to send a request, or for the answer of an
// earlier try. It waits at most until ctx ends. Errors are *effect.Refusal.
// The ID and the Deadline of the try are set here.
func (g *Guard) Begin(ctx context.Context, try effect.Try) (Decision, error) {
	try.ID = effect.TryID(g.nextTry.Add(1))
	answer := make(chan effect.Action, 1)
	if !g.offer(beginEvent{try: try, answer: answer}) {
		return Decision{}, overloaded()
	}
	select {
	case a := <-answer:
		return g.decide(ctx, a)
	case <-g.opts.Loop.Stopped():
		return Decision{}, overloaded()
	case <-ctx.Done():
	}
	g.post(giveUpEvent{id: try.ID})
	select {
	case a := <-answer:
		return g.decide(ctx, a)
	case <-g.opts.Loop.Stopped():
		return Decision{}, overloaded()
	}
}

// overloaded is the refusal of a try that never reached the state machine.
// Nothing is known of the key.
func overloaded() *effect.Refusal {
	return &effect.Refusal{Outcome: model.OutcomeUnknown, Code: effect.CodeLogUnavailable, RetryAfter: time.Second}
}

func (g *Guard) decide(ctx context.Context, a effect.Action) (Decision, error) {
	switch a.Kind {
	case effect.ActionRefuse:
		return Decision{}, a.Refusal
	case effect.ActionFetch:
		return g.fetch(ctx, a)
	default:
		return Decision{Kind: a.Kind, Right: a.Right, Result: a.Result, Address: a.Address}, nil
	}
}

// fetch reads a recorded answer from the log.
func (g *Guard) fetch(ctx context.Context, a effect.Action) (Decision, error) {
	unavailable := &effect.Refusal{Outcome: a.Result.Outcome, Code: effect.CodeAnswerUnavailable, RetryAfter: fetchRetryAfter}
	batch, err := g.opts.Log.Read(ctx, streamOf(a.Partition), a.Place.Offset, 1, 0)
	if err != nil || len(batch.Records) == 0 || batch.Records[0].Offset != a.Place.Offset {
		return Decision{}, unavailable
	}
	records, err := effect.DecodeBatch(batch.Records[0].Data)
	if err != nil || a.Place.Index >= len(records) || records[a.Place.Index].Result == nil {
		return Decision{}, unavailable
	}
	replay := effect.Replay(a.Try, *records[a.Place.Index].Result)
	if replay.Kind == effect.ActionRefuse {
		return Decision{}, replay.Refusal
	}
	return Decision{Kind: replay.Kind, Result: replay.Result}, nil
}

// fetchRetryAfter is when to come back for an answer that cannot be read.
const fetchRetryAfter = 2 * time.Second

// Finish ends a permission with what became of the request. A not_run result
// lets the key be used again.
func (g *Guard) Finish(right effect.Right, result effect.Result) {
	g.post(finishEvent{right: right, result: result})
}

// IssueTicket returns a single-use key for an account and when it expires.
func (g *Guard) IssueTicket(ctx context.Context, account model.AccountName) (string, time.Time, error) {
	expires := time.Now().Add(DefaultTicketTTL)
	ev := ticketEvent{account: account, reply: make(chan ticketReply, 1)}
	if !g.offer(ev) {
		return "", time.Time{}, overloaded()
	}
	select {
	case r := <-ev.reply:
		return r.text, expires, r.err
	case <-g.opts.Loop.Stopped():
		return "", time.Time{}, errClosed
	case <-ctx.Done():
		return "", time.Time{}, ctx.Err()
	}
}

// AppendClaims appends entries that another host handed over, and returns
// their places. It implements the peer call of the same name.
func (g *Guard) AppendClaims(ctx context.Context, entries []port.ClaimEntry) ([]port.ClaimPosition, error) {
	waits := make([]chan appended, len(entries))
	for i, entry := range entries {
		if entry.Partition < 0 || entry.Partition >= Partitions {
			return nil, errors.New("effects: no such partition")
		}
		waits[i] = make(chan appended, 1)
		g.appenders[entry.Partition].add(pending{data: entry.Data, done: waits[i]})
	}
	places := make([]port.ClaimPosition, len(entries))
	for i, wait := range waits {
		select {
		case r := <-wait:
			if r.err != nil {
				return nil, r.err
			}
			places[i] = r.place
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-g.opts.Loop.Stopped():
			return nil, errClosed
		}
	}
	return places, nil
}
