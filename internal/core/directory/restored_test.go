package directory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// published returns the entry of an endpoint's start with a count of its writes.
func published(name string, started, sequence int64) directory.Entry {
	e := entry(name)
	e.Started, e.Sequence = started, sequence
	return e
}

// draining returns the entry as draining.
func draining(e directory.Entry) directory.Entry {
	e.Draining = true
	return e
}

// isListed reports whether a list has an endpoint, also if its removal is delayed.
func isListed(d *directory.Directory, name model.EndpointName) bool {
	_, listed := d.Lookup(name)
	return listed
}

// The copy from which the store was restored shows an endpoint as ready that has
// drained since, another as it was before its restart, and lacks a third one that
// has started since. None of them changes until it publishes again.
func TestRestoredListKeepsNewerEntries(t *testing.T) {
	d := directory.New()
	d.RecordStoreRead(at(0), at(0))
	d.Put(at(0), draining(published("leaving", 1, 9)))
	d.Put(at(0), published("restarted", 2, 1))
	d.Put(at(0), published("new", 1, 1))
	must.SliceEmpty(t, d.Restore(at(time.Second), []directory.Entry{published("leaving", 1, 7), published("restarted", 1, 50)}))
	d.RecordStoreRead(at(2*time.Second), at(2*time.Second))
	must.SliceEmpty(t, d.Expire(at(2*time.Second)))
	must.True(t, isListed(d, "new"))
	_, changed := d.Put(at(2*time.Second), published("new", 1, 2))
	must.False(t, changed)
	must.SliceEmpty(t, d.Expire(at(3100*time.Millisecond)))
	must.Eq(t, []directory.Entry{draining(published("leaving", 1, 9)), published("new", 1, 2), published("restarted", 2, 1)}, d.Entries())
}

// An endpoint that has started since the copy was made and does not publish again
// is gone.
func TestEndpointMissingInRestoredListIsRemovedAfterGrace(t *testing.T) {
	d := filled(at(0), "gone")
	d.Restore(at(time.Second), nil)
	must.SliceEmpty(t, d.Expire(at(2900*time.Millisecond)))
	must.Len(t, 1, d.Expire(at(3*time.Second)))
}

// The copy lists an endpoint that was removed. It gets no requests: the store
// removes its entry again after some missed status reports.
func TestRemovedEndpointIsNotRevivedByRestoredList(t *testing.T) {
	d := directory.New()
	d.RecordStoreRead(at(0), at(0))
	d.Put(at(0), published("a", 1, 5))
	d.Remove(at(time.Second), "a")
	must.SliceEmpty(t, d.Restore(at(2*time.Second), []directory.Entry{published("a", 1, 4)}))
	must.SliceEmpty(t, d.Entries())
	d.Remove(at(6*time.Second), "a")
	d.RecordStoreRead(at(8*time.Second), at(8*time.Second))
	must.SliceEmpty(t, d.Expire(at(8*time.Second)))
	must.SliceEmpty(t, d.Entries())
}

// A host takes over a list whose sender withholds an entry. It does not use the entry
// either, whatever it knows itself, until it is published anew or accepted.
func TestWithheldEntriesOfOtherHostsAreNotUsed(t *testing.T) {
	for _, known := range []string{"nothing", "the entry", "the removal", "a newer entry"} {
		d := directory.New()
		d.RecordStoreRead(at(0), at(0))
		switch known {
		case "the entry":
			d.Put(at(0), published("a", 1, 4))
		case "the removal":
			d.Put(at(0), published("a", 1, 5))
			d.Remove(at(0), "a")
		case "a newer entry":
			d.Put(at(0), published("a", 2, 1))
		}
		d.Restore(at(time.Second), nil, published("a", 1, 4))
		must.Eq(t, known == "a newer entry", isListed(d, "a"), must.Sprint(known))
		if known == "a newer entry" {
			continue
		}
		must.Eq(t, []directory.Entry{published("a", 1, 4)}, d.Withheld())
		d.Put(at(2*time.Second), published("a", 1, 4))
		must.False(t, isListed(d, "a"), must.Sprintf("%s, published as before", known))
		d.RecordStoreRead(at(8*time.Second), at(8*time.Second))
		must.Len(t, 1, d.Expire(at(8*time.Second)), must.Sprint(known))
		must.True(t, isListed(d, "a"), must.Sprint(known))
	}
}

