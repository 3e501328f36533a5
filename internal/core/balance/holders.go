package balance

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// holdFor is the time for which an endpoint is expected to keep the parts of
	// a prompt after their last use.
	holdFor = 20 * time.Second
	// readFor bounds the time that an endpoint is expected to take to read parts.
	readFor = 5 * time.Second
	// maxHolders bounds the remembered endpoints of a key.
	maxHolders = 6
	// maxKeys bounds the remembered keys.
	maxKeys = 8192
	// maxMarks bounds the marks that are kept to be told.
	maxMarks = 4096
)

// Mark tells the other hosts that an endpoint holds the shared parts of a
// prompt, or has begun to read them.
type Mark struct {
	Key      model.PartID
	Endpoint model.EndpointName
	// Held says that the parts have been read.
	Held bool
}

// holders remembers which endpoints hold the shared parts of prompts, from the
// requests of this host and the marks of the others.
type holders struct {
	byKey map[model.PartID][]holder
	// marks are to be told, the first one has the number firstMark.
	marks     []toldMark
	firstMark int
}

type holder struct {
	endpoint model.EndpointName
	held     bool
	used     time.Time
}

// toldMark is a mark of this host, or of another one of its domain.
type toldMark struct {
	Mark
	own bool
}

func newHolders() holders { return holders{byKey: make(map[model.PartID][]holder)} }

// current says that the endpoint still holds the parts, or still reads them.
func (h holder) current(now time.Time) bool {
	if h.held {
		return now.Sub(h.used) < holdFor
	}
	return now.Sub(h.used) < readFor
}

// state tells what is known of an endpoint and a key.
func (h *holders) state(now time.Time, key model.PartID, name model.EndpointName) (held, reading bool) {
	for _, entry := range h.byKey[key] {
		if entry.endpoint == name && entry.current(now) {
			return entry.held, !entry.held
		}
	}
	return false, false
}

// granted notes that a request with the key goes to an endpoint, and tells the
// other hosts.
func (h *holders) granted(now time.Time, key model.PartID, name model.EndpointName) {
	held, _ := h.state(now, key, name)
	h.tell(now, Mark{Key: key, Endpoint: name, Held: held})
}

// read notes that an endpoint has read the parts, and tells the other hosts.
func (h *holders) read(now time.Time, key model.PartID, name model.EndpointName) {
	h.tell(now, Mark{Key: key, Endpoint: name, Held: true})
}

func (h *holders) tell(now time.Time, m Mark) {
	h.take(now, m)
	h.keepToTell(m, true)
}

// keepToTell keeps a mark for those who have not been told yet.
func (h *holders) keepToTell(m Mark, own bool) {
	h.marks = append(h.marks, toldMark{Mark: m, own: own})
	if len(h.marks) > maxMarks {
		over := len(h.marks) - maxMarks/2
		h.marks = append(h.marks[:0], h.marks[over:]...)
		h.firstMark += over
	}
}

// since returns the marks from a number on, and the number after them. Marks of
// other hosts are left out on demand.
func (h *holders) since(from int, ownOnly bool) ([]Mark, int) {
	var out []Mark
	for _, m := range h.marks[min(max(from-h.firstMark, 0), len(h.marks)):] {
		if m.own || !ownOnly {
			out = append(out, m.Mark)
		}
	}
	return out, h.firstMark + len(h.marks)
}

// take notes a mark. One that an endpoint reads does not undo that it holds.
func (h *holders) take(now time.Time, m Mark) {
	list := h.byKey[m.Key]
	for i := range list {
		if list[i].endpoint == m.Endpoint {
			list[i].held = m.Held || list[i].held && list[i].current(now)
			list[i].used = now
			return
		}
	}
	entry := holder{endpoint: m.Endpoint, held: m.Held, used: now}
	if len(list) < maxHolders {
		h.makeRoom(now)
		h.byKey[m.Key] = append(list, entry)
		return
	}
	oldest := 0
	for i := range list {
		if list[i].used.Before(list[oldest].used) {
			oldest = i
		}
	}
	list[oldest] = entry
}

// makeRoom forgets keys that are no longer held when there are too many.
func (h *holders) makeRoom(now time.Time) {
	if len(h.byKey) < maxKeys {
		return
	}
	for key, list := range h.byKey {
		if len(list) == 0 || !list[0].current(now) {
			delete(h.byKey, key)
		}
	}
}

// forget drops an endpoint.
func (h *holders) forget(name model.EndpointName) {
	for key, list := range h.byKey {
		h.byKey[key] = slices.DeleteFunc(list, func(entry holder) bool { return entry.endpoint == name })
	}
}

// whereabouts is what is known of the shared parts of a prompt.
type whereabouts struct {
	tokens int
	// home is where the parts belong by rendezvous hashing, so that all hosts
	// agree without a message.
	home *endpoint
	// source is the endpoint that used them last of those that hold them and can
	// hand them on, other the one before; nil for none.
	source, other *endpoint
	// reading says that an endpoint is about to hold them.
	reading bool
	// assumed says that the home likely holds them, although nobody told so.
	assumed bool
}

// locate finds the shared parts of a prompt.
func (b *Balancer) locate(now time.Time, p *pool, prompt *model.Prompt) whereabouts {
	key := prompt.SharedPrefixID()
	if key == 0 || p.engine == nil {
		return whereabouts{}
	}
	w := whereabouts{tokens: prompt.SharedPrefixTokens()}
	var best uint64
	for _, e := range p.endpoints {
		if score := rendezvous(key, e); e.usable(now) && (w.home == nil || score > best) {
			w.home, best = e, score
		}
	}
	w.assumed = b.opts.Warm && now.Sub(b.started) < holdFor
	var used, otherUsed time.Time
	for _, entry := range b.holders.byKey[key] {
		e := b.endpoints[entry.endpoint]
		if e == nil || now.Before(e.paused) || !entry.current(now) {
			continue
		}
		if !entry.held {
			w.reading = true
			continue
		}
		// A draining endpoint still hands on what it holds.
		switch {
		case w.source == nil || entry.used.After(used):
			w.other, otherUsed = w.source, used
			w.source, used = e, entry.used
		case w.other == nil || entry.used.After(otherUsed):
			w.other, otherUsed = e, entry.used
		}
	}
	return w
}

// besides returns an endpoint that likely holds the parts, other than the given
// one: its home for want of a better one. It returns nil for none.
func (w *whereabouts) besides(e *endpoint) *endpoint {
	for _, other := range []*endpoint{w.source, w.other, w.home} {
		if other != nil && other != e {
			return other
		}
	}
	return nil
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
