// Package soak runs real gateway processes on one machine for a while, injects
// faults from outside them, and checks from what callers and endpoints see that
// the promises hold. All that is random follows from a seed: faults come in
// series and overlap, and their kinds, victims and times are drawn at the start.
//
// The store and the endpoints are this project's stand-ins in the soak's own
// process; links to them go through relays that can be cut or silenced. Processes
// are stopped, paused, killed and started again by signals.
package soak