// A complete list that lacks a withheld entry shows that the store has removed it.
func TestWithheldEntryIsDroppedByCompleteList(t *testing.T) {
	d := directory.New()
	d.RecordStoreRead(at(0), at(0))
	d.Put(at(0), published("a", 1, 5))
	d.Remove(at(0), "a")
	d.Restore(at(time.Second), []directory.Entry{published("a", 1, 4)})
	must.True(t, d.IsWithheld("a"))
	d.Replace(at(5*time.Second), nil)
	d.RecordStoreRead(at(9*time.Second), at(9*time.Second))
	must.SliceEmpty(t, d.Expire(at(9*time.Second)))
	must.SliceEmpty(t, d.Entries())
}

// The entry of a live endpoint lapsed before the restoration. It is used again
// once the endpoint publishes, or once the store has kept listing it for longer
// than a silent endpoint would be.
func TestLiveEndpointReturnsAfterRestoration(t *testing.T) {
	d := directory.New()
	d.RecordStoreRead(at(0), at(0))
	for _, name := range []string{"publishes", "unchanged"} {
		d.Put(at(0), published(name, 1, 5))
		d.Remove(at(time.Second), model.EndpointName(name))
	}
	d.Restore(at(2*time.Second), []directory.Entry{published("publishes", 1, 4), published("unchanged", 1, 4)})
	_, changed := d.Put(at(3*time.Second), published("publishes", 1, 6))
	must.True(t, changed)
	must.SliceEmpty(t, d.Expire(at(7*time.Second)), must.Sprint("the store was not read since"))
	d.RecordStoreRead(at(7*time.Second), at(7*time.Second))
	must.Len(t, 1, d.Expire(at(7*time.Second)))
	must.Eq(t, 2, d.Len())
}

// An endpoint that reports that it is leaving gets no more requests, whatever its
// entry says, until it has restarted.
func TestLeavingReportOutlivesEntries(t *testing.T) {
	d := directory.New()
	d.RecordStoreRead(at(0), at(0))
	d.Put(at(0), published("a", 1, 1))
	change, changed := d.MarkLeaving(model.Instance{Name: "a", Started: 1})
	must.True(t, changed)
	must.True(t, change.Entry.Draining)
	_, changed = d.MarkLeaving(model.Instance{Name: "a", Started: 1})
	must.False(t, changed, must.Sprint("a repeated report changes nothing"))
	moved := published("a", 1, 2)
	moved.Slots = 9
	change, changed = d.Put(at(time.Second), moved)
	must.True(t, changed)
	must.True(t, change.Entry.Draining, must.Sprint("an entry that is ready does not clear the report"))
	d.Remove(at(2*time.Second), "a")
	d.Expire(at(2 * time.Second))
	change, _ = d.Put(at(3*time.Second), published("a", 1, 3))
	must.True(t, change.Entry.Draining, must.Sprint("its entry had lapsed"))
	change, _ = d.Put(at(4*time.Second), published("a", 2, 1))
	must.False(t, change.Entry.Draining, must.Sprint("it has restarted"))
	d.Expire(at(4 * time.Second))
	must.SliceEmpty(t, d.Leaving())
}

// Reports of endpoints that are unknown, or that have restarted since, are ignored.
// Otherwise, hosts would repeat them to each other for ever.
func TestLeavingReportsOfUnknownInstancesAreIgnored(t *testing.T) {
	d := directory.New()
	d.Put(at(0), published("a", 2, 1))
	for _, instance := range []model.Instance{{Name: "b", Started: 1}, {Name: "a", Started: 1}} {
		_, changed := d.MarkLeaving(instance)
		must.False(t, changed)
	}
	must.SliceEmpty(t, d.Leaving())
}
