package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// streamTokens answers a chat call with that many events, each flushed alone
// and as fast as it can.
func streamTokens(tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != chatPath {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for range tokens {
			fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token\"}}]}\n\n")
			if control.Flush() != nil {
				return
			}
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
}

// BenchmarkRelayToken compares a token sent straight from an engine with one
// relayed by a host. The difference of both is the host's cost; client, engine
// and host run in one process.
func BenchmarkRelayToken(b *testing.B) {
	for _, way := range []string{"direct", "host"} {
		b.Run(way, func(b *testing.B) {
			f := newBenchFixture(b, streamTokens(b.N))
			url := f.engines[0].URL
			if way == "host" {
				url = f.url
			}
			b.ReportAllocs()
			b.ResetTimer()
			req := f.request(context.Background(), chatPath, chat("bench", b.N, true), nil)
			target, err := http.NewRequest(http.MethodPost, url+chatPath, req.Body)
			must.NoError(b, err)
			target.Header = req.Header
			res, err := f.client.Do(target)
			must.NoError(b, err)
			defer res.Body.Close()
			_, err = io.Copy(io.Discard, bufio.NewReader(res.Body))
			must.NoError(b, err)
		})
	}
}
