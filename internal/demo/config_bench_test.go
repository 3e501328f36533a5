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

// lookEvery is the time between two looks at a host.
const lookEvery = 2 * time.Millisecond

type benchToken struct{}

func (benchToken) OperatorToken(context.Context, operatorapi.OperationName) (operatorapi.OperatorToken, error) {
	return operatorapi.OperatorToken{Token: OperatorToken}, nil
}

// publisher publishes through the first host and watches all of them.
type publisher struct {
	b       *testing.B
	clients []*operatorapi.Client
	body    string
	version uint64
	took    []time.Duration
}

func newPublisher(b *testing.B, d *Demo) *publisher {
	p := &publisher{b: b}
	for _, h := range d.Hosts() {
		client, err := operatorapi.NewClient("http://"+h.Operators, benchToken{})
		must.NoError(b, err)
		p.clients = append(p.clients, client)
	}
	cfg, err := p.clients[0].GetConfig(b.Context(), operatorapi.GetConfigParams{})
	must.NoError(b, err)
	p.body, p.version = cfg.Body, cfg.Meta.Version
	return p
}

// publish publishes once and waits until every host has the version.
func (p *publisher) publish() {
	started := time.Now()
	res, err := p.clients[0].PublishConfig(p.b.Context(), &operatorapi.Publication{
		PublishID: fmt.Sprintf("benchmark-%d", p.version), Base: p.version, Body: p.body,
	})
	must.NoError(p.b, err)
	p.version = res.(*operatorapi.ConfigVersion).Version
	took := make([]time.Duration, len(p.clients))
	var watchers sync.WaitGroup
	for i := range p.clients {
		watchers.Go(func() { took[i] = p.watch(i, started) })
	}
	watchers.Wait()
	p.took = append(p.took, took...)
}

func (p *publisher) watch(i int, started time.Time) time.Duration {
	ticker := time.NewTicker(lookEvery)
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

// BenchmarkConfigInForce reports the time from an operator's call until a
// version is in force at each of eight hosts in four failure domains.
func BenchmarkConfigInForce(b *testing.B) {
	for _, cut := range []bool{false, true} {
		b.Run(fmt.Sprintf("peersOnly=%t", cut), func(b *testing.B) {
			d, err := Start(b.Context(), &log.Logger{Handler: discard.New()})
			must.NoError(b, err)
			defer d.Close(context.Background())
			if cut {
				cutOff(b, d)
			}
			p := newPublisher(b, d)
			for b.Loop() {
				p.publish()
			}
			slices.Sort(p.took)
			b.ReportMetric(float64(p.took[len(p.took)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(p.took[len(p.took)-1].Microseconds())/1000, "max-ms")
		})
	}
}

// cutOff cuts all hosts but the first off from the platform.
func cutOff(b *testing.B, d *Demo) {
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
