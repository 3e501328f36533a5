package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// servableWindow is the length of the windows in which capacity and demand are
// compared: the mean length of a burst.
const servableWindow = burstMean

// servableShare returns the share, from 0 to 1, of a class's work that the
// capacity left over by the higher tiers of the same pool could have served,
// computed window by window. The computation uses the sizes of all requests,
// which no policy has, so the result is an upper bound for any policy.
func (c *cluster) servableShare(index int) float64 {
	class := &c.params.classes[index]
	windows := int(c.opts.Duration/servableWindow) + 1
	above := make([]float64, windows)
	own := make([]float64, windows)
	for _, j := range c.jobs {
		if j.class.pool != class.pool {
			continue
		}
		w := int(j.at / servableWindow)
		switch {
		case j.class == class:
			own[w] += j.prefill + j.answer
		case j.class.Tier < class.Tier:
			above[w] += j.prefill + j.answer
		}
	}
	served, wanted := 0.0, 0.0
	for w := range windows {
		full := c.capacityAt(class.pool, time.Duration(w)*servableWindow) * servableWindow.Seconds()
		served += min(own[w], max(full-above[w], 0))
		wanted += own[w]
	}
	if wanted == 0 {
		return 1
	}
	return served / wanted
}

// capacityAt returns a pool's capacity at a time of the run in units of work
// per second. It accounts for the engine that is slowed down temporarily.
func (c *cluster) capacityAt(pool model.PoolName, at time.Duration) float64 {
	full := c.capacity(pool)
	fraction := at.Seconds() / c.opts.Duration.Seconds()
	slow := c.engines[0]
	if pool == slow.pool && fraction >= slowFrom && fraction < slowUntil {
		full -= slow.capacity() * (1 - slowFactor)
	}
	return full
}
