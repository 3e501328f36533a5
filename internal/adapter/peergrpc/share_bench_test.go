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

// BenchmarkTotal encodes the total of a failure domain for 75 hosts and decodes it at one of
// them, by number of endpoints.
func BenchmarkTotal(b *testing.B) {
	const receivers = 75
	for _, endpoints := range []int{90, 320, 3000} {
		for _, packed := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/packed=%t", endpoints, packed), func(b *testing.B) {
				d := digestOf(endpoints)
				total := port.DomainLoad{Domain: d.Domain, Hosts: receivers, Loads: d.Loads}
				d.Loads, d.PackLoads = nil, packed
				var encode, decode time.Duration
				size := 0
				for b.Loop() {
					total.Encoded = new(port.EncodedLoads)
					d.Domains = []port.DomainLoad{total}
					var data []byte
					started := time.Now()
					for range receivers {
						message, err := digestToWire(d)
						must.NoError(b, err)
						data, err = proto.Marshal(message)
						must.NoError(b, err)
					}
					encode += time.Since(started)
					started = time.Now()
					var back peer.LoadDigest
					must.NoError(b, proto.Unmarshal(data, &back))
					_, err := digestFromWire(&back)
					must.NoError(b, err)
					decode += time.Since(started)
					size = len(data)
				}
				b.ReportMetric(float64(encode.Nanoseconds())/1000/receivers/float64(b.N), "encode-us/receiver")
				b.ReportMetric(float64(decode.Nanoseconds())/1000/float64(b.N), "decode-us")
				b.ReportMetric(float64(size), "wire-B")
			})
		}
	}
}

func TestPackedDigestRoundTrips(t *testing.T) {
	want := digestOf(3)
	want.Loads[1].Urgent, want.Loads[2].PendingPrefill = 1, [balance.NumPriorities]int{0: 7, 9: 1}
	want.Domains = []port.DomainLoad{{Domain: "luzon-b", Hosts: 4, Loads: digestOf(2).Loads, Included: 5}, {Domain: "luzon-c"}}
	want.Unpacks, want.PackLoads, want.Report = true, true, 9
	message, err := digestToWire(want)
	must.NoError(t, err)
	must.SliceEmpty(t, message.GetLoads())
	got, err := digestFromWire(message)
	must.NoError(t, err)
	byKey := func(loads []balance.EndpointLoad) {
		for i := range loads {
			loads[i].Key, loads[i].Endpoint = loads[i].HashKey(), ""
		}
	}
	byKey(want.Loads)
	byKey(want.Domains[0].Loads)
	want.Domains[1].Loads, want.PackLoads = []balance.EndpointLoad{}, false
	must.Eq(t, want, got)
}

// Columns that do not fit together are refused, and never read out of range.
func TestMalformedPackedLoadsAreRefused(t *testing.T) {
	for _, in := range []*peer.PackedLoads{
		{Keys: []uint64{1}},
		{Keys: []uint64{1}, Counts: []int64{1}, Memory: []int64{1}},
		{Keys: []uint64{1}, Counts: []int64{1}, Memory: []int64{1}, Pending: []int64{3, 1}},
		{Keys: []uint64{1}, Counts: []int64{1}, Memory: []int64{1}, Urgent: []int64{1, 1}, Pending: []int64{0}},
	} {
		data, err := proto.Marshal(in)
		must.NoError(t, err)
		_, err = unpackLoads(data)
		must.ErrorIs(t, err, errMalformedLoads)
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
