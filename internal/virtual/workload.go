package virtual

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

const (
	enginePool  model.PoolName = "engines"
	servicePool model.PoolName = "services"
	// burstFactor is the ratio of the load during a burst to the mean load.
	burstFactor = 2.5
	// burstMean and calmMean are the mean lengths of bursts and of the time
	// between them.
	burstMean = 5 * time.Second
	calmMean  = 20 * time.Second
	// accountCount is the number of client accounts.
	accountCount = 10
	// prefixCount is the number of prompt prefixes that requests share.
	prefixCount = 200
)

// workload describes one user's system and its mix of request classes.
type workload struct {
	name string
	// rngStream selects the random streams, so that the users' differ.
	rngStream      uint64
	domains        int
	hostsPerDomain int
	// crossDomainLatency and clientLatency are the one-way latencies between
	// failure domains and from a client to its entry host.
	crossDomainLatency time.Duration
	clientLatency      time.Duration
	engines            int
	services           int
	classes            []classLoad
}

// classLoad is a class with the load that it offers. At overload 1, share is
// the fraction of the pool's capacity that the class uses.
type classLoad struct {
	opconfig.Class
	pool  model.PoolName
	share float64
	// prompt and answer are the distributions of sizes in tokens. For services
	// prompt is the work of a request, and an answer counts as one token.
	prompt lognormal
	answer lognormal
}

// lognormal is a lognormal distribution with an upper bound.
type lognormal struct {
	median float64
	sigma  float64
	cap    float64
}

// draw draws a size, rounded up to whole tokens.
func (s lognormal) draw(rng *rand.Rand) float64 {
	return math.Ceil(min(s.median*math.Exp(s.sigma*rng.NormFloat64()), s.cap))
}

// mean estimates the expected value by sampling with a fixed seed.
func (s lognormal) mean() float64 {
	const samples = 20000
	rng := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range samples {
		sum += s.draw(rng)
	}
	return sum / samples
}

func office() workload {
	return workload{
		name: "office", rngStream: 100, domains: 4, hostsPerDomain: 2,
		crossDomainLatency: time.Millisecond, clientLatency: 3 * time.Millisecond,
		engines: 20, services: 4,
		classes: classMix("office", classNames{"confirmation", "readback", "assignment", "question", "roster_draft"}),
	}
}

func brittany() workload {
	return workload{
		name: "brittany", rngStream: 200, domains: 4, hostsPerDomain: 2,
		crossDomainLatency: 500 * time.Microsecond, clientLatency: time.Millisecond,
		engines: 12, services: 4,
		classes: classMix("brittany", classNames{"feed_order", "order_readback", "mill_schedule", "question", "ration_draft"}),
	}
}

// classNames are the names of a user's classes, by kind.
type classNames struct{ effect, readback, lookup, question, draft string }

// classMix returns a user's classes. Both users have the same kinds of classes.
func classMix(user string, n classNames) []classLoad {
	name := func(s string) model.ClassName { return model.ClassName(user + "_" + s) }
	second := opconfig.Duration(time.Second)
	serviceWork := lognormal{median: 4, sigma: 0.3, cap: 15}
	one := lognormal{median: 1, cap: 1}
	return []classLoad{
		{
			Class: opconfig.Class{Name: name(n.effect), Tier: 0, Protected: true, Headroom: 0.25,
				FirstToken: second, Deadline: 10 * second, RetryBudget: 0.1},
			pool: servicePool, share: 0.07, prompt: serviceWork, answer: one,
		},
		{
			Class: opconfig.Class{Name: name(n.readback), Tier: 0, Protected: true, Idempotent: true, Headroom: 0.05,
				FirstToken: 1900 * second / 1000, Deadline: 30 * second, RetryBudget: 0.1},
			pool: enginePool, share: 0.05, prompt: lognormal{median: 200, sigma: 0.4, cap: 800}, answer: lognormal{median: 60, sigma: 0.5, cap: 300},
		},
		{
			Class: opconfig.Class{Name: name(n.lookup), Tier: 1, Idempotent: true,
				FirstToken: second, Deadline: 10 * second, RetryBudget: 0.1},
			pool: servicePool, share: 0.93, prompt: serviceWork, answer: one,
		},
		{
			Class: opconfig.Class{Name: name(n.question), Tier: 1, Idempotent: true,
				FirstToken: 1900 * second / 1000, Deadline: 30 * second, RetryBudget: 0.1, Preemptible: true, MaxQueued: 500},
			pool: enginePool, share: 0.25, prompt: lognormal{median: 300, sigma: 0.5, cap: 1500}, answer: lognormal{median: 90, sigma: 0.8, cap: 500},
		},
		{
			Class: opconfig.Class{Name: name(n.draft), Tier: 2, Idempotent: true, Preemptible: true, Floor: 0.05,
				FirstToken: 60 * second, Deadline: 240 * second, RetryBudget: 0.1, MaxQueued: 200},
			pool: enginePool, share: 0.70, prompt: lognormal{median: 1500, sigma: 0.5, cap: 6000}, answer: lognormal{median: 500, sigma: 1, cap: 2000},
		},
	}
}

