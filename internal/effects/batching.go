package effects

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// batchingHost returns the address of the host of the own failure domain that
// batches a partition's entries; empty when it is this host. Hosts with
// differing views cost an append more, never a second effect.
func (g *Guard) batchingHost(partition int) string {
	if g.opts.Peers == nil {
		return ""
	}
	best := weight(g.opts.Self.Host, partition)
	address := ""
	for _, m := range *g.members.Load() {
		if m.Domain != g.opts.Domain {
			continue
		}
		if w := weight(m.Host, partition); w > best {
			best, address = w, m.Address
		}
	}
	return address
}

// weight orders the hosts of a partition by rendezvous hashing.
func weight(host model.HostID, partition int) uint64 {
	return xxhash.Sum64String(string(host) + "/" + strconv.Itoa(partition))
}
