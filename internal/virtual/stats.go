package virtual

import "github.com/wigeonsail/wigeonsail/internal/core/model"

// sharingStats counts what goes wrong where hosts share endpoints.
type sharingStats struct {
	grants int
	// engineGrants counts those to engines, overshoot those to an engine
	// without a free slot.
	engineGrants int
	overshoot    int
	// inversions counts grants while a higher tier waited at another host of
	// the domain.
	inversions int
	waiting    map[waitKey]map[*host]int
}

type waitKey struct {
	pool   model.PoolName
	domain int
	tier   model.Tier
}

func (s *sharingStats) wait(j *job, domain int) {
	if s.waiting == nil {
		s.waiting = map[waitKey]map[*host]int{}
	}
	key := waitKey{pool: j.class.pool, domain: domain, tier: j.class.Tier}
	if s.waiting[key] == nil {
		s.waiting[key] = map[*host]int{}
	}
	s.waiting[key][j.host]++
	j.counted = key
	j.countedAt = j.host
}

func (s *sharingStats) stop(j *job) {
	if j.countedAt == nil {
		return
	}
	s.waiting[j.counted][j.countedAt]--
	j.countedAt = nil
}

func (s *sharingStats) granted(j *job, h *host, e *engine) {
	s.stop(j)
	s.grants++
	if e.pool == enginePool {
		s.engineGrants++
		if len(e.running)+len(e.waiting) >= e.slots {
			s.overshoot++
		}
	}
	for tier := range j.class.Tier {
		key := waitKey{pool: j.class.pool, domain: h.domain, tier: tier}
		if s.waitsElsewhere(key, h) {
			s.inversions++
			return
		}
	}
}

func (s *sharingStats) waitsElsewhere(key waitKey, h *host) bool {
	for other, n := range s.waiting[key] {
		if other != h && n > 0 {
			return true
		}
	}
	return false
}
