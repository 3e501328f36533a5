// Package effects runs the state machine of core/effect, which ensures that a
// non-idempotent request takes effect at most once: it owns the state machine in
// one goroutine, reads the partitions of the platform's log, and appends claims
// and outcomes in batches.
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
	// DefaultWindow is how long an idempotency key is protected.
	DefaultWindow = time.Hour
	// DefaultTicketTTL is how long a ticket is valid.
	DefaultTicketTTL = 15 * time.Minute

	defaultClaimTimeout = 4 * time.Second
	defaultMaxTickets   = 100_000
	defaultCacheBytes   = 16 << 20
	// maxHostAppendsPerSecond bounds the appends of one host to one partition.
	maxHostAppendsPerSecond = 25
	// maxTotalAppendsPerSecond bounds the appends of all hosts to all partitions.
	// In each failure domain one host batches a partition, so the failure domains
	// share the bound. It leaves capacity of the log for leases and
	// configurations.
	maxTotalAppendsPerSecond = 300
)

// Options configures a Guard.
type Options struct {
	// Loop owns the Guard's control state. It must call Tick regularly.
	Loop *loop.Loop
	// Self, Domain and Address describe this host; Address is its peer address.
	Self    effect.HostRef
	Domain  model.DomainName
	Address string
	// Secret is the key that authenticates tickets between the hosts.
	Secret []byte
	// Window is how long a key is protected after its first claim; 0 for
	// DefaultWindow. The log must retain records for longer, so that protection
	// ends well before the log drops the records of the key. The host sets Window
	// to half of the log's retention.
	Window time.Duration
	// ClaimTimeout bounds the wait for a claim; 0 for the default of 4 s.
	ClaimTimeout time.Duration
	// Log is the platform's log.
	Log port.Log
	// Peers calls the other hosts; nil for none.
	Peers port.PeerTransport
	// Members returns the other live hosts; nil for none.
	Members func() []Member
	// Logger receives the log messages.
	Logger log.Interface
}

// Member is another live host.
type Member struct {
	effect.HostRef
	// Domain is the host's failure domain.
	Domain model.DomainName
	// Address is the host's peer address.
	Address string
}

// Guard grants the permits to send non-idempotent requests. It is safe for
// concurrent use.
type Guard struct {
	opts      Options
	control   *control
	appenders []*appender
	// members is the latest result of Options.Members.
	members atomic.Pointer[[]Member]
	nextTry atomic.Uint64
	// unreadPartitions is the number of partitions whose first read has not ended yet.
	unreadPartitions atomic.Int32
	stop             context.CancelFunc
	workers          sync.WaitGroup
}

// SetDomainCount sets the number of failure domains, which share the append rate
// of the log. It may be called from any goroutine.
func (g *Guard) SetDomainCount(n int) {
	for _, a := range g.appenders {
		a.limiter.SetLimit(appendRate(n))
	}
}

// appendRate returns the limit of a host's appends to one partition, in appends
// per second.
func appendRate(domains int) rate.Limit {
	shared := rate.Limit(maxTotalAppendsPerSecond) / rate.Limit(Partitions*max(domains, 1))
	return min(shared, maxHostAppendsPerSecond)
}

// New returns a Guard. It does not read or append before Start.
func New(opts Options) *Guard {
	opts.setDefaults()
	g := &Guard{opts: opts}
	g.control = newControl(g)
	g.unreadPartitions.Store(Partitions)
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
		g.workers.Go(func() { g.followPartition(ctx, i) })
		g.workers.Go(func() { a.run(ctx) })
	}
}

// Ready reports whether the first read of every partition has succeeded or
// failed. Before that, requests with idempotency keys would be refused because
// they cannot be claimed yet.
func (g *Guard) Ready() bool { return g.unreadPartitions.Load() == 0 }

// Tick advances the state machine to now. It must be called by the control loop
// only.
func (g *Guard) Tick(now time.Time) { g.control.tick(now) }

// flushTimeout bounds the wait for the last outcomes at Close.
const flushTimeout = 2 * time.Second

// Close waits up to flushTimeout for queued records to be appended, and stops all
// goroutines.
func (g *Guard) Close() {
	deadline, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for _, a := range g.appenders {
		select {
		case <-a.drained():
		case <-deadline.Done():
		}
	}
	g.stop()
	g.workers.Wait()
}

// errClosed reports that the control loop has ended.
var errClosed = errors.New("effects: control loop has ended")

// Decision is what to do with a request.
type Decision struct {
	// Kind is ActionSend, ActionReplay or ActionForward.
	Kind effect.ActionKind
	// Permit is the permit of ActionSend. The caller must end it with Finish.
	Permit effect.Permit
	// Result is the recorded result of ActionReplay.
	Result effect.Result
	// Address is the ticket issuer's peer address of ActionForward.
	Address string
}

