package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// The versions are those of the listed endpoints after any changes, outages and
// restorations.
func TestVersionsAreThoseOfEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New()
		now := time.Unix(1000, 0)
		entry := func() Entry {
			n := rapid.Int64Range(0, 4)
			return Entry{
				Name: model.EndpointName(fmt.Sprint(n.Draw(t, "name"))), Pool: model.PoolName(fmt.Sprint(n.Draw(t, "pool"))),
				Software: model.SoftwareVersion(fmt.Sprint(n.Draw(t, "software"))), Started: n.Draw(t, "started"), Sequence: n.Draw(t, "sequence"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":     func(*rapid.T) { d.Put(now, entry()) },
			"remove":  func(*rapid.T) { d.Remove(now, entry().Name) },
			"replace": func(*rapid.T) { d.Replace(now, []Entry{entry()}) },
			"restore": func(*rapid.T) { d.Restore(now, []Entry{entry()}) },
			"outage":  func(*rapid.T) { d.delayRemovals(now) },
			"expire":  func(*rapid.T) { now = now.Add(time.Second); d.Expire(now) },
			"": func(t *rapid.T) {
				want := make(versionCounts)
				for _, e := range d.Entries() {
					want.add(e, 1)
				}
				must.Eq(t, want, d.versions)
				must.Len(t, len(want), d.Versions())
			},
		})
	})
}
