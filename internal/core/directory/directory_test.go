package directory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// entry returns an entry of the pool p.
func entry(name string) directory.Entry {
	return directory.Entry{Name: model.EndpointName(name), Pool: "p", Address: "127.0.0.1:1", Slots: 4, Started: 1}
}

// filled returns a directory with the named entries.
func filled(now time.Time, names ...string) *directory.Directory {
	d := directory.New()
	d.RecordStoreRead(now, now)
	for _, name := range names {
		d.Put(now, entry(name))
	}
	return d
}

func TestPutReturnsChangesOnly(t *testing.T) {
	d := filled(at(0), "a")
	_, changed := d.Put(at(0), entry("a"))
	must.False(t, changed)
	restarted := entry("a")
	restarted.Started = 2
	change, changed := d.Put(at(0), restarted)
	must.True(t, changed)
	must.True(t, change.Restarted)
	restarted.Draining = true
	change, _ = d.Put(at(0), restarted)
	must.False(t, change.Restarted)
}

func TestRemoveTakesEffectAtOnce(t *testing.T) {
	d := filled(at(0), "a")
	d.RecordStoreRead(at(time.Second), at(time.Second))
	change, changed := d.Remove(at(time.Second), "a")
	must.True(t, changed)
	must.True(t, change.Removed)
	must.Eq(t, 0, d.Len())
}

// After an outage of the store, the entries of live endpoints return within 2
// s, so removals must be delayed by that time.
func TestRemovalsAfterOutageAreDelayed(t *testing.T) {
	d := filled(at(0), "returning", "dead", "draining")
	leaving := entry("draining")
	leaving.Draining = true
	d.Put(at(0), leaving)
	d.RecordReadFailure()
	d.RecordStoreRead(at(10*time.Second), at(10*time.Second))
	for _, name := range []model.EndpointName{"returning", "dead"} {
		_, changed := d.Remove(at(10*time.Second), name)
		must.False(t, changed)
	}
	_, changed := d.Remove(at(10*time.Second), "draining")
	must.True(t, changed, must.Sprint("a draining endpoint does not return"))
	d.Put(at(10*time.Second), entry("returning"))
	must.SliceEmpty(t, d.Expire(at(11*time.Second)))
	gone := d.Expire(at(12 * time.Second))
	must.Len(t, 1, gone)
	must.Eq(t, "dead", gone[0].Entry.Name)
	must.Eq(t, 1, d.Len())
}

// Nobody has read the store for a while, but it has answered all the while.
func TestRemovalsAfterPauseWithoutFailuresTakeEffectAtOnce(t *testing.T) {
	d := filled(at(0), "a")
	d.RecordReadFailure()
	d.RecordStoreRead(at(time.Second), at(time.Second))
	d.RecordStoreRead(at(10*time.Second), at(10*time.Second))
	_, changed := d.Remove(at(10*time.Second), "a")
	must.True(t, changed)
}

// The store turns one host away, and hosts learn of the reads of others 2.2 s apart.
func TestReadsThatFailAtOneHostDelayNoRemovals(t *testing.T) {
	d := filled(at(0), "a")
	for i := range 5 {
		d.RecordReadFailure()
		d.RecordStoreRead(at(time.Duration(i)*2200*time.Millisecond), at(time.Duration(i)*2200*time.Millisecond))
	}
	_, changed := d.Remove(at(9*time.Second), "a")
	must.True(t, changed)
}

func TestReplaceRemovesUnlistedEntries(t *testing.T) {
	d := filled(at(0), "a", "b")
	d.RecordStoreRead(at(time.Second), at(time.Second))
	changes := d.Replace(at(time.Second), []directory.Entry{entry("b"), entry("c")})
	must.Len(t, 2, changes)
	must.Eq(t, 2, d.Len())
}

// In any order of reads, changes and outages: an endpoint that was last put
// must be listed, and one whose last change was a removal longer than the grace
// time ago must not be.
func TestDirectoryReflectsLastChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory.New()
		now := at(0)
		last := map[model.EndpointName]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			name := model.EndpointName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
			if rapid.Bool().Draw(t, "failed") {
				d.RecordReadFailure()
			}
			d.RecordStoreRead(now, now)
			if rapid.Bool().Draw(t, "put") {
				d.Put(now, entry(string(name)))
				last[name] = "put"
			} else {
				d.Remove(now, name)
				last[name] = "removed"
			}
			d.Expire(now)
		}
		now = now.Add(3 * time.Second)
		d.Expire(now)
		want := 0
		for _, change := range last {
			if change == "put" {
				want++
			}
		}
		must.Eq(t, want, d.Len())
	})
}

func TestSuccessorIsALaterStartOfTheNameOrAtTheAddress(t *testing.T) {
	entry := func(name model.EndpointName, address string, started int64) directory.Entry {
		return directory.Entry{Name: name, Pool: "p", Address: address, Started: started}
	}
	for _, c := range []struct {
		name   string
		listed []directory.Entry
		want   bool
	}{
		{"the endpoint itself", []directory.Entry{entry("e", "a", 5)}, false},
		{"removed", nil, false},
		{"restarted", []directory.Entry{entry("e", "b", 6)}, true},
		{"an older entry of the name", []directory.Entry{entry("e", "a", 4)}, false},
		{"another one at the address", []directory.Entry{entry("f", "a", 6)}, true},
		{"one that was at the address before", []directory.Entry{entry("f", "a", 4)}, false},
		{"another one elsewhere", []directory.Entry{entry("f", "b", 6)}, false},
	} {
		d := directory.New()
		for _, e := range c.listed {
			d.Put(time.Unix(1000, 0), e)
		}
		must.Eq(t, c.want, d.HasSuccessor(model.Instance{Name: "e", Started: 5}, "a"), must.Sprint(c.name))
	}
}
