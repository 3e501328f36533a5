package peergrpc

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/resume"
)

func TestStreamBeginsAreKeptWhole(t *testing.T) {
	v1, v2 := resume.Origin{Pool: "p", Software: "v1"}, resume.Origin{Pool: "p", Software: "v2"}
	begins := []resume.Begin{{Stream: 1 << 63, Origin: v1}, {Stream: 2, Origin: v2}, {Stream: 3, Origin: v1}}
	must.SliceContainsAll(t, begins, beginsFromWire(beginsToWire(begins)))
	must.Len(t, 2, beginsToWire(begins))
}
