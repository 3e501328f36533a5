package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
)

// pollInterval is the time between two polls of a host.
const pollInterval = 2 * time.Millisecond

// benchToken authenticates the client as the demo's operator.
type benchToken struct{}

func (benchToken) OperatorToken(context.Context, operatorapi.OperationName) (operatorapi.OperatorToken, error) {
	return operatorapi.OperatorToken{Token: OperatorToken}, nil
}

// publisher publishes configurations through the first host and measures how
// long they take to reach each host.
type publisher struct {
	b       *testing.B
	clients []*operatorapi.Client
	body    string
	version uint64
	// delays are the times from a publication until it was in force at a host.
	delays []time.Duration
}

func newPublisher(b *testing.B, d *Demo) *publisher {
	p := &publisher{b: b}
	for _, h := range d.Hosts() {
		client, err := operatorapi.NewClient("http://"+h.OperatorAddr, benchToken{})
		must.NoError(b, err)
		p.clients = append(p.clients, client)
	}
	cfg, err := p.clients[0].GetConfig(b.Context(), operatorapi.GetConfigParams{})
	must.NoError(b, err)
	p.body, p.version = cfg.Body, cfg.Meta.Version
	return p
}

// publish publishes a version and waits until it is in force at every host.
func (p *publisher) publish() {
	started := time.Now()
	res, err := p.clients[0].PublishConfig(p.b.Context(), &operatorapi.Publication{
		PublishID: fmt.Sprintf("benchmark-%d", p.version), Base: p.version, Body: p.body,
	})
	must.NoError(p.b, err)
	p.version = res.(*operatorapi.ConfigVersion).Version
	delays := make([]time.Duration, len(p.clients))
	var polls sync.WaitGroup
	for i := range p.clients {
		polls.Go(func() { delays[i] = p.waitForVersion(i, started) })
	}
	polls.Wait()
	p.delays = append(p.delays, delays...)
}

// waitForVersion polls the i-th host until the version is in force there, and
// returns the time since started.
func (p *publisher) waitForVersion(i int, started time.Time) time.Duration {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		hosts, err := p.clients[i].GetHosts(p.b.Context())
		must.NoError(p.b, err)
		if hosts.Config.Version >= p.version {
			return time.Since(started)
		}
		<-ticker.C
	}
}

// BenchmarkConfigInForce reports the time from an operator's call until the
// published version is in force at each of eight hosts in four failure domains.
// With peersOnly, only the first host can reach the platform.
func BenchmarkConfigInForce(b *testing.B) {
	for _, peersOnly := range []bool{false, true} {
		b.Run(fmt.Sprintf("peersOnly=%t", peersOnly), func(b *testing.B) {
			d, err := Start(b.Context(), &log.Logger{Handler: discard.New()})
			must.NoError(b, err)
			defer d.Close(context.Background())
			if peersOnly {
				partitionHosts(b, d)
			}
			p := newPublisher(b, d)
			for b.Loop() {
				p.publish()
			}
			slices.Sort(p.delays)
			b.ReportMetric(float64(p.delays[len(p.delays)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(p.delays[len(p.delays)-1].Microseconds())/1000, "max-ms")
		})
	}
}

// partitionHosts makes the platform unreachable for all hosts but the first.
func partitionHosts(b *testing.B, d *Demo) {
	var names []string
	for _, h := range d.Hosts()[1:] {
		names = append(names, `"`+string(h.ID)+`"`)
	}
	body := `{"partitioned":[` + strings.Join(names, ",") + `]}`
	res, err := http.Post(d.platformURL+"/admin/faults", "application/json", strings.NewReader(body))
	must.NoError(b, err)
	must.NoError(b, res.Body.Close())
	must.Eq(b, http.StatusOK, res.StatusCode)
}