// Begin requests a permit to send a request, or the result of an earlier try. It
// waits at most until ctx ends. Errors are *effect.Refusal. Begin sets the ID of
// the try.
func (g *Guard) Begin(ctx context.Context, try effect.Try) (Decision, error) {
	try.ID = effect.TryID(g.nextTry.Add(1))
	reply := make(chan effect.Action, 1)
	if !g.tryPost(beginEvent{try: try, reply: reply}) {
		return Decision{}, overloadedRefusal()
	}
	select {
	case a := <-reply:
		return g.decisionFor(ctx, a)
	case <-g.opts.Loop.Stopped():
		return Decision{}, overloadedRefusal()
	case <-ctx.Done():
	}
	g.post(cancelEvent{id: try.ID})
	select {
	case a := <-reply:
		return g.decisionFor(ctx, a)
	case <-g.opts.Loop.Stopped():
		return Decision{}, overloadedRefusal()
	}
}

// overloadedRefusal returns the refusal of a try that did not reach the state
// machine. The state of its key is unknown.
func overloadedRefusal() *effect.Refusal {
	return &effect.Refusal{Outcome: model.OutcomeUnknown, Code: effect.CodeLogUnavailable, RetryAfter: time.Second}
}

// decisionFor returns the decision for an action of the state machine.
func (g *Guard) decisionFor(ctx context.Context, a effect.Action) (Decision, error) {
	switch a.Kind {
	case effect.ActionRefuse:
		return Decision{}, a.Refusal
	case effect.ActionFetch:
		return g.fetchRecorded(ctx, a)
	default:
		return Decision{Kind: a.Kind, Permit: a.Permit, Result: a.Result, Address: a.Address}, nil
	}
}

// fetchRecorded reads a recorded result from the log.
func (g *Guard) fetchRecorded(ctx context.Context, a effect.Action) (Decision, error) {
	unavailable := &effect.Refusal{Outcome: a.Result.Outcome, Code: effect.CodeAnswerUnavailable, RetryAfter: fetchRetryAfter}
	batch, err := g.opts.Log.Read(ctx, streamName(a.Partition), a.Position.Offset, 1, 0)
	if err != nil || len(batch.Records) == 0 || batch.Records[0].Offset != a.Position.Offset {
		return Decision{}, unavailable
	}
	records, err := effect.DecodeBatch(batch.Records[0].Data)
	if err != nil || a.Position.Index >= len(records) {
		return Decision{}, unavailable
	}
	rec := records[a.Position.Index]
	if rec.Result == nil || rec.Key != a.Key {
		return Decision{}, unavailable
	}
	replay := effect.Replay(a.Try, *records[a.Position.Index].Result)
	if replay.Kind == effect.ActionRefuse {
		return Decision{}, replay.Refusal
	}
	return Decision{Kind: replay.Kind, Result: replay.Result}, nil
}

// fetchRetryAfter is the retry delay for a recorded result that cannot be read.
const fetchRetryAfter = 2 * time.Second

// Finish ends a permit with the result of its request. A result with outcome
// not_run releases the key for another request.
func (g *Guard) Finish(permit effect.Permit, result effect.Result) {
	g.post(finishEvent{permit: permit, result: result})
}

// IssueTicket returns a ticket for a client account, and its expiry time.
func (g *Guard) IssueTicket(ctx context.Context, account model.AccountName) (string, time.Time, error) {
	expires := time.Now().Add(DefaultTicketTTL)
	ev := ticketEvent{account: account, reply: make(chan ticketReply, 1)}
	if !g.tryPost(ev) {
		return "", time.Time{}, overloadedRefusal()
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

// AppendClaims appends entries that another host has forwarded to this one, and
// returns their positions. It handles calls of port.PeerTransport.AppendClaims.
func (g *Guard) AppendClaims(ctx context.Context, entries []port.ClaimEntry) ([]port.ClaimPosition, error) {
	waits := make([]chan appendResult, len(entries))
	for i, entry := range entries {
		if entry.Partition < 0 || entry.Partition >= Partitions {
			return nil, errors.New("effects: claim entry has an invalid partition number")
		}
		waits[i] = make(chan appendResult, 1)
		g.appenders[entry.Partition].add(pendingEntry{data: entry.Data, done: waits[i]})
	}
	positions := make([]port.ClaimPosition, len(entries))
	for i, wait := range waits {
		select {
		case r := <-wait:
			if r.err != nil {
				return nil, r.err
			}
			positions[i] = r.position
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-g.opts.Loop.Stopped():
			return nil, errClosed
		}
	}
	return positions, nil
}
