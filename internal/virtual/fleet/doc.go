// Package fleet plays a whole fleet on a virtual clock: entry hosts that place
// requests with the same balancer as a gateway, digests that arrive late, and
// engines that batch, read prompts in chunks and cache shared parts by the
// figures that operators publish of them. Policies are compared on the same
// arrivals.
//
// It leaves out what decides little under load: failures, connections, plain
// services and the processor time of hosts.
package fleet
