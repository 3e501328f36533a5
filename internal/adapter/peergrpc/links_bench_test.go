package peergrpc

import (
	"context"
	"net"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// BenchmarkLinks opens streams of digests from 300 hosts to one, as seeds have while a fleet
// starts, and reports the memory of both ends of a link.
func BenchmarkLinks(b *testing.B) {
	const links = 300
	s, err := NewLoadServer(secret, ignoredLoads{})
	must.NoError(b, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Shutdown(ctx)
		must.NoError(b, <-served)
	}()
	before := usedMemory()
	var streams []port.LoadStream
	for range links {
		client, err := NewClient(secret)
		must.NoError(b, err)
		defer client.Close()
		stream, err := client.OpenLoadStream(b.Context(), listener.Addr().String())
		must.NoError(b, err)
		defer stream.Close()
		streams = append(streams, stream)
	}
	digest := digestOf(10)
	for b.Loop() {
		for _, stream := range streams {
			must.NoError(b, stream.Send(digest))
		}
	}
	b.ReportMetric(float64(usedMemory()-before)/1024/links, "KB/link")
}

// usedMemory returns the bytes of objects and stacks in use.
func usedMemory() uint64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
