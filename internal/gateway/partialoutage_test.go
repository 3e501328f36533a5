package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// calmAfterOutage is the time after a store outage from which on the newest
	// configuration must be in force at all hosts.
	calmAfterOutage = 3 * time.Second
	// storeCallTimeout is the time without a response, beyond the wait of a read,
	// after which the store's client gives up.
	storeCallTimeout = time.Second
)

var errNoResponse = errors.New("no response")

// partlySilentStore has one configuration. Reads of configurations that are in
// progress while that part of the store is silent, or begin then, get no response.
type partlySilentStore struct {
	mu         sync.Mutex
	version    model.Version
	silentFrom time.Time
	silentTo   time.Time
	reads      int
}

// publish replaces the configuration.
func (s *partlySilentStore) publish(v model.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = v
}

// batch returns the configuration if it is newer than the one at offset from.
func (s *partlySilentStore) batch(from model.Offset) port.KeyedBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := port.KeyedBatch{Next: offset(model.Offset(s.version))}
	if s.version > model.Version(from) {
		out.Records = []port.KeyedRecord{{Key: "config", Value: []byte{byte(s.version)}}}
	}
	return out
}

// read serves a read that waits for a version above from.
func (s *partlySilentStore) read(ctx context.Context, from model.Offset, wait time.Duration) (port.KeyedBatch, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	for {
		now := time.Now()
		if started.Before(s.silentTo) && !now.Before(s.silentFrom) {
			<-ctx.Done()
			return port.KeyedBatch{}, errNoResponse
		}
		if batch := s.batch(from); len(batch.Records) > 0 || now.Sub(started) >= wait {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return port.KeyedBatch{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (s *partlySilentStore) LatestValues(ctx context.Context, topic port.Topic) (port.KeyedBatch, error) {
	if topic == port.TopicConfig {
		return s.read(ctx, 0, 0)
	}
	return port.KeyedBatch{}, nil
}

func (s *partlySilentStore) Changes(ctx context.Context, topic port.Topic, from model.Position, wait time.Duration) (port.KeyedBatch, error) {
	if topic == port.TopicConfig {
		return s.read(ctx, from.Offset, wait)
	}
	return port.KeyedBatch{}, nil
}

// versionDecoder decodes configurations that consist of a version only.
type versionDecoder struct{}

func (versionDecoder) IsConfig(key string) bool { return key == "config" }

func (versionDecoder) Config(value []byte) (*routing.Config, error) {
	return &routing.Config{Version: model.Version(value[0])}, nil
}

func (versionDecoder) Endpoint(string, []byte) (directory.Entry, error) {
	return directory.Entry{}, errors.New("no endpoints")
}

// newStoreOnlyGateway returns a host without peers that reads the given store.
func newStoreOnlyGateway(lists port.ListReader) *Gateway {
	return New(Options{
		Host: "h1", Domain: "north", Lists: lists, Decoder: versionDecoder{}, ListReadInterval: time.Second,
		Log: &log.Logger{Handler: discard.New()},
	})
}

// versionInForce returns the version in force; 0 for none.
func (g *Gateway) versionInForce() model.Version {
	if rec := g.record.Load(); rec != nil {
		return rec.Version
	}
	return 0
}

// Reads that were lost in an outage must not delay the first read after it.
func TestConfigIsInForceSoonAfterPartOfTheStoreReturns(t *testing.T) {
	bound := calmAfterOutage - reviewInterval - configFetchJitter - configFetchTimeout
	for outage := 100 * time.Millisecond; outage <= 8*time.Second; outage += 100 * time.Millisecond {
		for phase := time.Duration(0); phase < time.Second; phase += 250 * time.Millisecond {
			t.Run(fmt.Sprintf("%v+%v", outage, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := &partlySilentStore{version: 1}
					store.silentFrom = time.Now().Add(5*time.Second + phase)
					store.silentTo = store.silentFrom.Add(outage)
					g := newStoreOnlyGateway(store)
					g.Start()
					defer g.Close()
					time.Sleep(time.Until(store.silentFrom))
					must.Eq(t, 1, g.versionInForce())
					store.publish(2)
					time.Sleep(time.Until(store.silentTo.Add(bound)))
					must.Eq(t, 2, g.versionInForce())
				})
			})
		}
	}
}

// A host that cannot know whether a newer configuration allows a request must not deny it.
func TestUnconfirmedConfigDeniesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &partlySilentStore{version: 1}
		store.silentFrom = time.Now().Add(5 * time.Second)
		store.silentTo = store.silentFrom.Add(20 * time.Second)
		g := newStoreOnlyGateway(store)
		g.Start()
		defer g.Close()
		unknown := &port.RoutedCall{Host: "h.example", Path: "/new/", Key: "new"}

		time.Sleep(time.Until(store.silentFrom))
		_, refusal := g.admit(unknown, nil)
		must.Eq(t, http.StatusNotFound, refusal.Status)

		time.Sleep(calmAfterOutage)
		_, refusal = g.admit(unknown, nil)
		must.Eq(t, http.StatusServiceUnavailable, refusal.Status)
		must.Eq(t, model.OutcomeNotRun, refusal.Outcome)
		must.Positive(t, refusal.RetryAfter)

		time.Sleep(time.Until(store.silentTo.Add(calmAfterOutage)))
		_, refusal = g.admit(unknown, nil)
		must.Eq(t, http.StatusNotFound, refusal.Status)
	})
}
