package peergrpc

import (
	"errors"
	"math/bits"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Loads by endpoint are most of what hosts send to each other. Hosts that understand it
// receive them as columns, which takes half of the bytes of one message for each endpoint
// and less processor time, and the total of a failure domain is encoded once for all
// receivers.

var errMalformedLoads = errors.New("packed loads: columns of different lengths")

// digestToWire returns the wire form of a digest that its receiver understands.
func digestToWire(d port.LoadDigest) (*peer.LoadDigest, error) {
	loads, domains := d.Loads, d.Domains
	if d.PackLoads {
		d.Loads, d.Domains = nil, nil
	}
	out := loadDigestToWire(d)
	out.Unpacks, out.Report = d.Unpacks, uint64(d.Report)
	if !d.PackLoads {
		return out, nil
	}
	var err error
	if len(loads) > 0 {
		if out.PackedLoads, err = packLoads(loads); err != nil {
			return nil, err
		}
	}
	for _, total := range domains {
		data, err := total.Encoded.Data(func() ([]byte, error) { return packLoads(total.Loads) })
		if err != nil {
			return nil, err
		}
		out.PackedDomains = append(out.PackedDomains, &peer.PackedDomain{
			Domain: string(total.Domain), Hosts: int64(total.Hosts), Marks: convert(total.CacheUpdates, cacheUpdateToWire),
			Loads: data, Included: uint64(total.Included),
		})
	}
	return out, nil
}

// digestFromWire returns a digest. It fails if packed loads are malformed.
func digestFromWire(d *peer.LoadDigest) (port.LoadDigest, error) {
	out := loadDigestFromWire(d)
	out.Unpacks, out.Report = d.GetUnpacks(), int64(d.GetReport())
	if len(d.GetPackedLoads()) > 0 {
		var err error
		if out.Loads, err = unpackLoads(d.GetPackedLoads()); err != nil {
			return port.LoadDigest{}, err
		}
	}
	for _, total := range d.GetPackedDomains() {
		loads, err := unpackLoads(total.GetLoads())
		if err != nil {
			return port.LoadDigest{}, err
		}
		out.Domains = append(out.Domains, port.DomainLoad{
			Domain: model.DomainName(total.GetDomain()), Hosts: int(total.GetHosts()), Loads: loads,
			CacheUpdates: convert(total.GetMarks(), cacheUpdateFromWire), Included: int64(total.GetIncluded()),
		})
	}
	return out, nil
}

// packLoads returns loads as an encoded PackedLoads.
func packLoads(loads []balance.EndpointLoad) ([]byte, error) {
	n := len(loads)
	out := &peer.PackedLoads{Keys: make([]uint64, n), Counts: make([]int64, n), Memory: make([]int64, n), Pending: make([]int64, 0, 2*n)}
	urgent := make([]int64, n)
	for i := range loads {
		l := &loads[i]
		out.Keys[i], out.Counts[i], out.Memory[i] = uint64(l.HashKey()), int64(l.Count), int64(l.Memory)
		if l.Urgent != 0 {
			urgent[i], out.Urgent = int64(l.Urgent), urgent
		}
		out.Pending = appendPending(out.Pending, &l.PendingPrefill)
	}
	return proto.Marshal(out)
}

// appendPending appends a bit set of the priorities with pending tokens, and these numbers.
func appendPending(out []int64, pending *[balance.NumPriorities]int) []int64 {
	at := len(out)
	out = append(out, 0)
	for priority, n := range pending {
		if n != 0 {
			out[at] |= 1 << priority
			out = append(out, int64(n))
		}
	}
	return out
}

// unpackLoads is the reverse of packLoads.
func unpackLoads(data []byte) ([]balance.EndpointLoad, error) {
	var in peer.PackedLoads
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil, err
	}
	n := len(in.GetKeys())
	if len(in.GetCounts()) != n || len(in.GetMemory()) != n || len(in.GetUrgent()) != n && len(in.GetUrgent()) != 0 {
		return nil, errMalformedLoads
	}
	out := make([]balance.EndpointLoad, n)
	pending := in.GetPending()
	for i := range out {
		l := &out[i]
		l.Key, l.Count, l.Memory = balance.EndpointKey(in.GetKeys()[i]), int(in.GetCounts()[i]), int(in.GetMemory()[i])
		if len(in.GetUrgent()) > 0 {
			l.Urgent = int(in.GetUrgent()[i])
		}
		var ok bool
		if pending, ok = takePending(pending, &l.PendingPrefill); !ok {
			return nil, errMalformedLoads
		}
	}
	return out, nil
}

// takePending sets the pending tokens of one endpoint and returns the rest of the column.
// It returns false if the column is too short.
func takePending(in []int64, pending *[balance.NumPriorities]int) ([]int64, bool) {
	if len(in) == 0 {
		return nil, false
	}
	set, in := uint64(in[0]), in[1:]
	if len(in) < bits.OnesCount64(set) {
		return nil, false
	}
	for ; set != 0; set &= set - 1 {
		if priority := bits.TrailingZeros64(set); priority < len(pending) {
			pending[priority] = int(in[0])
		}
		in = in[1:]
	}
	return in, true
}
