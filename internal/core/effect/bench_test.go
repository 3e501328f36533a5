package effect

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// BenchmarkClaim measures the CPU time of a claim from Begin to Finish, including
// encoding, decoding and applying its two records.
func BenchmarkClaim(b *testing.B) {
	m := testMachine("a")
	var offset model.Offset
	appendRecord := func(rec Record) []Action {
		entry, _ := EncodeRecord(rec)
		data, _ := EncodeBatch([][]byte{entry})
		out, _ := m.ApplyRecords(start, 0, Extent{}, []LogRecord{{Offset: offset, Data: data}})
		offset++
		return out
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		try := testTry(TryID(i), "x")
		try.KeyText = fmt.Sprint(i)
		permit := appendRecord(m.Begin(start, try)[0].Record)[0].Permit
		appendRecord(m.Finish(start, permit, Result{Outcome: model.OutcomeRan, Status: 200})[0].Record)
	}
}

// BenchmarkTicket measures the CPU time of a ticket from its issue to Finish.
func BenchmarkTicket(b *testing.B) {
	m := testMachine("a")
	m.tickets.limit = 1 << 30
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		try := testTry(TryID(i), "x")
		try.KeyText, _ = m.IssueTicket(start, try.Account, time.Minute)
		m.Finish(start, m.Begin(start, try)[0].Permit, Result{Outcome: model.OutcomeRan, Status: 200})
	}
}

// BenchmarkKeyMemory reports the memory per key within its window.
func BenchmarkKeyMemory(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := newKeyTable(time.Hour)
		for i := range keys {
			rec := Record{Kind: KindClaim, Key: NewKey("office", fmt.Sprint(i)), Host: "a", UnixMilli: start.UnixMilli()}
			table.apply(rec, Position{})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(table)
	}
}
