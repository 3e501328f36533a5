package bench

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/effect"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/internal/standin/platform"
	fleetplatform "github.com/wigeonsail/wigeonsail/platform"
)

// servePlatform starts a stand-in of the platform without a limit on appends,
// and returns a client of it.
func servePlatform(b *testing.B) (*fleetplatform.Store, *countingListener) {
	l := listen(b)
	server := &http.Server{Handler: platform.New(platform.Options{AppendsPerSecond: 1e9, AppendBurst: 1 << 30})}
	go func() { _ = server.Serve(l) }()
	p := fleetplatform.NewStore(fleetplatform.StoreOptions{URL: "http://" + l.Addr().String(), Host: "host-0001"})
	b.Cleanup(func() {
		p.Close()
		must.NoError(b, server.Close())
	})
	return p, l
}

// newClaim returns the log record of the i-th claim.
func newClaim(i int) effect.Record {
	return effect.Record{
		Kind: effect.KindClaim, Key: effect.NewKey("account-001", fmt.Sprint(i)),
		Digest: effect.NewDigest("POST", "/services/appointments/confirm", "application/json", []byte(fmt.Sprint(i))),
		Host:   "host-0001", Incarnation: 1767323045000000000, Nonce: uint64(i) << 40, UnixMilli: start.UnixMilli(),
	}
}

// newOutcome returns the log record of the i-th claim's outcome, with a small
// result.
func newOutcome(i int) effect.Record {
	rec := newClaim(i)
	rec.Kind = effect.KindOutcome
	rec.Result = &effect.Result{
		Outcome: model.OutcomeRan, Status: http.StatusOK, ContentType: "application/json",
		Body: []byte(`{"appointment":"2026-01-03T15:00","fixture":"A-B","referee":"R-1042","state":"confirmed"}`),
	}
	return rec
}

// encodeBatch encodes pairs of a claim and its outcome as a batch. from is the
// number of the first claim.
func encodeBatch(b *testing.B, from, pairs int) []byte {
	var entries [][]byte
	for i := from; i < from+pairs; i++ {
		for _, rec := range []effect.Record{newClaim(i), newOutcome(i)} {
			entry, err := effect.EncodeRecord(rec)
			must.NoError(b, err)
			entries = append(entries, entry)
		}
	}
	data, err := effect.EncodeBatch(entries)
	must.NoError(b, err)
	return data
}

// BenchmarkAppendAndRead measures appending a batch to the log and reading it
// back, by the number of confirmations in the batch. The CPU time includes the
// client and the stand-in of the platform.
func BenchmarkAppendAndRead(b *testing.B) {
	for _, pairs := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("confirmations=%d", pairs), func(b *testing.B) {
			p, l := servePlatform(b)
			data := encodeBatch(b, 0, pairs)
			reportCPUAndBytes(b, l, func() {
				offset, err := p.Append(b.Context(), "effects-0", data)
				must.NoError(b, err)
				_, err = p.Read(b.Context(), "effects-0", offset, 1, 0)
				must.NoError(b, err)
			})
		})
	}
}

// BenchmarkApplyRecords measures applying the log records of a partition, and
// the heap memory of the result, by the number of confirmations in the window.
func BenchmarkApplyRecords(b *testing.B) {
	for _, keys := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			const perBatch = 100
			batches := make([][]byte, keys/perBatch)
			for i := range batches {
				batches[i] = encodeBatch(b, i*perBatch, perBatch)
			}
			b.ResetTimer()
			reportCPUTime(b, func() {
				_, heap := measureHeap(func() *effect.Machine { return applyBatches(b, batches) })
				b.ReportMetric(heap, "heap-B")
			})
		})
	}
}

// applyBatches applies the batches to a new machine.
func applyBatches(b *testing.B, batches [][]byte) *effect.Machine {
	m := effect.New(effect.Options{
		Self: effect.HostRef{Host: "host-0002", Incarnation: 1}, Secret: []byte("s"), Partitions: 1,
		Window: time.Hour, ClaimTimeout: 2 * time.Second, MaxTickets: 2, CacheBytes: 1 << 20,
	})
	for i, data := range batches {
		_, err := m.ApplyRecords(start, 0, effect.Extent{}, []effect.LogRecord{{Offset: model.Offset(i), Data: data}})
		must.NoError(b, err)
	}
	return m
}

// BenchmarkHostList measures reading the platform's host list, by its length.
func BenchmarkHostList(b *testing.B) {
	for _, hosts := range []int{64, 256, 1600} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			p, l := servePlatform(b)
			for i := range hosts {
				must.NoError(b, p.Announce(b.Context(), port.ListedHost{
					Name: fmt.Sprintf("host-%04d", i), Domain: domainName(i % domains), PeerAddress: "10.1.1.1:7000",
				}))
			}
			reportCPUAndBytes(b, l, func() {
				_, err := p.Hosts(b.Context())
				must.NoError(b, err)
			})
		})
	}
}
