package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// newRequest returns a request for the first pool. Each ID is used only once.
func newRequest(id int, now time.Time) model.Request {
	return model.Request{
		ID: model.RequestID(fmt.Sprint(id)), Class: model.ClassName(fmt.Sprintf("class-%d", id%6)),
		Account: model.AccountName(fmt.Sprintf("account-%03d", id%450)), Pool: "pool-00", Model: "model-00",
		Arrived: now, Deadline: now.Add(time.Hour), Attempt: 1,
	}
}

var finished = dispatch.Result{Outcome: model.OutcomeRan, FirstToken: time.Second, Elapsed: 10 * time.Second, Tokens: 350}

// BenchmarkDecision measures submitting a request that is granted, and finishing
// it, by the number of endpoints in the failure domain.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{21, 120, endpointsPerDomain} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			d := dispatch.New(dispatch.Options{Host: "host-0001", Domain: domainName(0), Seed: 1})
			cfg := config(endpoints)
			for i := range cfg.Endpoints {
				cfg.Endpoints[i].Domain = domainName(0)
			}
			d.SetConfig(start, cfg)
			b.ReportAllocs()
			for id := 0; b.Loop(); id++ {
				now := start.Add(time.Duration(id) * time.Millisecond)
				for _, a := range d.Submit(now, newRequest(id, now)) {
					if a.Kind == dispatch.ActionGrant {
						d.Finish(now, a.Request, a.Attempt, finished)
					}
				}
			}
		})
	}
}

// BenchmarkSubmitAndCancelQueued measures submitting and canceling a request
// while others wait, by the number of other requests.
func BenchmarkSubmitAndCancelQueued(b *testing.B) {
	for _, queued := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			cfg := config(domains * poolsPerDomain)
			d := dispatch.New(dispatch.Options{Host: "host-0001", Domain: domainName(0), Seed: 1})
			d.SetConfig(start, cfg)
			for id := range queued {
				d.Submit(start, newRequest(id, start))
			}
			b.ReportAllocs()
			for id := queued; b.Loop(); id++ {
				d.Submit(start, newRequest(id, start))
				d.Cancel(start, model.RequestID(fmt.Sprint(id)))
			}
		})
	}
}
