package host

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// fetches is a port.Peers that notes who is asked for a configuration.
type fetches struct {
	port.PeerTransport
	asked chan string
}

func (f fetches) FetchConfig(_ context.Context, address string, _ model.Version) (port.ConfigRecord, error) {
	f.asked <- address
	return port.ConfigRecord{}, nil
}

func (f fetches) Exchange(context.Context, string, port.Heartbeat) (port.Heartbeat, error) {
	return port.Heartbeat{}, &port.PeerError{Op: "exchange"}
}

func configHost(t *testing.T) (*Host, chan string) {
	asked := make(chan string, 10)
	h := New(Options{
		ID: "a", Domain: "east", Peers: fetches{asked: asked}, HeartbeatEvery: time.Second,
		Log: &log.Logger{Handler: discard.New()},
	})
	h.ctx = t.Context()
	ended, stop := context.WithCancel(t.Context())
	stop()
	h.loop.run(ended)
	t.Cleanup(h.workers.Wait)
	return h, asked
}

func versions(t *testing.T, n int) []port.Record {
	var out []port.Record
	for i := range n {
		rec := configstate.Record{
			Schema: configstate.RecordSchema, PublishID: string(rune('a' + i)),
			Base: model.Version(i), Version: model.Version(i + 1), Body: []byte("schema = 1\n"),
		}
		data, err := rec.Encode()
		must.NoError(t, err)
		out = append(out, port.Record{Offset: model.Offset(i), Data: data})
	}
	return out
}

func TestStartingHostSkipsOlderVersions(t *testing.T) {
	h, _ := configHost(t)
	records := versions(t, 2)
	configBatchEvent{batch: port.Batch{Records: records[:1], NextOffset: 2}}.apply(time.Now(), h.control)
	must.Eq(t, 0, h.version())
	must.False(t, h.Ready())
	configBatchEvent{batch: port.Batch{Records: records[1:], NextOffset: 2}, atEnd: true}.apply(time.Now(), h.control)
	must.Eq(t, 2, h.version())
	must.False(t, h.Ready(), must.Sprint("the claims were not asked for yet"))
}

func TestStartingHostAsksForTheHighestVersion(t *testing.T) {
	h, asked := configHost(t)
	now := time.Now()
	for i, version := range []model.Version{3, 7, 5} {
		host := model.HostID(rune('b' + i))
		h.control.members.Receive(now, membership.Heartbeat{
			Host: host, Incarnation: 1, Domain: "east", Address: string(host), State: membership.Ready, Version: version,
		})
	}
	for range roundsBeforeAdopting - 1 {
		roundEvent{}.apply(now, h.control)
	}
	must.False(t, h.control.config.fetching)
	roundEvent{}.apply(now, h.control)
	must.Eq(t, "c", <-asked)
}

func TestRelayedVersionNeverFalls(t *testing.T) {
	h, _ := configHost(t)
	records := versions(t, 3)
	for _, i := range []int{2, 0, 1} {
		configFetchedEvent{record: port.ConfigRecord{
			Version: model.Version(i + 1), Offset: records[i].Offset, Data: records[i].Data,
		}}.apply(time.Now(), h.control)
		must.Eq(t, 3, h.version())
	}
}
