package peergrpc

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func TestCrashReportsAreKeptWhole(t *testing.T) {
	want := port.CrashReport{
		ID: 1 << 63, Endpoint: model.Instance{Name: "e", Started: 9}, Parts: []model.PartID{3, 1 << 62}, Age: time.Second,
		Request: 1 << 61, Generation: 2,
	}
	must.Eq(t, want, crashFromWire(crashToWire(want)))
	suspects := []port.SuspectAge{
		{Suspect: quarantine.Part(1 << 63), Crashes: quarantine.CrashesToQuarantine, Age: time.Minute},
		{Suspect: quarantine.Request(1 << 62), Crashes: 2, Age: time.Second},
	}
	must.Eq(t, suspects, suspectsFromWire(suspectsToWire(suspects)))
}

func TestListChangesKeepTheirOffsets(t *testing.T) {
	want := port.ListChanges{
		After: model.Position{Era: 2, Offset: 5}, UpTo: model.Position{Era: 2, Offset: 9},
		Records: []port.ListRecord{
			{At: 6, Name: "a", Entry: directory.Entry{Name: "a", Pool: "p", Address: "127.0.0.1:1", Domain: "d", Slots: 4, Started: 7, Sequence: 8}},
			{At: 8, Name: "b", Removed: true, Entry: directory.Entry{Name: "b"}},
		},
	}
	must.Eq(t, want, changesFromWire(changesToWire(want)))
}
