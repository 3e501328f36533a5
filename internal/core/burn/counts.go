// Package burn counts how many requests of each class meet their service-level
// targets, and computes attainment, error budgets and burn rates from the
// counts.
package burn

import (
	"iter"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Result classifies the end of a request for its service level.
type Result uint8

// The results of a request.
const (
	// ResultServed means that the caller received the whole response. The
	// request is good if the latency targets were met.
	ResultServed Result = iota + 1
	// ResultRefused means that the request was refused because capacity,
	// endpoints or time were lacking.
	ResultRefused
	// ResultLimited means that the request was refused because it exceeded the
	// limit of its client account. It does not count against the objective.
	ResultLimited
	// ResultFailed means that the caller did not receive the whole response.
	ResultFailed
	// ResultUnknown means that the reported outcome is unknown.
	ResultUnknown
	// ResultLost means that the request ran, or may have run, but its response was
	// not delivered.
	ResultLost
	// ResultCanceled means that the caller disconnected before the response was
	// due. It does not count against the objective.
	ResultCanceled
)

// WasteCause is the reason why generated tokens were not used.
type WasteCause uint8

// The causes of wasted tokens.
const (
	// WasteCallerGone counts tokens of callers that disconnected.
	WasteCallerGone WasteCause = iota
	// WasteDeadline counts tokens of responses that exceeded their deadline.
	WasteDeadline
	// WasteRetry counts tokens of attempts that were restarted from the
	// beginning.
	WasteRetry
	// WastePreempted counts tokens of attempts that were preempted and could
	// not be resumed.
	WastePreempted
	// WasteEndpoint counts tokens of responses that the endpoint aborted.
	WasteEndpoint

	wasteCauseCount = iota
)

// String returns the name of the cause in reports and metrics.
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

// WasteCauses iterates over all causes in the order of their values.
func WasteCauses() iter.Seq[WasteCause] {
	return func(yield func(WasteCause) bool) {
		for c := range WasteCause(wasteCauseCount) {
			if !yield(c) {
				return
			}
		}
	}
}

// Counts holds numbers of requests and tokens over a time span.
type Counts struct {
	// Total counts the requests that count against the objective, Good those
	// of them that met all targets.
	Total uint64 `json:"total,omitempty"`
	Good  uint64 `json:"good,omitempty"`
	// Late counts complete responses that missed a latency target.
	Late     uint64 `json:"late,omitempty"`
	Refused  uint64 `json:"refused,omitempty"`
	Limited  uint64 `json:"limited,omitempty"`
	Failed   uint64 `json:"failed,omitempty"`
	Unknown  uint64 `json:"unknown,omitempty"`
	Lost     uint64 `json:"lost,omitempty"`
	Canceled uint64 `json:"canceled,omitempty"`
	// Tokens counts the tokens delivered to callers, GoodTokens those in good
	// responses.
	Tokens     uint64 `json:"tokens,omitempty"`
	GoodTokens uint64 `json:"good_tokens,omitempty"`
	// Wasted counts wasted tokens, indexed by WasteCause.
	Wasted [wasteCauseCount]uint64 `json:"wasted,omitzero"`
}

// Bad returns the number of requests in Total that were not good.
func (c *Counts) Bad() uint64 { return c.Total - min(c.Good, c.Total) }

// TotalWasted returns the number of wasted tokens over all causes.
func (c *Counts) TotalWasted() uint64 {
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

// countEvent adds one request. A served request counts as good if good is set,
// else as late.
func (c *Counts) countEvent(ev *Event, good bool) {
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

// rowKey identifies the row of a class in a failure domain.
type rowKey struct {
	class  model.ClassName
	domain model.DomainName
}
