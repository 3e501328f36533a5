// Package order plans the orders to the engines of a failure domain: it
// compares the wanted state of each engine with what the engine reports, and
// tells which orders bring it there. An order states the wanted end, so that
// giving it twice does no harm. It is a state machine without I/O, clock or
// goroutines.
package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	// LoadModel loads a model or an adapter.
	LoadModel Kind = "load_model"
	// ChangeRole changes the engine's role.
	ChangeRole Kind = "change_role"
)

// Wanted is the state that an engine is to reach.
type Wanted struct {
	Endpoint model.EndpointName
	Address  string
	// Models are to be loaded.
	Models []model.ModelName
	// Role is to be the engine's role; empty leaves it as it is.
	Role string
}

// Report is the state that an engine tells of itself.
type Report struct {
	Models []model.ModelName
	Role   string
	// Made is when the engine made the report, by this host's clock.
	Made time.Time
}

// Order is one order to one engine.
type Order struct {
	Endpoint model.EndpointName
	Address  string
	Kind     Kind
	// Target is the model, adapter or role.
	Target string
}

// id identifies an order.
type id struct {
	endpoint model.EndpointName
	kind     Kind
	target   string
}

// progress is what became of an order.
type progress struct {
	// running is set between Due and Done.
	running bool
	// ended is when the last try ended.
	ended time.Time
	// reached says that a report made after the last try showed the end.
	reached bool
}

// Options configures a Planner.
type Options struct {
	// LoadRetryAfter and RoleRetryAfter are the times that an engine has to
	// show the end of an order before it is given again. A stale order that
	// arrives before the end was seen is corrected after them.
	LoadRetryAfter time.Duration
	RoleRetryAfter time.Duration
}

// Planner is the state machine. It is not safe for concurrent use.
type Planner struct {
	opts     Options
	wanted   map[model.EndpointName]Wanted
	reports  map[model.EndpointName]Report
	progress map[id]*progress
}

// New returns a Planner that wants nothing.
func New(opts Options) *Planner {
	return &Planner{
		opts:     opts,
		wanted:   make(map[model.EndpointName]Wanted),
		reports:  make(map[model.EndpointName]Report),
		progress: make(map[id]*progress),
	}
}

// SetWanted replaces the wanted states.
func (p *Planner) SetWanted(wanted []Wanted) {
	clear(p.wanted)
	for _, w := range wanted {
		p.wanted[w.Endpoint] = w
	}
	for name := range p.reports {
		if _, ok := p.wanted[name]; !ok {
			delete(p.reports, name)
		}
	}
	for key, state := range p.progress {
		if !state.running && !slices.Contains(orderIDs(p.wanted[key.endpoint]), key) {
			delete(p.progress, key)
		}
	}
}

// orderIDs identifies all orders that a wanted state can need.
func orderIDs(w Wanted) []id {
	ids := make([]id, 0, len(w.Models)+1)
	for _, name := range w.Models {
		ids = append(ids, id{w.Endpoint, LoadModel, string(name)})
	}
	if w.Role != "" {
		ids = append(ids, id{w.Endpoint, ChangeRole, w.Role})
	}
	return ids
}

// Report takes an engine's report. Reports that are older than the last one
// are ignored.
func (p *Planner) Report(name model.EndpointName, report Report) {
	w, ok := p.wanted[name]
	if !ok || report.Made.Before(p.reports[name].Made) {
		return
	}
	p.reports[name] = report
	for _, key := range orderIDs(w) {
		state := p.progress[key]
		if state != nil && !state.running && report.Made.After(state.ended) && shows(report, key) {
			state.reached = true
		}
	}
}

// shows reports whether the engine is where the order leads to.
func shows(r Report, key id) bool {
	if key.kind == ChangeRole {
		return r.Role == key.target
	}
	return slices.Contains(r.Models, model.ModelName(key.target))
}

// Due returns the orders to give now, at most one an engine, by the engine's
// name. Each of them ends by Done.
func (p *Planner) Due(now time.Time, limit int) []Order {
	var due []Order
	for _, name := range p.names() {
		if len(due) == limit {
			break
		}
		w := p.wanted[name]
		if key, ok := p.next(now, w); ok {
			p.start(key)
			due = append(due, Order{Endpoint: name, Address: w.Address, Kind: key.kind, Target: key.target})
		}
	}
	return due
}

func (p *Planner) names() []model.EndpointName {
	names := make([]model.EndpointName, 0, len(p.reports))
	for name := range p.reports {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[model.EndpointName])
	return names
}

// next returns the engine's next order, unless one is running.
func (p *Planner) next(now time.Time, w Wanted) (id, bool) {
	report := p.reports[w.Endpoint]
	ids := orderIDs(w)
	for _, key := range ids {
		if state := p.progress[key]; state != nil && state.running {
			return id{}, false
		}
	}
	for _, key := range ids {
		if !shows(report, key) && p.mayTry(now, key, report) {
			return key, true
		}
	}
	return id{}, false
}

// mayTry reports whether to give an order whose end the report does not show.
// After a try the engine has some time to get there. An engine that was there
// and is not any more took a stale order, so it is corrected at once.
func (p *Planner) mayTry(now time.Time, key id, report Report) bool {
	state := p.progress[key]
	if state == nil {
		return true
	}
	if !report.Made.After(state.ended) {
		return false
	}
	return state.reached || now.Sub(state.ended) >= p.retryAfter(key.kind)
}

func (p *Planner) retryAfter(kind Kind) time.Duration {
	if kind == ChangeRole {
		return p.opts.RoleRetryAfter
	}
	return p.opts.LoadRetryAfter
}

func (p *Planner) start(key id) {
	p.progress[key] = &progress{running: true}
}

// Withdraw takes back an order from Due that was not given.
func (p *Planner) Withdraw(o Order) { delete(p.progress, id{o.Endpoint, o.Kind, o.Target}) }

// Done ends a try of an order, whatever came of it.
func (p *Planner) Done(now time.Time, o Order) {
	state := p.progress[id{o.Endpoint, o.Kind, o.Target}]
	if state == nil {
		return
	}
	state.running = false
	state.ended = now
}
