// Package burn counts how far each class meets its targets and computes
// attainment, error budget and burn rates from the counts.
package burn

import (
	"iter"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Result is how a request ended, as its service level counts it.
type Result uint8

// The results of a request.
const (
	// ResultServed means that the caller got the whole answer. It is good
	// when the latency targets were met.
	ResultServed Result = iota + 1
	// ResultRefused means a refusal for want of room, endpoints or time.
	ResultRefused
	// ResultLimited means a refusal by the account's own limit. It does not
	// count against the objective.
	ResultLimited
	// ResultFailed means that the caller got no whole answer.
	ResultFailed
	// ResultUnknown means that the caller was told that the effect is unknown.
	ResultUnknown
	// ResultLost means that the request ran and its answer reached nobody.
	ResultLost
	// ResultCanceled means that the caller left before the answer was due. It
	// does not count against the objective.
	ResultCanceled
)

// WasteCause tells why tokens were generated and not used.
type WasteCause uint8

// The causes of wasted tokens.
const (
	// WasteCallerGone counts tokens of callers that left.
	WasteCallerGone WasteCause = iota
	// WasteDeadline counts tokens of answers that passed their deadline.
	WasteDeadline
	// WasteRetry counts tokens of attempts that were started again.
	WasteRetry
	// WastePreempted counts tokens of attempts that were preempted and could
	// not be resumed.
	WastePreempted
	// WasteEndpoint counts tokens of answers that the endpoint broke off.
	WasteEndpoint

	wasteCauses = iota
)

// String returns the cause as it stands in reports and metrics.
func (c WasteCause) String() string {
	switch c {
	case WasteCallerGone:
		return "caller_gone"
	case WasteDeadline:
		return "deadline"
	case WasteRetry:
		return "retry"
	case WastePreempted:
		return "preempted"
	case WasteEndpoint:
		return "endpoint"
	default:
		return "other"
	}
}

// WasteCauses returns all causes in their order.
func WasteCauses() iter.Seq[WasteCause] {
	return func(yield func(WasteCause) bool) {
		for c := range WasteCause(wasteCauses) {
			if !yield(c) {
				return
			}
		}
	}
}

// Counts are sums over a time span.
type Counts struct {
	// Total counts the requests that the objective judges, Good those of them
	// that met all targets.
	Total uint64 `json:"total,omitempty"`
	Good  uint64 `json:"good,omitempty"`
	// Late counts whole answers that missed a latency target.
	Late     uint64 `json:"late,omitempty"`
	Refused  uint64 `json:"refused,omitempty"`
	Limited  uint64 `json:"limited,omitempty"`
	Failed   uint64 `json:"failed,omitempty"`
	Unknown  uint64 `json:"unknown,omitempty"`
	Lost     uint64 `json:"lost,omitempty"`
	Canceled uint64 `json:"canceled,omitempty"`
	// Tokens counts the tokens delivered, GoodTokens those in good answers.
	Tokens     uint64 `json:"tokens,omitempty"`
	GoodTokens uint64 `json:"good_tokens,omitempty"`
	// Wasted counts wasted tokens by cause.
	Wasted [wasteCauses]uint64 `json:"wasted,omitzero"`
}

// Bad counts the judged requests that were not good.
func (c *Counts) Bad() uint64 { return c.Total - min(c.Good, c.Total) }

// AllWasted sums the wasted tokens over all causes.
func (c *Counts) AllWasted() uint64 {
	var sum uint64
	for _, n := range c.Wasted {
		sum += n
	}
	return sum
}

func (c *Counts) add(o *Counts) {
	c.Total += o.Total
	c.Good += o.Good
	c.Late += o.Late
	c.Refused += o.Refused
	c.Limited += o.Limited
	c.Failed += o.Failed
	c.Unknown += o.Unknown
	c.Lost += o.Lost
	c.Canceled += o.Canceled
	c.Tokens += o.Tokens
	c.GoodTokens += o.GoodTokens
	for i, n := range o.Wasted {
		c.Wasted[i] += n
	}
}

// count adds one request.
func (c *Counts) count(ev *Event, good bool) {
	switch ev.Result {
	case ResultLimited:
		c.Limited++
		return
	case ResultCanceled:
		c.Canceled++
		return
	case ResultServed:
		c.countServed(ev, good)
	case ResultRefused:
		c.Refused++
	case ResultUnknown:
		c.Unknown++
	case ResultLost:
		c.Lost++
	default:
		c.Failed++
	}
	c.Total++
}

func (c *Counts) countServed(ev *Event, good bool) {
	tokens := uint64(max(ev.Tokens, 0))
	c.Tokens += tokens
	if !good {
		c.Late++
		return
	}
	c.Good++
	c.GoodTokens += tokens
}

// key tells the counts of a class in a failure domain from the others.
type key struct {
	class  model.ClassName
	domain model.DomainName
}
