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
	// burstFactor is the load of a burst against the mean load.
	burstFactor = 2.5
	// burstMean and calmMean are the mean lengths of bursts and of the time
	// between them.
	burstMean = 5 * time.Second
	calmMean  = 20 * time.Second
	// accountCount is the number of client accounts; the first ones are large.
	accountCount = 10
	// prefixCount is the number of prompt prefixes that requests share.
	prefixCount = 200
)

// workload is one user's sizes and mix of classes.
type workload struct {
	name string
	// stream tells the users' random numbers apart.
	stream         uint64
	domains        int
	hostsPerDomain int
	betweenDomains time.Duration
	fromClient     time.Duration
	engines        int
	services       int
	classes        []classLoad
}

// classLoad is a class with its part of its pool's capacity at overload 1.
type classLoad struct {
	opconfig.Class
	pool  model.PoolName
	share float64
	// prompt and answer are distributions of sizes in tokens.
	prompt size
	answer size
}

// size is a lognormal distribution with a cap.
type size struct {
	median float64
	sigma  float64
	cap    float64
}

func (s size) draw(rng *rand.Rand) float64 {
	return math.Ceil(min(s.median*math.Exp(s.sigma*rng.NormFloat64()), s.cap))
}

// mean returns the expected value, by sampling with a fixed seed.
func (s size) mean() float64 {
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
		name: "office", stream: 100, domains: 4, hostsPerDomain: 2,
		betweenDomains: time.Millisecond, fromClient: 3 * time.Millisecond,
		engines: 20, services: 4,
		classes: mix("office", names{"confirmation", "readback", "assignment", "question", "roster_draft"}),
	}
}

func brittany() workload {
	return workload{
		name: "brittany", stream: 200, domains: 4, hostsPerDomain: 2,
		betweenDomains: 500 * time.Microsecond, fromClient: time.Millisecond,
		engines: 12, services: 4,
		classes: mix("brittany", names{"feed_order", "order_readback", "mill_schedule", "question", "ration_draft"}),
	}
}

// names are the names of a user's classes, by their kind.
type names struct{ effect, readback, lookup, question, draft string }

// mix returns a user's classes. Both users have the same kinds.
func mix(user string, n names) []classLoad {
	name := func(s string) model.ClassName { return model.ClassName(user + "_" + s) }
	second := opconfig.Duration(time.Second)
	serviceWork := size{median: 4, sigma: 0.3, cap: 15}
	one := size{median: 1, cap: 1}
	return []classLoad{
		{
			Class: opconfig.Class{Name: name(n.effect), Tier: 0, Protected: true, Headroom: 0.25,
				FirstToken: second, Deadline: 10 * second, RetryBudget: 0.1},
			pool: servicePool, share: 0.07, prompt: serviceWork, answer: one,
		},
		{
			Class: opconfig.Class{Name: name(n.readback), Tier: 0, Protected: true, Idempotent: true, Headroom: 0.05,
				FirstToken: 1900 * second / 1000, Deadline: 30 * second, RetryBudget: 0.1},
			pool: enginePool, share: 0.05, prompt: size{median: 200, sigma: 0.4, cap: 800}, answer: size{median: 60, sigma: 0.5, cap: 300},
		},
		{
			Class: opconfig.Class{Name: name(n.lookup), Tier: 1, Idempotent: true,
				FirstToken: second, Deadline: 10 * second, RetryBudget: 0.1},
			pool: servicePool, share: 0.93, prompt: serviceWork, answer: one,
		},
		{
			Class: opconfig.Class{Name: name(n.question), Tier: 1, Idempotent: true,
				FirstToken: 1900 * second / 1000, Deadline: 30 * second, RetryBudget: 0.1, Preemptible: true, MaxQueued: 500},
			pool: enginePool, share: 0.25, prompt: size{median: 300, sigma: 0.5, cap: 1500}, answer: size{median: 90, sigma: 0.8, cap: 500},
		},
		{
			Class: opconfig.Class{Name: name(n.draft), Tier: 2, Idempotent: true, Preemptible: true, Floor: 0.05,
				FirstToken: 60 * second, Deadline: 240 * second, RetryBudget: 0.1, MaxQueued: 200},
			pool: enginePool, share: 0.70, prompt: size{median: 1500, sigma: 0.5, cap: 6000}, answer: size{median: 500, sigma: 1, cap: 2000},
		},
	}
}

// arrival is one request with the sizes that no policy sees.
type arrival struct {
	at      time.Duration
	class   *classLoad
	account model.AccountName
	prefix  uint64
	// host is the entry host that the balancer chose.
	host int
	// prefill is the work before the first token, answer the tokens after.
	prefill float64
	answer  float64
}

// accounts returns the client accounts; the first three are large.
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

// spell is a time of calm or of a burst.
type spell struct {
	from, until time.Duration
	factor      float64
}

// spells draws calm and bursts for a run, scaled so that the mean factor is 1.
func spells(rng *rand.Rand, length time.Duration) []spell {
	var out []spell
	sum := 0.0
	bursting := rng.Float64() < burstPart()
	for at := time.Duration(0); at < length; bursting = !bursting {
		mean, factor := calmMean, 1.0
		if bursting {
			mean, factor = burstMean, burstFactor/calmFactor()
		}
		until := min(at+seconds(rng.ExpFloat64()*mean.Seconds()), length)
		out = append(out, spell{from: at, until: until, factor: factor})
		sum += factor * (until - at).Seconds()
		at = until
	}
	for i := range out {
		out[i].factor *= length.Seconds() / sum
	}
	return out
}

func burstPart() float64 {
	return burstMean.Seconds() / (burstMean + calmMean).Seconds()
}

// calmFactor is the load between bursts against the mean load.
func calmFactor() float64 {
	return (1 - burstFactor*burstPart()) / (1 - burstPart())
}

// draw returns the arrivals of a class in the order of time.
func (c *classLoad) draw(rng *rand.Rand, w *workload, rate float64, length time.Duration) []arrival {
	list := accounts()
	shares := 0
	for _, a := range list {
		shares += a.Share
	}
	var out []arrival
	for _, s := range spells(rng, length) {
		at := s.from
		for {
			at += seconds(rng.ExpFloat64() / (rate * s.factor))
			if at >= s.until {
				break
			}
			out = append(out, c.one(rng, w, at, pickAccount(rng, list, shares)))
		}
	}
	return out
}

func (c *classLoad) one(rng *rand.Rand, w *workload, at time.Duration, account model.AccountName) arrival {
	a := arrival{at: at, class: c, account: account, host: rng.IntN(w.domains * w.hostsPerDomain)}
	a.prefill = c.prefillOf(c.prompt.draw(rng))
	a.answer = c.answer.draw(rng)
	if c.pool == enginePool {
		a.prefix = 1 + rng.Uint64N(prefixCount)
	}
	return a
}

// prefillOf returns the work of a prompt in units of one generated token.
func (c *classLoad) prefillOf(prompt float64) float64 {
	if c.pool == servicePool {
		return prompt
	}
	return prompt * prefillCost
}

// meanWork returns the expected work of a request.
func (c *classLoad) meanWork() float64 {
	return c.prefillOf(c.prompt.mean()) + c.answer.mean()
}

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
