// Package virtual simulates entry hosts and endpoints on a virtual clock and
// compares the project's dispatcher with simple load-balancing baselines. It
// uses seeded arrivals, small fakes of engines and services, and the same
// dispatcher that an entry host runs.
package virtual
