package fleet

import "time"

// The intervals at which relays send the load totals of a failure domain in a
// large fleet. They include the time that a host's digest takes to its relay.
const (
	relayedLocalInterval       = 100 * time.Millisecond
	relayedCrossDomainInterval = 160 * time.Millisecond
	// directInterval is the time between two digests if hosts send digests to
	// each other directly.
	directInterval = 45 * time.Millisecond
)

// Policies returns the compared ways of exchanging load digests by name: no
// exchange, direct exchange between all hosts, and exchange through relays.
func Policies() map[string]Sharing {
	return map[string]Sharing{
		"alone":  {},
		"direct": {LocalInterval: directInterval, CrossDomainInterval: directInterval},
		"relays": {LocalInterval: relayedLocalInterval, CrossDomainInterval: relayedCrossDomainInterval},
	}
}

// Compare simulates the same load with all policies, and returns the reports by
// the name of the policy.
func Compare(opts Options) map[string]Report {
	out := make(map[string]Report)
	for name, sharing := range Policies() {
		opts.Sharing = sharing
		out[name] = Run(opts)
	}
	return out
}
