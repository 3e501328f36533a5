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

// The ways from a client to an engine that the benchmarks compare.
const (
	wayDirect = "direct"
	// wayBare goes through a relay that copies events and decides nothing.
	wayBare = "bare"
	wayHost = "host"
)

// streamTokens answers a chat call with that many events, each flushed alone
// and sent after a pause.
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

// bareRelay copies an engine's events to the client, each flushed alone.
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

// relayURL is where a benchmark's requests go.
func (f *fixture) relayURL(way string) string {
	switch way {
	case wayDirect:
		return f.engines[0].URL
	case wayBare:
		relay := httptest.NewServer(bareRelay(f.engines[0].URL, f.client))
		f.t.Cleanup(relay.Close)
		return relay.URL
	default:
		return f.url
	}
}

// readStream sends one chat call and reads its answer to the end.
func (f *fixture) readStream(url string) {
	req := f.request(context.Background(), chatPath, chat("bench", 1, true), nil)
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

// BenchmarkRelayToken sends one stream of b.N tokens as fast as it goes.
// Client, engine and host run in one process, so the difference to the direct
// way is the cost of the relay.
func BenchmarkRelayToken(b *testing.B) {
	for _, way := range []string{wayDirect, wayBare, wayHost} {
		b.Run(way, func(b *testing.B) {
			f := newBenchFixture(b, streamTokens(b.N, 0))
			url := f.relayURL(way)
			b.ReportAllocs()
			b.ResetTimer()
			f.readStream(url)
		})
	}
}

// BenchmarkRelayPaced opens many streams whose tokens come one by one. It
// reports the processor time a token of the whole process: client, engine and
// what lies between.
func BenchmarkRelayPaced(b *testing.B) {
	const (
		streams = 400
		tokens  = 50
		pause   = 20 * time.Millisecond
	)
	for _, way := range []string{wayDirect, wayBare, wayHost} {
		b.Run(way, func(b *testing.B) {
			f := newBenchFixture(b, streamTokens(tokens, pause))
			url := f.relayURL(way)
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

// processTime is the processor time that this process has used.
func processTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFirstToken opens streams at 500 a second, each two seconds long, so
// that about 1,000 are open at once. It reports the time to the first token.
func BenchmarkFirstToken(b *testing.B) {
	const (
		rate    = 500
		seconds = 4
		tokens  = 40
		pause   = 50 * time.Millisecond
	)
	for _, way := range []string{wayDirect, wayBare, wayHost} {
		b.Run(way, func(b *testing.B) {
			f := newBenchFixture(b, streamTokens(tokens, pause))
			url := f.relayURL(way)
			times := make(chan time.Duration, b.N*rate*seconds)
			b.ResetTimer()
			for range b.N {
				var open sync.WaitGroup
				ticker := time.NewTicker(time.Second / rate)
				for range rate * seconds {
					<-ticker.C
					open.Go(func() { times <- f.firstToken(url) })
				}
				ticker.Stop()
				open.Wait()
			}
			close(times)
			reportTimes(b, times, pause)
		})
	}
}

// firstToken reads a stream to its end and returns the time to its first byte.
func (f *fixture) firstToken(url string) time.Duration {
	started := time.Now()
	req, err := http.NewRequest(http.MethodPost, url+chatPath, strings.NewReader(chat("bench", 1, true)))
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

// reportTimes reports the median and the 99th percentile less the engine's
// own time.
func reportTimes(b *testing.B, times <-chan time.Duration, engine time.Duration) {
	var all []time.Duration
	for d := range times {
		all = append(all, d-engine)
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkStreamMemory holds streams open and reports the memory of the whole
// process for each, heap and stacks after a collection. The difference of host
// and direct is the host's.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 1000
	for _, way := range []string{wayDirect, wayBare, wayHost} {
		b.Run(way, func(b *testing.B) {
			f := newBenchFixture(b, streamTokens(2, 3*time.Second))
			url := f.relayURL(way)
			for range b.N {
				before := memory()
				var open sync.WaitGroup
				for range streams {
					open.Go(func() { f.firstToken(url) })
				}
				<-time.After(4500 * time.Millisecond)
				b.ReportMetric(float64(memory()-before)/streams/1024, "KiB/stream")
				open.Wait()
			}
		})
	}
}

// memory is the heap and stacks in use after a collection, in bytes.
func memory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
