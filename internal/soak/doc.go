// Package soak runs real gateway processes on one machine for a given time,
// injects faults from outside the processes, and checks the router's guarantees
// against what callers and endpoints observe. All random choices are derived
// from a seed: faults follow each other and overlap, and their kinds, targets
// and times are random.
//
// The store and the endpoints are stand-ins in the soak's own process. Links to
// them go through relays that can be cut or stalled. Gateway processes are
// stopped, paused, killed and restarted by signals.
package soak
