package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The paths from a client to an engine that the benchmarks compare.
const (
	pathDirect = "direct"
	// pathBareRelay leads through a relay that only copies events.
	pathBareRelay = "bare"
	pathHost      = "host"
)

// streamTokens returns a handler that responds to a chat call with that many
// events, each sent after a pause and flushed separately.
func streamTokens(tokens int, pause time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != chatPath {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		ticker := time.NewTicker(max(pause, time.Nanosecond))
		defer ticker.Stop()
		for range tokens {
			if pause > 0 {
				<-ticker.C
			}
			fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token\"}}]}\n\n")
			if control.Flush() != nil {
				return
			}
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
}

// bareRelay returns a handler that copies an engine's events to the client and
// flushes each separately.
func bareRelay(engine string, client *http.Client) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		res, err := client.Post(engine+r.URL.Path, "application/json", bytes.NewReader(body))
		if err != nil {
			return
		}
		defer res.Body.Close()
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		lines := bufio.NewReader(res.Body)
		for {
			event, err := lines.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(event) > 1 {
				w.Write(append(event, '\n'))
			}
			if len(event) > 1 && control.Flush() != nil {
				return
			}
		}
	})
}

// targetURL returns the URL that a benchmark sends its requests to.
func (f *fixture) targetURL(path string) string {
	switch path {
	case pathDirect:
		return f.engines[0].URL
	case pathBareRelay:
		relay := httptest.NewServer(bareRelay(f.engines[0].URL, f.client))
		f.t.Cleanup(relay.Close)
		return relay.URL
	default:
		return f.url
	}
}

// readStream sends one chat call and reads the response to its end.
func (f *fixture) readStream(url string) {
	req := f.request(context.Background(), chatPath, chatBody("bench", 1, true), nil)
	target, err := http.NewRequest(http.MethodPost, url+chatPath, req.Body)
	must.NoError(f.t, err)
	target.Header = req.Header
	res, err := f.client.Do(target)
	must.NoError(f.t, err)
	defer res.Body.Close()
	var answer strings.Builder
	_, err = io.Copy(&answer, res.Body)
	must.NoError(f.t, err)
	must.StrHasSuffix(f.t, "[DONE]\n\n", answer.String())
}

// BenchmarkRelayToken sends one stream of b.N tokens as fast as possible. Client,
// engine and host run in one process, so that the difference to the direct path
// is the cost of the relay.
func BenchmarkRelayToken(b *testing.B) {
	for _, path := range []string{pathDirect, pathBareRelay, pathHost} {
		b.Run(path, func(b *testing.B) {
			f := newBenchFixture(b, streamTokens(b.N, 0))
			url := f.targetURL(path)
			b.ReportAllocs()
			b.ResetTimer()
			f.readStream(url)
		})
	}
}

// BenchmarkRelayPaced opens many streams whose tokens are sent one by one. It
// reports the CPU time per token of the whole process: client, engine and the
// relay between them.
func BenchmarkRelayPaced(b *testing.B) {
	const (
		streams = 400
		tokens  = 50
		pause   = 20 * time.Millisecond
	)
	for _, path := range []string{pathDirect, pathBareRelay, pathHost} {
		b.Run(path, func(b *testing.B) {
			f := newBenchFixture(b, streamTokens(tokens, pause))
			url := f.targetURL(path)
			b.ResetTimer()
			before := processTime(b)
			for range b.N {
				var open sync.WaitGroup
				for range streams {
					open.Go(func() { f.readStream(url) })
				}
				open.Wait()
			}
			spent := processTime(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N*streams*tokens), "cpu-us/token")
		})
	}
}

// processTime returns the CPU time that this process has used.
func processTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFirstToken opens 500 streams per second, each two seconds long, so
// that about 1,000 are open at once. It reports the time to the first token.
func BenchmarkFirstToken(b *testing.B) {
	const (
		rate    = 500
		seconds = 4
		tokens  = 40
		pause   = 50 * time.Millisecond
	)
	for _, path := range []string{pathDirect, pathBareRelay, pathHost} {
		b.Run(path, func(b *testing.B) {
			f := newBenchFixture(b, streamTokens(tokens, pause))
			url := f.targetURL(path)
			times := make(chan time.Duration, b.N*rate*seconds)
			b.ResetTimer()
			for range b.N {
				var open sync.WaitGroup
				ticker := time.NewTicker(time.Second / rate)
				for range rate * seconds {
					<-ticker.C
					open.Go(func() { times <- f.timeToFirstToken(url) })
				}
				ticker.Stop()
				open.Wait()
			}
			close(times)
			reportPercentiles(b, times, pause)
		})
	}
}

// timeToFirstToken reads a stream to its end and returns the time to its first byte.
func (f *fixture) timeToFirstToken(url string) time.Duration {
	started := time.Now()
	req, err := http.NewRequest(http.MethodPost, url+chatPath, strings.NewReader(chatBody("bench", 1, true)))
	must.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	res, err := f.client.Do(req)
	must.NoError(f.t, err)
	defer res.Body.Close()
	lines := bufio.NewReader(res.Body)
	_, err = lines.ReadString('\n')
	must.NoError(f.t, err)
	first := time.Since(started)
	_, err = io.Copy(io.Discard, lines)
	must.NoError(f.t, err)
	return first
}

// reportPercentiles reports the median and the 99th percentile of the times less
// the time of the engine.
func reportPercentiles(b *testing.B, times <-chan time.Duration, engine time.Duration) {
	var all []time.Duration
	for d := range times {
		all = append(all, d-engine)
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkStreamMemory holds streams open and reports the memory per stream of
// the whole process: heap and stacks after a garbage collection. The difference
// between host and direct is the memory of the host.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 1000
	for _, path := range []string{pathDirect, pathBareRelay, pathHost} {
		b.Run(path, func(b *testing.B) {
			f := newBenchFixture(b, streamTokens(2, 3*time.Second))
			url := f.targetURL(path)
			for range b.N {
				before := memoryInUse()
				var open sync.WaitGroup
				for range streams {
					open.Go(func() { f.timeToFirstToken(url) })
				}
				<-time.After(4500 * time.Millisecond)
				b.ReportMetric(float64(memoryInUse()-before)/streams/1024, "KiB/stream")
				open.Wait()
			}
		})
	}
}

// memoryInUse returns the size of heap and stacks after a garbage collection, in
// bytes.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
