package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

// Options configures a simulation.
type Options struct {
	// Seed seeds the arrivals, the request sizes, and the numbers of slots and
	// the speeds of the endpoints.
	Seed uint64
	// Overload is the ratio of the offered load to the capacity.
	Overload float64
	// DigestDelay is the time that a load digest takes to reach a peer.
	DigestDelay time.Duration
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Sharing selects how the hosts of a failure domain share endpoints.
	Sharing placement.Sharing
	// IsolateHosts stops the exchange of digests between one host of each
	// failure domain and its peers, in the later part of the run.
	IsolateHosts bool
}

// Report is the outcome of a comparison, by the name of the policy.
type Report struct {
	Policies map[string]PolicyReport `json:"policies"`
}

// PolicyReport is the outcome of one policy.
type PolicyReport struct {
	Classes map[model.ClassName]ClassReport `json:"classes"`
	// Goodput is the number of tokens per second in whole answers that were
	// delivered by their deadlines, while requests arrived.
	Goodput float64 `json:"goodput_tokens_s"`
	// Wasted is the share of all generated tokens that were not part of a whole
	// answer delivered by its deadline.
	Wasted float64 `json:"wasted_ratio"`
	// Sharing describes the grants that were wrong because of outdated digests.
	Sharing SharingReport `json:"-"`
}

// ClassReport is the outcome of one class.
type ClassReport struct {
	Tier       model.Tier `json:"tier"`
	Idempotent bool       `json:"idempotent"`
	Offered    int        `json:"offered"`
	// Attained is the share of the offered requests that met their latency
	// target.
	Attained  float64 `json:"attained"`
	Shed      int     `json:"shed"`
	Preempted int     `json:"preempted"`
	// LongestWait is the longest wait in seconds. It includes the waits that
	// ended with a refusal or at the deadline.
	LongestWait float64 `json:"longest_wait_s"`
	// ServableShare is the share of the offered work that the capacity left
	// over by higher tiers could have served: an upper bound for any policy.
	ServableShare float64 `json:"-"`
}

// SharingReport describes grants that hosts sharing endpoints gave wrongly
// because they did not have the current state of each other.
type SharingReport struct {
	// Overshoot is the share of the grants to engines that found no free slot.
	Overshoot float64
	// Inversions is the share of all grants that were given while a higher tier
	// waited at another host of the failure domain.
	Inversions float64
}

// Compare simulates the project's policy and the baselines on the same
// arrivals.
func Compare(opts Options) Report {
	return Report{Policies: map[string]PolicyReport{
		"wigeonsail": Run(opts),
		"fifo_round_robin": runWorkloads(opts, func(c *cluster) {
			c.addBaselines(roundRobin)
		}),
		"fifo_least_in_flight": runWorkloads(opts, func(c *cluster) {
			c.addBaselines(leastInFlight)
		}),
	}}
}

// Run simulates the project's policy only.
func Run(opts Options) PolicyReport {
	return runWorkloads(opts, func(c *cluster) { c.addPeers(opts.Sharing) })
}

// addBaselines adds hosts that run a baseline policy.
func (c *cluster) addBaselines(choose func(*baseline, []*engine) *engine) {
	for i := range c.params.domains * c.params.hostsPerDomain {
		c.hosts = append(c.hosts, &host{
			cluster: c, index: i, domain: i / c.params.hostsPerDomain,
			policy: newBaseline(c.engines, choose),
		})
	}
}

// runWorkloads simulates the workloads of both users with the hosts that
// addHosts adds, and combines their results.
func runWorkloads(opts Options, addHosts func(*cluster)) PolicyReport {
	out := PolicyReport{Classes: map[model.ClassName]ClassReport{}}
	var sum totals
	for _, w := range []workload{office(), brittany()} {
		c := newCluster(opts, &w)
		addHosts(c)
		c.run()
		c.addClassReports(out.Classes)
		sum.add(c)
	}
	out.Goodput = sum.deliveredWhileArriving / opts.Duration.Seconds()
	out.Wasted = ratio(sum.generated-sum.deliveredTotal, sum.generated)
	out.Sharing = SharingReport{
		Overshoot:  ratio(float64(sum.overshoot), float64(sum.engineGrants)),
		Inversions: ratio(float64(sum.inversions), float64(sum.grants)),
	}
	return out
}

// totals accumulates the counts of several clusters.
type totals struct {
	// deliveredWhileArriving counts the tokens of answers that were delivered
	// while requests arrived, deliveredTotal those of all delivered answers.
	deliveredWhileArriving float64
	deliveredTotal         float64
	generated              float64
	grants                 int
	engineGrants           int
	overshoot              int
	inversions             int
}

// add adds the results of a cluster that has run.
func (t *totals) add(c *cluster) {
	end := time.Unix(0, 0).Add(c.opts.Duration)
	for _, j := range c.jobs {
		if j.class.pool != enginePool {
			continue
		}
		t.generated += j.generated
		if !j.isDelivered() {
			continue
		}
		t.deliveredTotal += j.answer
		if j.doneAt.Before(end) {
			t.deliveredWhileArriving += j.answer
		}
	}
	t.grants += c.stats.grants
	t.engineGrants += c.stats.engineGrants
	t.overshoot += c.stats.overshoot
	t.inversions += c.stats.inversions
}

// addClassReports adds the reports of the cluster's classes to out.
func (c *cluster) addClassReports(out map[model.ClassName]ClassReport) {
	for i := range c.params.classes {
		l := &c.params.classes[i]
		r := ClassReport{Tier: l.Tier, Idempotent: l.Idempotent, ServableShare: c.servableShare(i)}
		attained := 0
		for _, j := range c.jobs {
			if j.class != l {
				continue
			}
			r.Offered++
			r.Preempted += j.preempted
			r.LongestWait = max(r.LongestWait, j.longestWait.Seconds())
			if j.meetsTarget() {
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

// ratio returns a / b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
