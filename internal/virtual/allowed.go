package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// allowanceWindow is the time within which capacity and demand are compared:
// the mean length of a burst.
const allowanceWindow = burstMean

// allowed returns the part of a class's work that the capacity left by the
// classes above it in the same pool would have served, window by window. It
// knows all sizes, and thus is an upper bound for any policy.
func (c *cluster) allowed(index int) float64 {
	class := &c.load.classes[index]
	windows := int(c.opts.Duration/allowanceWindow) + 1
	above := make([]float64, windows)
	own := make([]float64, windows)
	for _, j := range c.jobs {
		if j.class.pool != class.pool {
			continue
		}
		w := int(j.at / allowanceWindow)
		switch {
		case j.class == class:
			own[w] += j.prefill + j.answer
		case j.class.Tier < class.Tier:
			above[w] += j.prefill + j.answer
		}
	}
	served, wanted := 0.0, 0.0
	for w := range windows {
		full := c.capacityAt(class.pool, time.Duration(w)*allowanceWindow) * allowanceWindow.Seconds()
		served += min(own[w], max(full-above[w], 0))
		wanted += own[w]
	}
	if wanted == 0 {
		return 1
	}
	return served / wanted
}

// capacityAt returns a pool's work a second, with the engine that lags for a
// while.
func (c *cluster) capacityAt(pool model.PoolName, at time.Duration) float64 {
	full := c.capacity(pool)
	part := at.Seconds() / c.opts.Duration.Seconds()
	slow := c.engines[0]
	if pool == slow.pool && part >= slowFrom && part < slowUntil {
		full -= slow.capacity() * (1 - slowTo)
	}
	return full
}
