// Package fleet simulates a whole fleet on a virtual clock: entry hosts that
// place requests with the same balancer as a gateway, load digests that arrive
// with a delay, and engines with batching, chunked prefill and a prefix cache,
// which perform according to the figures that operators publish. It compares
// ways of exchanging digests on the same arrivals.
//
// The simulation leaves out what has little influence under load: failures,
// connections, plain services and the processor time of hosts.
package fleet
