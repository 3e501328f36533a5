package soak

import (
	"math"
	"syscall"
	"time"
)

// Hosts of two builds: some begin with an older one, and are replaced in turn while the other
// faults go on. They may go back to it in the second half of a run.

// exchangePause is the time for which a host is down while its build is exchanged.
const exchangePause = 300 * time.Millisecond

// exchange is the replacement of a host by another build.
type exchange struct {
	after time.Duration
	host  int
	old   bool
}

// oldHosts returns the number of hosts that begin with the older build.
func (o Options) oldHosts() int {
	if o.OldBinary == "" {
		return 0
	}
	return min(int(math.Ceil(o.OldShare*float64(o.Hosts))), o.Hosts)
}

// exchanges returns the replacements of a run, in order.
func (o Options) exchanges() []exchange {
	count, together := o.oldHosts(), max(o.Together, 1)
	rounds := []bool{false}
	if o.RollBack {
		rounds = append(rounds, true)
	}
	steps := (count + together - 1) / together
	gap := o.Duration / time.Duration(steps*len(rounds)+1)
	var out []exchange
	for round, old := range rounds {
		for host := range count {
			step := round*steps + host/together
			out = append(out, exchange{after: time.Duration(step+1) * gap, host: host, old: old})
		}
	}
	return out
}

// binary returns the program of the build that the host runs next.
func (h *hostProcess) binary() string {
	if h.old {
		return h.environment.opts.OldBinary
	}
	return h.environment.opts.Binary
}

// exchangeDue replaces the hosts that are due.
func (f *faultInjector) exchangeDue(now time.Time) {
	env := f.environment
	for len(f.exchanges) > 0 && now.Sub(env.startedAt) >= f.exchanges[0].after {
		next := f.exchanges[0]
		f.exchanges = f.exchanges[1:]
		h := env.hosts[next.host]
		h.old = next.old
		f.count++
		env.trace("replace %s, older build: %v", h.name, h.old)
		// A host that is down comes back with the other build.
		f.restartHost(now, h, exchangePause, syscall.SIGTERM)
	}
}
