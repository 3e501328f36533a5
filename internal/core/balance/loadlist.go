package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Lists of loads are sorted by key, so that two lists are compared, added and subtracted
// in one pass.

// EndpointKey identifies an endpoint in lists of loads by the hash of its name. With 64 bits
// two of 12,000 endpoints share a key once in 10^11 fleets.
type EndpointKey uint64

// KeyOf returns the key of the endpoint with a name.
func KeyOf(name model.EndpointName) EndpointKey { return EndpointKey(xxhash.Sum64String(string(name))) }

// EndpointLoad is the load of a host, or of a failure domain, at one endpoint.
type EndpointLoad struct {
	// Endpoint is the name of the endpoint; empty in a report that has only its key.
	Endpoint model.EndpointName
	// Key is the key of the endpoint; 0 in a report that has only its name.
	Key EndpointKey
	Load
}

// HashKey returns the key of the endpoint, also if the report has only its name.
func (l *EndpointLoad) HashKey() EndpointKey {
	if l.Key == 0 {
		return KeyOf(l.Endpoint)
	}
	return l.Key
}

func compareKeys(a, b EndpointLoad) int { return cmp.Compare(a.Key, b.Key) }

// sortedLoads returns the loads with their keys, sorted by key. It does not modify loads.
func sortedLoads(loads []EndpointLoad) []EndpointLoad {
	hasKey := func(l EndpointLoad) bool { return l.Key != 0 }
	if slices.IsSortedFunc(loads, compareKeys) && (len(loads) == 0 || hasKey(loads[0])) {
		return loads
	}
	out := slices.Clone(loads)
	for i := range out {
		out[i].Key = out[i].HashKey()
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// eachPair calls visit for each key of two sorted lists, with the index of its entry in
// each list; -1 for none.
func eachPair(a, b []EndpointLoad, visit func(i, j int)) {
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case j == len(b) || i < len(a) && a[i].Key < b[j].Key:
			visit(i, -1)
			i++
		case i == len(a) || b[j].Key < a[i].Key:
			visit(-1, j)
			j++
		default:
			visit(i, j)
			i++
			j++
		}
	}
}

// Subtract returns the loads minus other ones, without endpoints that have no load left.
func Subtract(loads, others []EndpointLoad) []EndpointLoad {
	loads, others = sortedLoads(loads), sortedLoads(others)
	out := make([]EndpointLoad, 0, len(loads))
	eachPair(loads, others, func(i, j int) {
		var l EndpointLoad
		if i >= 0 {
			l = loads[i]
		}
		if j >= 0 {
			l.Endpoint, l.Key = others[j].Endpoint, others[j].Key
			l.addScaled(others[j].Load, -1)
		}
		if l.Load != (Load{}) {
			out = append(out, l)
		}
	})
	return out
}

// setLoads replaces the loads of a report and updates the remote load of the endpoints
// whose load differs. Endpoints are found once, and again after endpoints were listed or
// removed.
func (b *Balancer) setLoads(p *peerLoad, loads []EndpointLoad) {
	loads = sortedLoads(loads)
	known := p.endpoints
	if p.listing != b.listing {
		known = nil
	}
	endpoints := make([]*endpoint, len(loads))
	eachPair(p.loads, loads, func(i, j int) {
		var e *endpoint
		switch {
		case i >= 0 && known != nil:
			e = known[i]
		case i >= 0:
			e = b.byKey[p.loads[i].Key]
		default:
			e = b.byKey[loads[j].Key]
		}
		if j >= 0 {
			endpoints[j] = e
		}
		if j >= 0 && e != nil && loads[j].Endpoint == "" {
			// Relays forward the loads to hosts of earlier builds by name.
			loads[j].Endpoint = e.Name
		}
		if e == nil || i >= 0 && j >= 0 && p.loads[i].Load == loads[j].Load {
			return
		}
		if i >= 0 {
			e.remoteLoad.addScaled(p.loads[i].Load, -1)
		}
		if j >= 0 {
			e.remoteLoad.addLoad(loads[j].Load)
		}
	})
	p.loads, p.endpoints, p.listing = loads, endpoints, b.listing
}
