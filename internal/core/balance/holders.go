package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// holdFor is the time for which an endpoint is expected to keep the parts of
	// a prompt after their last use.
	holdFor = 20 * time.Second
	// maxHolders bounds the remembered endpoints of a key.
	maxHolders = 4
	// maxKeys bounds the remembered keys.
	maxKeys = 4096
)

// holders remembers which endpoints this host has sent the shared parts of
// prompts to.
type holders struct {
	byKey map[model.PartID][]holder
}

type holder struct {
	endpoint model.EndpointName
	used     time.Time
}

func newHolders() holders { return holders{byKey: make(map[model.PartID][]holder)} }

// note tells that an endpoint reads the parts.
func (h *holders) note(now time.Time, key model.PartID, name model.EndpointName) {
	list := h.byKey[key]
	for i := range list {
		if list[i].endpoint == name {
			list[i].used = now
			return
		}
	}
	if len(list) < maxHolders {
		h.makeRoom(now)
		h.byKey[key] = append(list, holder{endpoint: name, used: now})
		return
	}
	oldest := 0
	for i := range list {
		if list[i].used.Before(list[oldest].used) {
			oldest = i
		}
	}
	list[oldest] = holder{endpoint: name, used: now}
}

// makeRoom forgets keys that are no longer held when there are too many.
func (h *holders) makeRoom(now time.Time) {
	if len(h.byKey) < maxKeys {
		return
	}
	for key, list := range h.byKey {
		if len(list) == 0 || now.Sub(list[0].used) > holdFor {
			delete(h.byKey, key)
		}
	}
}

// forget drops an endpoint.
func (h *holders) forget(name model.EndpointName) {
	for key, list := range h.byKey {
		kept := list[:0]
		for _, entry := range list {
			if entry.endpoint != name {
				kept = append(kept, entry)
			}
		}
		h.byKey[key] = kept
	}
}

// home returns the endpoint where the parts of a key belong, by rendezvous
// hashing, so that all hosts agree without a message, and the endpoint that
// most likely has them now: the home, or the one that the home replaced.
func (b *Balancer) home(now time.Time, p *pool, key model.PartID) (home, source *endpoint) {
	if key == 0 || p.engine == nil {
		return nil, nil
	}
	var homeScore, sourceScore uint64
	for _, e := range p.endpoints {
		score := rendezvous(key, e)
		if e.usable(now) && (home == nil || score > homeScore) {
			home, homeScore = e, score
		}
		// A draining endpoint still hands on what it caches.
		if !now.Before(e.paused) && (source == nil || score > sourceScore) {
			source, sourceScore = e, score
		}
	}
	if known := b.lastHolder(now, key); known != nil && (source == nil || source == home) {
		return home, b.preferHome(now, key, home, known)
	}
	return home, source
}

// preferHome returns the home when this host has used it for the key, and
// else the endpoint that it has used.
func (b *Balancer) preferHome(now time.Time, key model.PartID, home, known *endpoint) *endpoint {
	for _, entry := range b.holders.byKey[key] {
		if home != nil && entry.endpoint == home.Name && now.Sub(entry.used) < holdFor {
			return home
		}
	}
	return known
}

// lastHolder returns the endpoint that this host sent the key to last.
func (b *Balancer) lastHolder(now time.Time, key model.PartID) *endpoint {
	var best *endpoint
	var used time.Time
	for _, entry := range b.holders.byKey[key] {
		e := b.endpoints[entry.endpoint]
		if e == nil || now.Before(e.paused) || now.Sub(entry.used) > holdFor {
			continue
		}
		if best == nil || entry.used.After(used) {
			best, used = e, entry.used
		}
	}
	return best
}

// rendezvous is the score of an endpoint for a key; the largest wins.
func rendezvous(key model.PartID, e *endpoint) uint64 {
	x := uint64(key) ^ e.hash
	// The finalizer of splitmix64 spreads the bits.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
