package balance

// term is what causes a part of the cost of a choice.
type term uint8

// The terms of a cost, in the order in which they are shown.
const (
	termLateness term = iota
	termCrossDomain
	termConnection
	termFailures
	termSilent
	termLimitTest
	termSuspectDomain
	termReservation
	termCrowding
	termOverSlots
	termOverMemory
	termTransfer
	termRecompute
	termAwayFromHome
	numTerms
)

// termNames are the names of the terms for operators.
var termNames = [numTerms]string{
	"lateness", "cross_domain", "connection", "failures", "silent", "limit_test", "suspect_domain",
	"reservation", "crowding", "over_slots", "over_memory", "transfer", "recompute", "away_from_home",
}

// costTerms are the parts of a cost by term.
type costTerms [numTerms]float64

// add adds a part of the cost.
func (c *choice) add(t term, cost float64) {
	c.cost += cost
	if c.terms != nil {
		c.terms[t] += cost
	}
}

// byName returns the terms that are not 0 by name.
func (t *costTerms) byName() map[string]float64 {
	out := make(map[string]float64)
	for i, cost := range t {
		if cost != 0 {
			out[termNames[i]] = cost
		}
	}
	return out
}

// trace records the choices that a decision compares. A nil trace records nothing.
type trace struct {
	choices map[*endpoint]choice
}

// newTerms returns where to add up the terms of a choice; nil without a trace.
func (t *trace) newTerms() *costTerms {
	if t == nil {
		return nil
	}
	return new(costTerms)
}

// record records a choice that is compared with others.
func (t *trace) record(c *choice) {
	if t != nil {
		t.choices[c.endpoint] = *c
	}
}
