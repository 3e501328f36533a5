package virtual

import "github.com/wigeonsail/wigeonsail/internal/core/model"

// sharingStats counts the grants of a run, and those that were wrong because
// the hosts that share endpoints did not have the current state of each other.
type sharingStats struct {
	grants int
	// engineGrants counts the grants to engines. overshoot counts those of them
	// that went to an engine without a free slot.
	engineGrants int
	overshoot    int
	// inversions counts the grants that were given while a request of a higher
	// tier for the same pool waited at another host of the failure domain.
	inversions int
	// waiting counts the waiting requests by host.
	waiting map[waitKey]map[*host]int
}

type waitKey struct {
	pool   model.PoolName
	domain int
	tier   model.Tier
}

// addWaiting counts a request as waiting at its host.
func (s *sharingStats) addWaiting(j *job, domain int) {
	if s.waiting == nil {
		s.waiting = map[waitKey]map[*host]int{}
	}
	key := waitKey{pool: j.class.pool, domain: domain, tier: j.class.Tier}
	if s.waiting[key] == nil {
		s.waiting[key] = map[*host]int{}
	}
	s.waiting[key][j.host]++
	j.waitingKey = key
	j.waitingHost = j.host
}

// removeWaiting removes a request from the waiting ones. It has no effect if
// the request is not counted.
func (s *sharingStats) removeWaiting(j *job) {
	if j.waitingHost == nil {
		return
	}
	s.waiting[j.waitingKey][j.waitingHost]--
	j.waitingHost = nil
}

// recordGrant counts a grant by a host, which places the request at an engine.
func (s *sharingStats) recordGrant(j *job, h *host, e *engine) {
	s.removeWaiting(j)
	s.grants++
	if e.pool == enginePool {
		s.engineGrants++
		if len(e.running)+len(e.waiting) >= e.slots {
			s.overshoot++
		}
	}
	for tier := range j.class.Tier {
		key := waitKey{pool: j.class.pool, domain: h.domain, tier: tier}
		if s.hasWaitingElsewhere(key, h) {
			s.inversions++
			return
		}
	}
}

// hasWaitingElsewhere reports whether a request with the key waits at another
// host.
func (s *sharingStats) hasWaitingElsewhere(key waitKey, h *host) bool {
	for other, n := range s.waiting[key] {
		if other != h && n > 0 {
			return true
		}
	}
	return false
}
