// Package virtual compares the project's decisions with plain baselines on a
// virtual clock: seeded arrivals, small fakes of engines and services, and the
// same dispatcher that an entry host runs.
package virtual
