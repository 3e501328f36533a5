package platform

import (
	"slices"
	"sort"
	"sync"
	"time"
)

// announcement is what a host said of itself, and when.
type announcement struct {
	value []byte
	at    time.Time
}

// hosts is the lagging host list.
type hosts struct {
	expiry time.Duration

	mu sync.Mutex
	// byName holds each host's announcements in order of time.
	byName map[string][]announcement
}

func newHosts(expiry time.Duration) *hosts {
	return &hosts{expiry: expiry, byName: map[string][]announcement{}}
}

// announce adds or renews an entry.
func (h *hosts) announce(name string, value []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byName[name] = append(h.byName[name], announcement{value: slices.Clone(value), at: time.Now()})
}

// list returns the list as it was lag ago, ordered by name.
func (h *hosts) list(lag time.Duration) []newestItem {
	h.mu.Lock()
	defer h.mu.Unlock()
	asOf := time.Now().Add(-lag)
	list := []newestItem{}
	for name, said := range h.byName {
		said = dropSuperseded(said, asOf)
		h.byName[name] = said
		first := said[0]
		if !first.at.After(asOf) && asOf.Sub(first.at) < h.expiry {
			list = append(list, newestItem{Key: name, Value: first.value})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// dropSuperseded drops announcements that a later one, itself not after asOf,
// replaces. At least one remains.
func dropSuperseded(said []announcement, asOf time.Time) []announcement {
	for len(said) > 1 && !said[1].at.After(asOf) {
		said = said[1:]
	}
	return said
}
