package bench

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// configSizes are the numbers of endpoints in the measured configurations.
var configSizes = []int{480, 2400, 12000}

// configRecord returns the encoded record of a configuration.
func configRecord(b *testing.B, endpoints int) []byte {
	body, err := opconfig.Marshal(config(endpoints))
	must.NoError(b, err)
	rec := configstate.Record{
		Schema: configstate.RecordSchema, PublishID: "0194b0c8-6a64-7c3e-8a8e-000000000000",
		Version: 1, Author: "operator", Note: "raise the room of pool-01", At: start, Body: body,
	}
	data, err := rec.Encode()
	must.NoError(b, err)
	return data
}

// BenchmarkConfigRelay measures fetching a configuration from a peer, by the
// number of its endpoints.
func BenchmarkConfigRelay(b *testing.B) {
	for _, endpoints := range configSizes {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			client, l := servePeers(b, &fixedHandler{config: port.ConfigRecord{Version: 1, Data: configRecord(b, endpoints)}})
			reportCPUAndBytes(b, l, func() {
				_, err := client.FetchConfig(b.Context(), l.Addr().String(), 0)
				must.NoError(b, err)
			})
		})
	}
}

// BenchmarkConfigChange measures decoding, parsing, validating and applying a
// configuration, by the number of its endpoints.
func BenchmarkConfigChange(b *testing.B) {
	for _, endpoints := range configSizes {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			data := configRecord(b, endpoints)
			d := dispatch.New(dispatch.Options{Host: "host-0001", Domain: domainName(0), Seed: 1})
			b.ResetTimer()
			reportCPUTime(b, func() {
				rec, err := configstate.Decode(data)
				must.NoError(b, err)
				cfg, err := opconfig.Parse(rec.Body)
				must.NoError(b, err)
				must.NoError(b, cfg.Validate())
				d.SetConfig(start, cfg)
			})
			b.ReportMetric(float64(len(data)), "record-B")
		})
	}
}

// BenchmarkConfigMemory reports the heap memory of a dispatcher with a
// configuration, by the number of its endpoints.
func BenchmarkConfigMemory(b *testing.B) {
	for _, endpoints := range configSizes {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			data := configRecord(b, endpoints)
			b.ResetTimer()
			for range b.N {
				_, heap := measureHeap(func() *dispatch.Dispatcher {
					rec, err := configstate.Decode(data)
					must.NoError(b, err)
					cfg, err := opconfig.Parse(rec.Body)
					must.NoError(b, err)
					d := dispatch.New(dispatch.Options{Host: "host-0001", Domain: domainName(0), Seed: 1})
					d.SetConfig(start, cfg)
					return d
				})
				b.ReportMetric(heap, "heap-B")
			}
		})
	}
}
