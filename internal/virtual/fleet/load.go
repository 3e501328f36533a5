package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Class describes the requests of a class.
type Class struct {
	Name model.ClassName
	// Rate is the mean number of requests per second, without surges.
	Rate float64
	// Rank orders the classes; 0 is the most urgent. Patience is the time after
	// which callers abandon a request.
	//
	// An answer is in time if its first event arrives within Target and no two
	// consecutive events are more than MaxGap apart.
	Rank     model.Tier
	Target   time.Duration
	Patience time.Duration
	MaxGap   time.Duration
	// Worth is what an answer in time is worth, LateWorth what a later one is.
	Worth     float64
	LateWorth float64
	// Shared is the length in tokens of a shared prefix, Unshared that of the
	// rest of a prompt, and Output that of an answer.
	Shared, Unshared, Output Size
	// SharedParts is the number of different shared prefixes. Their popularity
	// follows a power law: the n-th is requested in proportion to n^-Skew.
	SharedParts int
	Skew        float64
}

// Size is a lognormal distribution of sizes in tokens with the given mean,
// bounded by Max. Sigma is the standard deviation of the logarithm. With a Mean
// of 0 all sizes are 0; otherwise they are at least 1.
type Size struct {
	Mean, Sigma, Max float64
}

func (s Size) draw(rng *rand.Rand) int {
	if s.Mean == 0 {
		return 0
	}
	x := s.Mean * math.Exp(s.Sigma*rng.NormFloat64()-s.Sigma*s.Sigma/2)
	return int(max(math.Round(min(x, s.Max)), 1))
}

// Surge multiplies a class's rate from From until Until.
type Surge struct {
	Class       model.ClassName
	From, Until time.Duration
	Factor      float64
}

// arrival is a request with its sizes. Hosts see the prompt, but not the length
// of the output.
type arrival struct {
	// at is the time since the start of the run.
	at    time.Duration
	class *Class
	host  int
	// account is the number of the client account, if there are any.
	account int
	prompt  model.Prompt
	output  int
	// worth is that of an answer in time. Larger requests are worth more.
	worth float64
}

const (
	// sizeWorthShare is the share of a class's worth that grows in proportion to
	// the size of the prompt. maxWorthFactor bounds the worth of a request
	// relative to that of the class.
	sizeWorthShare = 0.7
	maxWorthFactor = 4
)

// sharedPart is a prompt prefix that many requests have in common.
type sharedPart struct {
	id     model.PartID
	tokens int
}

// arrivals draws the requests of all classes in order of time.
func (o *Options) arrivals() []arrival {
	var all []arrival
	for i := range o.Classes {
		all = append(all, o.classArrivals(i)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return o.withAccounts(all)
}

// classArrivals draws the requests of one class in order of time.
func (o *Options) classArrivals(index int) []arrival {
	class := &o.Classes[index]
	rng := rand.New(rand.NewPCG(o.Seed, uint64(index)))
	parts, sums := class.drawSharedParts(rng, index)
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / (class.Rate * o.surgeFactor(class.Name, at)) * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		out = append(out, o.drawArrival(rng, class, at, parts[pickWeighted(rng, sums)], len(out), index))
	}
}

// surgeFactor returns the factor on a class's rate at a time of the run. If
// surges overlap, their increases are added up.
func (o *Options) surgeFactor(name model.ClassName, at time.Duration) float64 {
	factor := 1.0
	for _, s := range o.Surges {
		if s.Class == name && at >= s.From && at < s.Until {
			factor += s.Factor - 1
		}
	}
	return factor
}

// drawArrival draws the host, the sizes and the worth of one request. number is
// its number within the class, and index that of the class.
func (o *Options) drawArrival(rng *rand.Rand, class *Class, at time.Duration, shared sharedPart, number, index int) arrival {
	unshared := class.Unshared.draw(rng)
	output := class.Output.draw(rng)
	size := float64(shared.tokens+unshared) / (class.Shared.Mean + class.Unshared.Mean)
	a := arrival{
		at: at, class: class, host: rng.IntN(o.Hosts), output: output,
		worth: class.Worth * min(1-sizeWorthShare+sizeWorthShare*size, maxWorthFactor),
	}
	unsharedID := model.PartID(1)<<62 | model.PartID(index)<<48 | model.PartID(number)
	a.prompt = model.Prompt{
		Model: "m", InputTokens: shared.tokens + unshared, MaxOutputTokens: 2 * output,
		Parts: []model.Part{{ID: shared.id, Tokens: shared.tokens}, {ID: unsharedID, Tokens: unshared}},
	}
	return a
}

// drawSharedParts draws the shared prefixes of a class. It also returns the
// cumulative sums of their weights.
func (c *Class) drawSharedParts(rng *rand.Rand, index int) ([]sharedPart, []float64) {
	var out []sharedPart
	var sums []float64
	sum := 0.0
	for n := range max(c.SharedParts, 1) {
		id := model.PartID(rng.Uint64()>>16 | 1)
		out = append(out, sharedPart{id: id ^ model.PartID(index)<<56, tokens: c.Shared.draw(rng)})
		sum += math.Pow(float64(n+1), -c.Skew)
		sums = append(sums, sum)
	}
	return out, sums
}

// pickWeighted draws an index in proportion to the weights, of which sums are
// the cumulative sums.
func pickWeighted(rng *rand.Rand, sums []float64) int {
	at, _ := slices.BinarySearch(sums, rng.Float64()*sums[len(sums)-1])
	return min(at, len(sums)-1)
}
