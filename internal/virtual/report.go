package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

// Options describes a comparison.
type Options struct {
	// Seed starts arrivals, sizes and endpoints.
	Seed uint64
	// Overload is the offered load against the capacity.
	Overload float64
	// DigestDelay is the age of the hosts' digests of each other.
	DigestDelay time.Duration
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Sharing is how hosts share endpoints.
	Sharing placement.Sharing
	// CutOff cuts one host of each domain off from its peers.
	CutOff bool
}

// Report is the outcome of a comparison.
type Report struct {
	Policies map[string]PolicyReport `json:"policies"`
}

// PolicyReport is the outcome of one policy.
type PolicyReport struct {
	Classes map[model.ClassName]ClassReport `json:"classes"`
	// Goodput is the tokens a second of whole answers in time.
	Goodput float64 `json:"goodput_tokens_s"`
	// Wasted is the part of all generated tokens that was not delivered in a
	// whole answer in time.
	Wasted float64 `json:"wasted_ratio"`
	// Sharing tells what went wrong between the hosts.
	Sharing SharingReport `json:"-"`
}

// ClassReport is the outcome of one class.
type ClassReport struct {
	Tier       model.Tier `json:"tier"`
	Idempotent bool       `json:"idempotent"`
	Offered    int        `json:"offered"`
	// Attained is the part of the offered requests that met their target.
	Attained  float64 `json:"attained"`
	Shed      int     `json:"shed"`
	Preempted int     `json:"preempted"`
	// LongestWait is in seconds, over requests that an endpoint took up or
	// that were refused after they had waited.
	LongestWait float64 `json:"longest_wait_s"`
	// Allowed is the part of the offered requests that the capacity left by
	// higher tiers would have served.
	Allowed float64 `json:"-"`
}

// SharingReport tells what went wrong between hosts before shared endpoints.
type SharingReport struct {
	// Overshoot is the part of the grants to engines that found no free slot.
	Overshoot float64
	// Inversions is the part of all grants that were given while a higher tier
	// waited at another host of the domain.
	Inversions float64
}

// Compare runs all policies on the same arrivals.
func Compare(opts Options) Report {
	return Report{Policies: map[string]PolicyReport{
		"wigeonsail": Run(opts),
		"fifo_round_robin": collect(opts, func(c *cluster) {
			c.addBaselines(roundRobin)
		}),
		"fifo_least_in_flight": collect(opts, func(c *cluster) {
			c.addBaselines(leastInFlight)
		}),
	}}
}

// Run runs the project's policy alone.
func Run(opts Options) PolicyReport {
	return collect(opts, func(c *cluster) { c.addPeers(opts.Sharing) })
}

func (c *cluster) addBaselines(choose func(*baseline, []*engine) *engine) {
	for i := range c.load.domains * c.load.hostsPerDomain {
		c.hosts = append(c.hosts, &host{
			cluster: c, index: i, domain: i / c.load.hostsPerDomain,
			policy: newBaseline(c.engines, choose),
		})
	}
}

// collect plays both users' workloads and sums them up.
func collect(opts Options, addHosts func(*cluster)) PolicyReport {
	out := PolicyReport{Classes: map[model.ClassName]ClassReport{}}
	var sum tally
	for _, w := range []workload{office(), brittany()} {
		c := newCluster(opts, &w)
		addHosts(c)
		c.play()
		c.countClasses(out.Classes)
		sum.add(c)
	}
	out.Goodput = sum.delivered / opts.Duration.Seconds()
	out.Wasted = ratio(sum.generated-sum.kept, sum.generated)
	out.Sharing = SharingReport{
		Overshoot:  ratio(float64(sum.overshoot), float64(sum.engineGrants)),
		Inversions: ratio(float64(sum.inversions), float64(sum.grants)),
	}
	return out
}

// tally sums up clusters.
type tally struct {
	// delivered counts tokens of whole answers during the arrivals, kept also
	// those after them.
	delivered    float64
	kept         float64
	generated    float64
	grants       int
	engineGrants int
	overshoot    int
	inversions   int
}

func (t *tally) add(c *cluster) {
	end := time.Unix(0, 0).Add(c.opts.Duration)
	for _, j := range c.jobs {
		if j.class.pool != enginePool {
			continue
		}
		t.generated += j.generated
		if !j.delivered() {
			continue
		}
		t.kept += j.answer
		if j.doneAt.Before(end) {
			t.delivered += j.answer
		}
	}
	t.grants += c.stats.grants
	t.engineGrants += c.stats.engineGrants
	t.overshoot += c.stats.overshoot
	t.inversions += c.stats.inversions
}

func (c *cluster) countClasses(out map[model.ClassName]ClassReport) {
	for i := range c.load.classes {
		l := &c.load.classes[i]
		r := ClassReport{Tier: l.Tier, Idempotent: l.Idempotent, Allowed: c.allowed(i)}
		attained := 0
		for _, j := range c.jobs {
			if j.class != l {
				continue
			}
			r.Offered++
			r.Preempted += j.preempted
			r.LongestWait = max(r.LongestWait, j.longestWait.Seconds())
			if j.attained() {
				attained++
			}
			if j.shed {
				r.Shed++
			}
		}
		r.Attained = ratio(float64(attained), float64(r.Offered))
		out[l.Name] = r
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
