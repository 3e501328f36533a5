package opconfig

import "fmt"

func (v *validator) checkClasses() {
	v.classNames = make(map[string]bool)
	v.check(len(v.cfg.Classes) > 0, "class", "missing", "at least one class")
	var floors, headroom float64
	for i := range v.cfg.Classes {
		c := &v.cfg.Classes[i]
		where := v.checkName("class", i, string(c.Name), v.classNames)
		v.checkClassDurations(where, c)
		v.checkClassNumbers(where, c)
		floors += c.Floor
		headroom += c.Headroom
	}
	v.check(floors <= 1, "class: sum of all floor", floors, "at most 1")
	v.check(headroom < 1, "class: sum of all headroom", headroom, "less than 1")
}

func (v *validator) checkClassDurations(where string, c *Class) {
	v.check(c.FirstToken >= minDuration, where+": first_token", c.FirstToken.Std(), `a time span with its unit, at least "1ms"`)
	v.check(c.BetweenTokens == 0 || c.BetweenTokens >= minDuration, where+": between_tokens", c.BetweenTokens.Std(), `0 or a time span with its unit, at least "1ms"`)
	v.check(c.Deadline >= c.FirstToken, where+": deadline", c.Deadline.Std(), "at least first_token")
}

func (v *validator) checkClassNumbers(where string, c *Class) {
	v.check(c.Tier >= 0 && c.Tier <= maxTier, where+": tier", c.Tier, fmt.Sprintf("0 to %d", maxTier))
	v.checkFraction(where, "floor", c.Floor)
	v.check(c.Objective > 0 && c.Objective < 1, where+": objective", c.Objective, "above 0 and below 1, for example 0.95")
	v.checkFraction(where, "headroom", c.Headroom)
	v.check(c.MaxQueued >= 1, where+": max_queued", c.MaxQueued, "at least 1")
	v.check(c.RetryBudget >= 0 && c.RetryBudget <= maxRetryBudget, where+": retry_budget", c.RetryBudget, "0 to 1")
	v.check(!c.Protected || !c.Preemptible, where+": preemptible", c.Preemptible, "false where protected is true")
}
