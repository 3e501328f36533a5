package fleet

import "time"

// The times between two sums that relays tell in a large fleet, with the time
// that a host's own digest takes to its relay.
const (
	relayedNear = 100 * time.Millisecond
	relayedFar  = 160 * time.Millisecond
	// direct is the time between two digests where hosts tell each other.
	direct = 45 * time.Millisecond
)

// Policies are ways in which hosts learn of each other's work, by name.
func Policies() map[string]Sharing {
	return map[string]Sharing{
		"alone":  {},
		"direct": {Near: direct, Far: direct},
		"relays": {Near: relayedNear, Far: relayedFar},
	}
}

// Compare plays the same load with all policies.
func Compare(opts Options) map[string]Report {
	out := make(map[string]Report)
	for name, sharing := range Policies() {
		opts.Sharing = sharing
		out[name] = Run(opts)
	}
	return out
}
