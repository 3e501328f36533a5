package peergrpc

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// digestOf returns the digest of a host with load at the given number of
// endpoints.
func digestOf(endpoints int) port.LoadDigest {
	d := port.LoadDigest{Host: "front-luzon-a-1", Domain: "luzon-a", Address: "10.1.0.40:8229", Incarnation: 1 << 60, Version: 40}
	for i := range endpoints {
		l := balance.EndpointLoad{Endpoint: model.EndpointName(fmt.Sprintf("i-%010d", i)), Load: balance.Load{Count: 2, Memory: 8000}}
		l.PendingPrefill[5] = 4000
		d.Loads = append(d.Loads, l)
	}
	d.CacheUpdates = []balance.CacheUpdate{{Key: 1 << 60, Endpoint: "i-0000000001", Cached: true}, {Key: 1 << 61, Endpoint: "i-0000000002"}}
	return d
}

// BenchmarkDigest encodes and decodes digests, by number of endpoints with load.
func BenchmarkDigest(b *testing.B) {
	for _, endpoints := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			d := digestOf(endpoints)
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(loadDigestToWire(d))
				must.NoError(b, err)
				var back peer.LoadDigest
				must.NoError(b, proto.Unmarshal(data, &back))
				loadDigestFromWire(&back)
				size = len(data)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}

func TestLoadDigestRoundTrips(t *testing.T) {
	want := digestOf(3)
	want.ReadsList, want.ListReadFailing, want.ListChange = true, true, model.Position{Era: 2, Offset: 7}
	want.ConfigAge = 1200 * time.Millisecond
	want.Limits = []port.EndpointLimit{{Instance: model.Instance{Name: "e", Started: 3}, Limited: true, PerSecond: 1.8, Age: 40 * time.Millisecond}}
	got := loadDigestFromWire(loadDigestToWire(want))
	must.Eq(t, want, got)
}
