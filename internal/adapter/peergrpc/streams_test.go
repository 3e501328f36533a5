package peergrpc

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func TestStreamBeginsAreKeptWhole(t *testing.T) {
	v1, v2 := resume.Origin{Pool: "p", Software: "v1"}, resume.Origin{Pool: "p", Software: "v2"}
	begins := []resume.Begin{{Stream: 1 << 63, Origin: v1}, {Stream: 2, Origin: v2}, {Stream: 3, Origin: v1}}
	must.SliceContainsAll(t, begins, beginsFromWire(beginsToWire(begins)))
	must.Len(t, 2, beginsToWire(begins))
}

// A host that is not certain of a version reports who wrote the streams, in a field of its own:
// an older host takes nothing from it.
func TestSourcesOfStreamsArriveUnchanged(t *testing.T) {
	sent := port.LoadDigest{StreamSources: []resume.SourcedStreams{{
		Streams: []resume.StreamID{1, 2},
		Source:  resume.Source{Pool: "p", Endpoint: "e", RunningAt: time.UnixMilli(1000), BeganAt: time.UnixMilli(2000)},
	}}}
	wire := loadDigestToWire(sent)
	must.SliceEmpty(t, wire.GetStreamBegins())
	must.Eq(t, sent.StreamSources, loadDigestFromWire(wire).StreamSources)
}

func TestEchoOfADigestCrossesTheWire(t *testing.T) {
	sent := port.LoadDigest{SentAt: 3 * time.Second, Echo: port.DigestEcho{Incarnation: 7, SentAt: time.Minute, ReceivedAt: 2 * time.Second}}
	got := loadDigestFromWire(loadDigestToWire(sent))
	must.Eq(t, sent.SentAt, got.SentAt)
	must.Eq(t, sent.Echo, got.Echo)
	must.Nil(t, loadDigestToWire(port.LoadDigest{SentAt: time.Second}).GetEcho())
}
