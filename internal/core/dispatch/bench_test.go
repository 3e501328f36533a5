package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// BenchmarkDecision measures the decisions for one request, with many requests
// queued: its Submit, and the Finish of another request that grants the next
// one.
func BenchmarkDecision(b *testing.B) {
	for _, queued := range []int{100, 10000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) { benchDecision(b, queued) })
	}
}

const benchAccounts = 100

func benchDecision(b *testing.B, queued int) {
	d := dispatch.New(dispatch.Options{Host: "h1", Domain: "a", Seed: 1})
	d.SetConfig(start, benchConfig())
	ids := make([]model.RequestID, b.N+queued+1000)
	for i := range ids {
		ids[i] = model.RequestID(fmt.Sprintf("r%d", i))
	}
	var names []model.AccountName
	for i := range benchAccounts {
		names = append(names, model.AccountName(fmt.Sprintf("account-%d", i)))
	}
	var running []dispatch.Action
	next := 0
	submit := func() {
		running = append(running, d.Submit(start, benchRequest(ids[next], names[next%benchAccounts], next))...)
		next++
	}
	for len(running) == next {
		submit()
	}
	for range queued - 1 {
		submit()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		submit()
		first := running[0]
		running = append(running[1:], d.Finish(start, first.Request, first.Attempt, ran)...)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/decision")
	if len(running) == 0 || running[0].Kind != dispatch.ActionGrant {
		b.Fatal("nothing was granted")
	}
}

// benchRequest returns the ith request; class, prefix and deadline vary with i.
func benchRequest(id model.RequestID, account model.AccountName, i int) model.Request {
	classes := []model.ClassName{"order", "question", "draft"}
	return model.Request{
		ID: id, Class: classes[i%len(classes)], Pool: "engines", Attempt: 1, Prefix: uint64(i%50 + 1),
		Account: account,
		Arrived: start, Deadline: start.Add(time.Hour + time.Duration(i%997)*time.Second),
	}
}

// benchConfig returns five engines with room for 16 requests each, without
// queue limits.
func benchConfig() *opconfig.Config {
	var names []model.EndpointName
	for i := range 5 {
		names = append(names, model.EndpointName(fmt.Sprintf("e%d", i)))
	}
	cfg := engines(16, names...)
	for i := range cfg.Classes {
		cfg.Classes[i].MaxQueued = 0
		cfg.Classes[i].FirstToken = opconfig.Duration(time.Hour)
	}
	return cfg
}