// arrival is one request with its sizes, which the policies do not see.
type arrival struct {
	// at is the time since the start of the run.
	at      time.Duration
	class   *classLoad
	account model.AccountName
	prefix  uint64
	// host is the index of the entry host that the request is sent to.
	host int
	// prefill is the work before the first token, answer the number of tokens.
	prefill float64
	answer  float64
}

// accounts returns the client accounts. The first three have a share four times
// that of the others.
func accounts() []opconfig.Account {
	var out []opconfig.Account
	for i := range accountCount {
		share := 1
		if i < 3 {
			share = 4
		}
		name := model.AccountName("account-" + string(rune('a'+i)))
		out = append(out, opconfig.Account{Name: name, Share: share})
	}
	return out
}

// phase is a burst or the time between two bursts. factor is its load relative
// to the mean load.
type phase struct {
	from, until time.Duration
	factor      float64
}

// drawPhases draws alternating phases for a run, scaled so that the mean factor
// over the run is 1.
func drawPhases(rng *rand.Rand, length time.Duration) []phase {
	var out []phase
	sum := 0.0
	bursting := rng.Float64() < burstShare()
	for at := time.Duration(0); at < length; bursting = !bursting {
		mean, factor := calmMean, 1.0
		if bursting {
			mean, factor = burstMean, burstFactor/calmFactor()
		}
		until := min(at+seconds(rng.ExpFloat64()*mean.Seconds()), length)
		out = append(out, phase{from: at, until: until, factor: factor})
		sum += factor * (until - at).Seconds()
		at = until
	}
	for i := range out {
		out[i].factor *= length.Seconds() / sum
	}
	return out
}

// burstShare returns the expected share of the time that is spent in bursts.
func burstShare() float64 {
	return burstMean.Seconds() / (burstMean + calmMean).Seconds()
}

// calmFactor returns the ratio of the load between bursts to the mean load.
func calmFactor() float64 {
	return (1 - burstFactor*burstShare()) / (1 - burstShare())
}

// drawArrivals draws the arrivals of a class in order of time. rate is the mean
// number of requests per second.
func (c *classLoad) drawArrivals(rng *rand.Rand, w *workload, rate float64, length time.Duration) []arrival {
	list := accounts()
	shares := 0
	for _, a := range list {
		shares += a.Share
	}
	var out []arrival
	for _, s := range drawPhases(rng, length) {
		at := s.from
		for {
			at += seconds(rng.ExpFloat64() / (rate * s.factor))
			if at >= s.until {
				break
			}
			out = append(out, c.drawArrival(rng, w, at, pickAccount(rng, list, shares)))
		}
	}
	return out
}

// drawArrival draws the host, the sizes and the prefix of one request.
func (c *classLoad) drawArrival(rng *rand.Rand, w *workload, at time.Duration, account model.AccountName) arrival {
	a := arrival{at: at, class: c, account: account, host: rng.IntN(w.domains * w.hostsPerDomain)}
	a.prefill = c.prefillWork(c.prompt.draw(rng))
	a.answer = c.answer.draw(rng)
	if c.pool == enginePool {
		a.prefix = 1 + rng.Uint64N(prefixCount)
	}
	return a
}

// prefillWork returns the work for a prompt in units of one generated token.
func (c *classLoad) prefillWork(prompt float64) float64 {
	if c.pool == servicePool {
		return prompt
	}
	return prompt * prefillCost
}

// meanWork returns the expected work of a request in units of one generated
// token.
func (c *classLoad) meanWork() float64 {
	return c.prefillWork(c.prompt.mean()) + c.answer.mean()
}

// pickAccount draws an account in proportion to the shares, of which shares is
// the sum.
func pickAccount(rng *rand.Rand, list []opconfig.Account, shares int) model.AccountName {
	n := rng.IntN(shares)
	for _, a := range list {
		if n < a.Share {
			return a.Name
		}
		n -= a.Share
	}
	return list[0].Name
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
