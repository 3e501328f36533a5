package platform

import (
	"slices"
	"sort"
	"sync"
	"time"
)

// announcement is an entry that a host wrote, with the time of the write.
type announcement struct {
	value []byte
	at    time.Time
}

// hosts is the host list, which shows changes late.
type hosts struct {
	expiry time.Duration

	mu sync.Mutex
	// byName holds each host's announcements, oldest first.
	byName map[string][]announcement
}

func newHosts(expiry time.Duration) *hosts {
	return &hosts{expiry: expiry, byName: map[string][]announcement{}}
}

// announce adds or renews a host's entry.
func (h *hosts) announce(name string, value []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byName[name] = append(h.byName[name], announcement{value: slices.Clone(value), at: time.Now()})
}

// list returns the host list as of lag ago, ordered by name.
func (h *hosts) list(lag time.Duration) []newestItem {
	h.mu.Lock()
	defer h.mu.Unlock()
	asOf := time.Now().Add(-lag)
	list := []newestItem{}
	for name, entries := range h.byName {
		entries = dropSuperseded(entries, asOf)
		h.byName[name] = entries
		first := entries[0]
		if !first.at.After(asOf) && asOf.Sub(first.at) < h.expiry {
			list = append(list, newestItem{Key: name, Value: first.value})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// dropSuperseded drops the announcements that were replaced by a later one at
// or before asOf. At least one remains.
func dropSuperseded(entries []announcement, asOf time.Time) []announcement {
	for len(entries) > 1 && !entries[1].at.After(asOf) {
		entries = entries[1:]
	}
	return entries
}
