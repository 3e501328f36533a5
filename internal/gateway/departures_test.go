package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
)

// The end of an endpoint that has announced it is no evidence against the requests there.
func TestAnAnnouncedEndIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration
		crashes bool
	}{
		{"long before the end", time.Second, true},
		{"at the end, as far as known", 1800 * time.Millisecond, false},
		{"after the end", 3 * time.Second, false},
		{"reclaimed, at an unknown time", 3 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			host := f.hosts["h-0-0"]
			entry := directory.Entry{Name: "e", Pool: "p", Address: "a", Domain: "d0", Started: 7, Draining: true, Reclaimable: true}
			if !strings.Contains(c.name, "unknown") {
				entry.Leaves = 2500 * time.Millisecond
			}
			host.directory.Put(f.now, entry)
			at := f.now.Add(c.after)
			host.recordCrash(at, quarantine.Crash{ID: 1, Endpoint: model.Instance{Name: "e", Started: 7}, Request: 5, At: at, Generation: 1})
			must.Eq(t, c.crashes, host.quarantine.IsWatching())
		})
	}
}
