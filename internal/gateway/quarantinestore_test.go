package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/loop"
)

// The save of a suspect fails, and the suspect is released before the save is made again.
func TestLateSaveDoesNotOvertakeRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleetOf(routing.Idempotent, 1, 4)
		defer f.close()
		g := f.gateways[0]
		f.saved.mu.Lock()
		f.saved.failures = 1
		f.saved.mu.Unlock()
		const request model.Fingerprint = 7
		g.loop.Post(loop.Func(func(now time.Time) {
			for i := range uint64(3) {
				g.control.recordCrash(now, quarantine.Crash{
					ID: i + 1, Endpoint: model.Instance{Name: model.EndpointName([]byte{byte('a' + i)})}, Request: request, Generation: int(i) + 1, At: now,
				})
			}
		}))
		time.Sleep(minStoreRetryDelay / 2)
		g.loop.Post(loop.Func(func(now time.Time) { g.control.recordAnswer(now, request) }))
		time.Sleep(10 * time.Second)
		f.saved.mu.Lock()
		defer f.saved.mu.Unlock()
		must.MapEmpty(t, f.saved.suspects)
	})
}
