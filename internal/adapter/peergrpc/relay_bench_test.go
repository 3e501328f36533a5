package peergrpc

import (
	"context"
	"net"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// ignoredLoads ignores all digests.
type ignoredLoads struct{ port.LoadHandler }

func (ignoredLoads) HandleDigest(port.LoadDigest) {}

// BenchmarkRelayFanOut sends a digest with the load at 1,600 endpoints to 49 hosts, as a
// relay of a large failure domain does, and reports the peak of the heap of all 50.
func BenchmarkRelayFanOut(b *testing.B) {
	client, err := NewClient(secret)
	must.NoError(b, err)
	defer client.Close()
	var streams []port.LoadStream
	for range 49 {
		s, err := NewLoadServer(secret, ignoredLoads{})
		must.NoError(b, err)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(b, err)
		served := make(chan error, 1)
		go func() { served <- s.Serve(listener) }()
		defer func() {
			s.Shutdown(context.Background())
			must.NoError(b, <-served)
		}()
		stream, err := client.OpenLoadStream(b.Context(), listener.Addr().String())
		must.NoError(b, err)
		defer stream.Close()
		streams = append(streams, stream)
	}
	digest := digestOf(1600)
	peak := uint64(0)
	for b.Loop() {
		sent := make(chan error, len(streams))
		for _, s := range streams {
			go func() { sent <- s.Send(digest) }()
		}
		for range streams {
			must.NoError(b, <-sent)
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
	}
	b.ReportMetric(float64(peak)/(1<<20), "peak-MB")
}
