package effects

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// batchingHost returns the peer address of the host in this host's failure domain
// that batches the appends of a partition; empty if that is this host. If the
// membership views of hosts differ, this costs an additional append, but never
// causes a second effect.
func (g *Guard) batchingHost(partition int) string {
	if g.opts.Peers == nil {
		return ""
	}
	best := rendezvousWeight(g.opts.Self.Host, partition)
	address := ""
	for _, m := range *g.members.Load() {
		if m.Domain != g.opts.Domain {
			continue
		}
		if w := rendezvousWeight(m.Host, partition); w > best {
			best, address = w, m.Address
		}
	}
	return address
}

// rendezvousWeight returns a host's weight for a partition in rendezvous hashing.
func rendezvousWeight(host model.HostID, partition int) uint64 {
	return xxhash.Sum64String(string(host) + "/" + strconv.Itoa(partition))
}
