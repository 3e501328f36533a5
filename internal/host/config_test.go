package host

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// fetchRecorder is a port.PeerTransport that records the addresses from which a
// configuration is fetched.
type fetchRecorder struct {
	port.PeerTransport
	fetchedFrom chan string
}

func (f fetchRecorder) FetchConfig(_ context.Context, address string, _ model.Version) (port.ConfigRecord, error) {
	f.fetchedFrom <- address
	return port.ConfigRecord{}, nil
}

func (f fetchRecorder) Exchange(context.Context, string, port.Heartbeat) (port.Heartbeat, error) {
	return port.Heartbeat{}, &port.PeerError{Op: "exchange"}
}

// newConfigHost returns a host whose control loop has stopped, so that tests apply
// events directly, and the addresses from which it fetches configurations.
func newConfigHost(t *testing.T) (*Host, chan string) {
	fetchedFrom := make(chan string, 10)
	h := New(Options{
		ID: "a", Domain: "east", Peers: fetchRecorder{fetchedFrom: fetchedFrom}, HeartbeatEvery: time.Second,
		Log: &log.Logger{Handler: discard.New()},
	})
	h.ctx = t.Context()
	ended, stop := context.WithCancel(t.Context())
	stop()
	h.loop.run(ended)
	t.Cleanup(h.workers.Wait)
	return h, fetchedFrom
}

// newVersionRecords returns the records of n successive versions.
func newVersionRecords(t *testing.T, n int) []port.Record {
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
	h, _ := newConfigHost(t)
	records := newVersionRecords(t, 2)
	configBatchEvent{batch: port.Batch{Records: records[:1], NextOffset: 2}}.apply(time.Now(), h.control)
	must.Eq(t, 0, h.version())
	must.False(t, h.Ready())
	configBatchEvent{batch: port.Batch{Records: records[1:], NextOffset: 2}, atEnd: true}.apply(time.Now(), h.control)
	must.Eq(t, 2, h.version())
	must.False(t, h.Ready(), must.Sprint("claims have not been read yet"))
}

func TestStartingHostFetchesHighestVersion(t *testing.T) {
	h, fetchedFrom := newConfigHost(t)
	now := time.Now()
	for i, version := range []model.Version{3, 7, 5} {
		host := model.HostID(rune('b' + i))
		h.control.members.Receive(now, membership.Heartbeat{
			Host: host, Incarnation: 1, Domain: "east", Address: string(host), State: membership.Ready, Version: version,
		})
	}
	for range roundsBeforeAdopting - 1 {
		heartbeatRoundEvent{}.apply(now, h.control)
	}
	must.False(t, h.control.config.fetching)
	heartbeatRoundEvent{}.apply(now, h.control)
	must.Eq(t, "c", <-fetchedFrom)
}

func TestFetchedVersionNeverDecreases(t *testing.T) {
	h, _ := newConfigHost(t)
	records := newVersionRecords(t, 3)
	for _, i := range []int{2, 0, 1} {
		configFetchedEvent{record: port.ConfigRecord{
			Version: model.Version(i + 1), Offset: records[i].Offset, Data: records[i].Data,
		}}.apply(time.Now(), h.control)
		must.Eq(t, 3, h.version())
	}
}

// A host that cannot read the newest configuration must not deny what it does not know.
func TestOutdatedConfigDeniesNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newConfigHost(t)
		read := configBatchEvent{batch: port.Batch{Records: newVersionRecords(t, 1), NextOffset: 1}, atEnd: true}
		read.apply(time.Now(), h.control)
		must.Eq(t, http.StatusUnauthorized, authStatus(t, h))
		must.Eq(t, http.StatusNotFound, serviceStatus(t, h))

		time.Sleep(configReadWait)
		must.Eq(t, http.StatusUnauthorized, authStatus(t, h), must.Sprint("between two reads"))
		time.Sleep(2 * configReadWait)
		must.Eq(t, http.StatusServiceUnavailable, authStatus(t, h))
		must.Eq(t, http.StatusServiceUnavailable, serviceStatus(t, h))

		configBatchEvent{batch: port.Batch{NextOffset: 1}, atEnd: true}.apply(time.Now(), h.control)
		must.Eq(t, http.StatusUnauthorized, authStatus(t, h))
	})
}

// authStatus returns the status of the refusal of an unknown key.
func authStatus(t *testing.T, h *Host) int {
	_, err := h.Authenticate("unknown")
	return refusalStatus(t, err)
}

// serviceStatus returns the status of the refusal of a call without a route.
func serviceStatus(t *testing.T, h *Host) int {
	_, err := h.admitServiceCall(port.CallerRequest{Method: http.MethodPost, Path: "/unknown"}, time.Now())
	return refusalStatus(t, err)
}

// refusalStatus returns the status of a refusal of a call that was not run.
func refusalStatus(t *testing.T, err error) int {
	var refusal *port.RequestError
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, model.OutcomeNotRun, refusal.Outcome)
	return refusal.Status
}
