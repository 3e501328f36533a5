// Package order plans the control commands, called orders, to the engines of a
// failure domain: it compares the desired state of each engine with the state
// that the engine reports, and returns the orders that reconcile them. Orders
// are idempotent, since an order states the target state. The package is a state
// machine without I/O, clock or goroutines.
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

// DesiredState is the configured state of an engine.
type DesiredState struct {
	Endpoint model.EndpointName
	Address  string
	// Models are the models and adapters to load.
	Models []model.ModelName
	// Role is the engine's desired role; empty leaves it unchanged.
	Role string
}

// Report is the state that an engine reports.
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

// orderID identifies an order.
type orderID struct {
	endpoint model.EndpointName
	kind     Kind
	target   string
}

// progress is the progress of an order.
type progress struct {
	// running is set between TakeDue and Done.
	running bool
	// ended is when the last attempt ended.
	ended time.Time
	// reached reports that the engine has reported the target state after the
	// last attempt.
	reached bool
}

// Options configures a Planner.
type Options struct {
	// LoadRetryAfter and RoleRetryAfter are the times within which an engine has
	// to report the target state of an order before the order is sent again. The
	// effect of a stale order that arrives before the target state was reported
	// is corrected after these times.
	LoadRetryAfter time.Duration
	RoleRetryAfter time.Duration
}

// Planner is the state machine of a failure domain's orders. It is not safe for
// concurrent use.
type Planner struct {
	opts     Options
	desired  map[model.EndpointName]DesiredState
	reports  map[model.EndpointName]Report
	progress map[orderID]*progress
}

// New returns a Planner without desired states.
func New(opts Options) *Planner {
	return &Planner{
		opts:     opts,
		desired:  make(map[model.EndpointName]DesiredState),
		reports:  make(map[model.EndpointName]Report),
		progress: make(map[orderID]*progress),
	}
}

// SetDesired replaces the desired states of all engines.
func (p *Planner) SetDesired(desired []DesiredState) {
	clear(p.desired)
	for _, d := range desired {
		p.desired[d.Endpoint] = d
	}
	for name := range p.reports {
		if _, ok := p.desired[name]; !ok {
			delete(p.reports, name)
		}
	}
	for id, state := range p.progress {
		if !state.running && !slices.Contains(orderIDs(p.desired[id.endpoint]), id) {
			delete(p.progress, id)
		}
	}
}

// orderIDs returns the IDs of all orders that a desired state can need.
func orderIDs(d DesiredState) []orderID {
	ids := make([]orderID, 0, len(d.Models)+1)
	for _, name := range d.Models {
		ids = append(ids, orderID{d.Endpoint, LoadModel, string(name)})
	}
	if d.Role != "" {
		ids = append(ids, orderID{d.Endpoint, ChangeRole, d.Role})
	}
	return ids
}

// ObserveReport records an engine's report. Reports that are older than the last
// one are ignored.
func (p *Planner) ObserveReport(name model.EndpointName, report Report) {
	d, ok := p.desired[name]
	if !ok || report.Made.Before(p.reports[name].Made) {
		return
	}
	p.reports[name] = report
	for _, id := range orderIDs(d) {
		state := p.progress[id]
		if state != nil && !state.running && report.Made.After(state.ended) && satisfies(report, id) {
			state.reached = true
		}
	}
}

// satisfies reports whether a report shows the target state of an order.
func satisfies(r Report, id orderID) bool {
	if id.kind == ChangeRole {
		return r.Role == id.target
	}
	return slices.Contains(r.Models, model.ModelName(id.target))
}

// TakeDue returns the orders to send now and marks them as running: at most limit
// orders and one per engine, sorted by the engine's name. Each of them must be
// ended with Done, or with Withdraw if it was not sent.
func (p *Planner) TakeDue(now time.Time, limit int) []Order {
	var due []Order
	for _, name := range p.names() {
		if len(due) == limit {
			break
		}
		d := p.desired[name]
		if id, ok := p.next(now, d); ok {
			p.start(id)
			due = append(due, Order{Endpoint: name, Address: d.Address, Kind: id.kind, Target: id.target})
		}
	}
	return due
}

// names returns the names of the engines that have reported, sorted.
func (p *Planner) names() []model.EndpointName {
	names := make([]model.EndpointName, 0, len(p.reports))
	for name := range p.reports {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[model.EndpointName])
	return names
}

// next returns the engine's next order. It returns false if there is none or if
// an order to the engine is running.
func (p *Planner) next(now time.Time, d DesiredState) (orderID, bool) {
	report := p.reports[d.Endpoint]
	ids := orderIDs(d)
	for _, id := range ids {
		if state := p.progress[id]; state != nil && state.running {
			return orderID{}, false
		}
	}
	for _, id := range ids {
		if !satisfies(report, id) && p.canSend(now, id, report) {
			return id, true
		}
	}
	return orderID{}, false
}

// canSend reports whether to send an order whose target state the report does
// not show. After an attempt the engine has some time to reach the target state.
// An engine that had reached it and no longer reports it has executed a stale
// order, so it is corrected immediately.
func (p *Planner) canSend(now time.Time, id orderID, report Report) bool {
	state := p.progress[id]
	if state == nil {
		return true
	}
	if !report.Made.After(state.ended) {
		return false
	}
	return state.reached || now.Sub(state.ended) >= p.retryAfter(id.kind)
}

func (p *Planner) retryAfter(kind Kind) time.Duration {
	if kind == ChangeRole {
		return p.opts.RoleRetryAfter
	}
	return p.opts.LoadRetryAfter
}

// start marks an order as running.
func (p *Planner) start(id orderID) {
	p.progress[id] = &progress{running: true}
}

// Withdraw ends an order returned by TakeDue that was not sent.
func (p *Planner) Withdraw(o Order) { delete(p.progress, orderID{o.Endpoint, o.Kind, o.Target}) }

// Done ends an attempt of an order, whether it succeeded or failed.
func (p *Planner) Done(now time.Time, o Order) {
	state := p.progress[orderID{o.Endpoint, o.Kind, o.Target}]
	if state == nil {
		return
	}
	state.running = false
	state.ended = now
}
