package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// rules is the configuration in the form that decisions use.
type rules struct {
	classes []*class
	byName  map[model.ClassName]*class
	order   []admission.ClassRule
	// domains is the number of failure domains that have endpoints.
	domains int
}

// class is a request class with its accounts.
type class struct {
	opconfig.Class
	index  int
	budget *attempt.Budget
	shares map[model.AccountName]int
	limits map[model.AccountName]*accountLimit
}

// accountLimit is the limit of an account in a class with its current use.
type accountLimit struct {
	opconfig.Limit
	bucket admission.TokenBucket
	// tokens is the number of relayed tokens of requests in flight.
	tokens int
}

// share returns the scheduling weight of an account in the class, at least 1.
func (c *class) share(name model.AccountName) int { return max(c.shares[name], 1) }

// ageAfter returns the queueing time after which the floor of the class is
// raised.
func (c *class) ageAfter() time.Duration { return c.FirstToken.Std() }

// newRules returns the rules of a configuration, with the classes sorted by
// tier. The retry budgets and token buckets of the previous rules are kept.
func newRules(cfg *opconfig.Config, before *rules) *rules {
	r := &rules{byName: map[model.ClassName]*class{}}
	for _, c := range cfg.Classes {
		r.classes = append(r.classes, &class{Class: c})
	}
	slices.SortStableFunc(r.classes, func(a, b *class) int { return int(a.Tier - b.Tier) })
	for i, c := range r.classes {
		c.index = i
		r.byName[c.Name] = c
		r.order = append(r.order, admission.ClassRule{
			Tier:      c.Tier,
			Protected: c.Protected,
			Floor:     c.Floor,
			AgeAfter:  c.ageAfter(),
		})
		c.setAccounts(cfg, before)
	}
	r.domains = countDomains(cfg)
	return r
}

// setAccounts sets the retry budget, shares and limits of the class, and keeps
// the state of the previous rules.
func (c *class) setAccounts(cfg *opconfig.Config, before *rules) {
	c.budget = attempt.NewBudget(c.RetryBudget)
	c.shares = map[model.AccountName]int{}
	c.limits = map[model.AccountName]*accountLimit{}
	var old *class
	if before != nil {
		old = before.byName[c.Name]
	}
	if old != nil {
		c.budget = old.budget
		c.budget.SetShare(c.RetryBudget)
	}
	for _, a := range cfg.Accounts {
		c.shares[a.Name] = a.Share
		for _, l := range a.Limits {
			if l.Class == c.Name {
				c.addLimit(a.Name, l, old)
			}
		}
	}
}

// addLimit adds the limit of an account and keeps its previous state.
func (c *class) addLimit(name model.AccountName, l opconfig.Limit, old *class) {
	limit := &accountLimit{Limit: l}
	if old != nil && old.limits[name] != nil {
		*limit = *old.limits[name]
		limit.Limit = l
	}
	c.limits[name] = limit
}

// countDomains returns the number of failure domains that have endpoints, at
// least 1.
func countDomains(cfg *opconfig.Config) int {
	seen := map[model.DomainName]bool{}
	for _, e := range cfg.Endpoints {
		seen[e.Domain] = true
	}
	return max(len(seen), 1)
}
