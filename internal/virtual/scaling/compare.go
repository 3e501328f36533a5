package scaling

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
)

// Report is the result of a policy.
type Report struct {
	// InTime is the share of the work that was read in time.
	InTime float64
	// Price is that of the endpoints, Relative that as a share of the price of a fixed fleet.
	Price, Relative float64
	// Orders is the number of orders, Unavailable the number of refused ones.
	Orders, Unavailable int
	// Least and Most are the numbers of serving endpoints while there were requests.
	Least, Most int
}

// Policies in the report of Compare.
const (
	PolicyPlanner   = "planner"
	PolicyFixed     = "fixed"
	PolicyOracle    = "oracle"
	PolicyThreshold = "running_requests"
)

// Compare plays the load with each policy.
func Compare(opts Options) map[string]Report {
	out := map[string]Report{
		PolicyPlanner:   play(opts, &planned{planner: capacity.NewPlanner()}),
		PolicyFixed:     play(opts, fixed{}),
		PolicyOracle:    play(opts, &oracle{opts: opts}),
		PolicyThreshold: play(opts, &threshold{opts: opts}),
	}
	full := out[PolicyFixed].Price
	for name, r := range out {
		r.Relative = r.Price / full
		out[name] = r
	}
	return out
}

// policy decides what is ordered.
type policy interface {
	orders(at time.Duration, v capacity.PoolView) []capacity.Order
	record(at time.Duration, o capacity.Order, accepted bool)
}

// targetWait is the time that prompts may wait to be read in time.
const targetWait = 400 * time.Millisecond

// play plays the load with a policy.
func play(opts Options, by policy) Report {
	p := newPool(opts)
	var out Report
	out.Least = math.MaxInt
	offered, inTime, backlog := 0.0, 0.0, 0.0
	for at := time.Duration(0); at < opts.Duration; at += step {
		out.Price += p.advance(at)
		listed, serving := p.listed(at)
		rate := opts.rate(at)
		room := float64(serving) * opts.TokensPerSecond
		if rate > 0 {
			out.Least, out.Most = min(out.Least, serving), max(out.Most, serving)
		}
		work := rate * step.Seconds()
		offered += work
		wait := math.Inf(1)
		if room > 0 {
			wait = backlog / room
		}
		if wait <= targetWait.Seconds() {
			inTime += work
			backlog += work
		}
		backlog = max(backlog-room*step.Seconds(), 0)
		running := rate / opts.TokensPerRequest * (opts.InFlight.Seconds() + min(wait, 1))
		v := capacity.PoolView{
			Pool: PoolName, Engine: &opts.Engine, Slots: opts.Engine.Slots, Scaling: opts.Scaling, Domains: opts.Domains, Endpoints: listed,
			Demand:  capacity.Demand{Pool: PoolName, Requests: rate / opts.TokensPerRequest, PromptTokens: rate},
			Load:    capacity.Load{Running: int(running), Urgent: int(running / 4), PendingPrefill: int(backlog)},
			Current: true,
		}
		for _, o := range by.orders(at, v) {
			accepted := p.order(at, o)
			out.Orders++
			if !accepted {
				out.Unavailable++
			}
			by.record(at, o, accepted)
		}
	}
	out.InTime = inTime / max(offered, 1)
	return out
}

// rate returns the prompt tokens per second that callers request.
func (o *Options) rate(at time.Duration) float64 {
	if at < o.Lead {
		return 0
	}
	rate := o.PromptTokens
	if o.SwingPeriod > 0 {
		rate *= 1 + o.Swing*math.Sin(2*math.Pi*(at-o.Lead).Seconds()/o.SwingPeriod.Seconds())
	}
	for _, b := range o.Bursts {
		if at >= b.At && at < b.At+b.For {
			rate *= b.Factor
		}
	}
	return rate
}

// planned is the policy of the gateway.
type planned struct{ planner *capacity.Planner }

// epoch is the time of the simulated clock at its start.
var epoch = time.Unix(0, 0)

func (p *planned) orders(at time.Duration, v capacity.PoolView) []capacity.Order {
	now := epoch.Add(at)
	p.planner.Observe(now, v)
	if !p.planner.HasTakenOver() {
		p.planner.TakeOver(now)
	}
	var out []capacity.Order
	for _, d := range p.planner.Plan(now, v) {
		out = append(out, d.Order)
	}
	return out
}

func (p *planned) record(at time.Duration, o capacity.Order, accepted bool) {
	outcome := capacity.OutcomeAccepted
	if !accepted {
		outcome = capacity.OutcomeUnavailable
	}
	p.planner.Record(epoch.Add(at), o, outcome)
}

// fixed orders nothing.
type fixed struct{}

func (fixed) orders(time.Duration, capacity.PoolView) []capacity.Order { return nil }
func (fixed) record(time.Duration, capacity.Order, bool)               {}

// oracle knows the load: it orders, the boot time ahead, reclaimable endpoints for the highest
// rate and replaces all others.
type oracle struct {
	opts  Options
	given map[capacity.Group]int
}

// oracleShare is the share of the time in which the oracle lets endpoints read.
const oracleShare = 0.9

func (p *oracle) orders(at time.Duration, v capacity.PoolView) []capacity.Order {
	highest := 0.0
	for ahead := time.Duration(0); ahead <= p.opts.Scaling.BootTime+step; ahead += step {
		highest = max(highest, p.opts.rate(at+ahead))
	}
	each := int(math.Ceil(highest / p.opts.TokensPerSecond / oracleShare / float64(len(p.opts.Domains)-1)))
	return p.order(v, max(each, 1))
}

// order orders reclaimable endpoints, and gives up the others when they serve.
func (p *oracle) order(v capacity.PoolView, each int) []capacity.Order {
	if p.given == nil {
		p.given = make(map[capacity.Group]int)
	}
	var out []capacity.Order
	for _, domain := range v.Domains {
		cheap := capacity.Group{Pool: v.Pool, Domain: domain, Reclaimable: true}
		steady := capacity.Group{Pool: v.Pool, Domain: domain}
		serving := v.Endpoints[cheap].Serving
		if p.given[cheap] != each || serving < each && v.Endpoints[cheap].Leaving > 0 {
			out = append(out, capacity.Order{Pool: v.Pool, Domain: domain, Reclaimable: true, Count: each})
		}
		if serving >= each && v.Endpoints[steady].Serving > 0 {
			out = append(out, capacity.Order{Pool: v.Pool, Domain: domain})
		}
	}
	return out
}

func (p *oracle) record(_ time.Duration, o capacity.Order, accepted bool) {
	count := o.Count
	if !accepted {
		count = -1
	}
	p.given[capacity.Group{Pool: o.Pool, Domain: o.Domain, Reclaimable: o.Reclaimable}] = count
}

// threshold orders by the number of running requests alone, endpoints that are not
// reclaimable.
type threshold struct {
	opts  Options
	given int
}

// thresholdShare is the share of the slots at which the threshold orders more.
const thresholdShare = 0.7

func (p *threshold) orders(at time.Duration, v capacity.PoolView) []capacity.Order {
	each := int(math.Ceil(float64(v.Load.Running) / thresholdShare / float64(p.opts.Engine.Slots*len(v.Domains))))
	if each == p.given || at < p.opts.Lead {
		return nil
	}
	p.given = each
	var out []capacity.Order
	for _, domain := range v.Domains {
		out = append(out, capacity.Order{Pool: v.Pool, Domain: domain, Count: max(each, 1)})
	}
	return out
}

func (p *threshold) record(time.Duration, capacity.Order, bool) {}
