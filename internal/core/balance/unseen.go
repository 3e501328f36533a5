package balance

import "time"

// unseenFactor returns the ratio of the number of all hosts to that of the hosts whose
// load is known, this one included. It is above 1 at a host that is cut off from others:
// theirs is likely like the known one, in sum.
func (b *Balancer) unseenFactor(now time.Time) float64 {
	seen := 1
	for _, p := range b.peers {
		if p.domain != "" {
			seen++
		}
	}
	for domain, hosts := range b.DomainHosts(now) {
		if b.peers[domainLoadID(domain)] != nil {
			seen += hosts
		}
	}
	return max(float64(b.CountHosts(now))/float64(seen), 1)
}
