package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Class is a kind of request.
type Class struct {
	Name model.ClassName
	// Rate is the number of requests a second.
	Rate float64
	// Rank orders the classes; 0 is the most urgent. Target is the time to the
	// first event, Patience after which callers leave.
	Rank     model.Tier
	Target   time.Duration
	Patience time.Duration
	// MaxGap is the longest pause between two events of an answer in time.
	MaxGap time.Duration
	// Worth is what an answer in time is worth, LateWorth a later one.
	Worth     float64
	LateWorth float64
	// Shared is the length of the shared parts in tokens, Own that of the rest,
	// Output that of the answer.
	Shared, Own, Output Size
	// Things is the number of shared parts, of which the n-th is asked for by
	// the n'th power of -Skew.
	Things int
	Skew   float64
}

// Size is a lognormal distribution by its mean, with a cap.
type Size struct {
	Mean, Spread, Max float64
}

func (s Size) draw(rng *rand.Rand) int {
	if s.Mean == 0 {
		return 0
	}
	x := s.Mean * math.Exp(s.Spread*rng.NormFloat64()-s.Spread*s.Spread/2)
	return int(max(math.Round(min(x, s.Max)), 1))
}

// Surge multiplies a class's rate for a while.
type Surge struct {
	Class       model.ClassName
	From, Until time.Duration
	Factor      float64
}

// arrival is a request with the sizes that no host sees.
type arrival struct {
	at     time.Duration
	class  *Class
	host   int
	prompt model.Prompt
	output int
	// worth is that of an answer in time: larger requests are worth more.
	worth float64
}

const (
	// sizeWorth is the part of a class's worth that grows with the size of the
	// prompt, maxSizeWorth its bound against the mean.
	sizeWorth    = 0.7
	maxSizeWorth = 4
)

// thing is a shared part.
type thing struct {
	id     model.PartID
	tokens int
}

// arrivals draws the requests of all classes in the order of time.
func (o *Options) arrivals() []arrival {
	var all []arrival
	for i := range o.Classes {
		all = append(all, o.arrivalsOf(i)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func (o *Options) arrivalsOf(index int) []arrival {
	class := &o.Classes[index]
	rng := rand.New(rand.NewPCG(o.Seed, uint64(index)))
	things, weights := class.things(rng, index)
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / (class.Rate * o.factor(class.Name, at)) * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		out = append(out, o.one(rng, class, at, things[pick(rng, weights)], len(out), index))
	}
}

// factor is the sum of the surges of a class.
func (o *Options) factor(name model.ClassName, at time.Duration) float64 {
	factor := 1.0
	for _, s := range o.Surges {
		if s.Class == name && at >= s.From && at < s.Until {
			factor += s.Factor - 1
		}
	}
	return factor
}

func (o *Options) one(rng *rand.Rand, class *Class, at time.Duration, shared thing, number, index int) arrival {
	own := class.Own.draw(rng)
	output := class.Output.draw(rng)
	size := float64(shared.tokens+own) / (class.Shared.Mean + class.Own.Mean)
	a := arrival{
		at: at, class: class, host: rng.IntN(o.Hosts), output: output,
		worth: class.Worth * min(1-sizeWorth+sizeWorth*size, maxSizeWorth),
	}
	last := model.PartID(1)<<62 | model.PartID(index)<<48 | model.PartID(number)
	a.prompt = model.Prompt{
		Model: "m", InputTokens: shared.tokens + own, MaxOutputTokens: 2 * output,
		Parts: []model.Part{{ID: shared.id, Tokens: shared.tokens}, {ID: last, Tokens: own}},
	}
	return a
}

// things draws the shared parts of a class, and the sums of their weights.
func (c *Class) things(rng *rand.Rand, index int) ([]thing, []float64) {
	var out []thing
	var weights []float64
	sum := 0.0
	for n := range max(c.Things, 1) {
		id := model.PartID(rng.Uint64()>>16 | 1)
		out = append(out, thing{id: id ^ model.PartID(index)<<56, tokens: c.Shared.draw(rng)})
		sum += math.Pow(float64(n+1), -c.Skew)
		weights = append(weights, sum)
	}
	return out, weights
}

func pick(rng *rand.Rand, sums []float64) int {
	at, _ := slices.BinarySearch(sums, rng.Float64()*sums[len(sums)-1])
	return min(at, len(sums)-1)
}
