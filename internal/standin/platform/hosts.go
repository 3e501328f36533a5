package platform

import (
	"sort"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/adapter/platformhttp/wire"
)

// announcement is what a host said of itself, and when.
type announcement struct {
	host wire.Host
	at   time.Time
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
func (h *hosts) announce(host wire.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byName[host.Name] = append(h.byName[host.Name], announcement{host: host, at: time.Now()})
}

// list returns the list as it was lag ago, ordered by name.
func (h *hosts) list(lag time.Duration) []wire.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	asOf := time.Now().Add(-lag)
	list := []wire.Host{}
	for name, said := range h.byName {
		said = dropSuperseded(said, asOf)
		h.byName[name] = said
		first := said[0]
		if !first.at.After(asOf) && asOf.Sub(first.at) < h.expiry {
			list = append(list, first.host)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
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
