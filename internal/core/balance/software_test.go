package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// A host that is cut off has no newer list, however much time has passed since the crash.
func TestVersionOfCrashedEndpointIsUncertainUntilTheListShowsIt(t *testing.T) {
	b := newFixture(0)
	b.Apply(directory.Change{Entry: directory.Entry{Name: "e", Pool: "services", Address: "e", Domain: "north", Slots: 4, Started: 1, Software: "v1"}})
	isPlaced := func(now time.Duration) bool {
		req := balance.Request{Pool: "services", Software: "v1"}
		id, d := b.submit(at(now), req)
		b.Finish(at(now), id, balance.Result{})
		return !d.IsRefused()
	}
	b.RecordListRead(at(0))
	must.True(t, isPlaced(0))
	b.RecordCrash(at(time.Second), at(time.Second), model.Instance{Name: "e", Started: 1})
	must.False(t, isPlaced(2*time.Second))
	must.False(t, isPlaced(time.Minute), must.Sprint("no newer list"))
	b.RecordListRead(at(2 * time.Second))
	must.False(t, isPlaced(time.Minute), must.Sprint("the list was read too early to show a restart"))
	b.RecordListRead(at(5 * time.Second))
	must.True(t, isPlaced(time.Minute))
	b.RecordListRead(at(2 * time.Second))
	must.True(t, isPlaced(time.Minute), must.Sprint("an older read"))
}
