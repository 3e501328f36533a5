package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Digests that were sent during a cut arrive after it, the oldest first.
func TestLateDigestsDoNotMakeKnowledgeFresh(t *testing.T) {
	const healed = 10 * time.Second
	c, _ := newTestControl(t)
	c.applyConfig(&routing.Config{Version: 1}, port.ConfigRecord{Version: 1}, "test")
	digest := port.LoadDigest{Host: "h2", Domain: "north", Address: "peer", Version: 1}
	c.receiveDigest(at(0), digest)
	must.Less(t, time.Second, c.gateway.configAge(at(0)))
	must.Less(t, time.Second, c.knownReadAge(at(0)))
	for i := range time.Duration(5) {
		now := at(healed + i*time.Millisecond)
		c.receiveDigest(now, digest)
		must.GreaterEq(t, healed, c.gateway.configAge(now))
		must.GreaterEq(t, healed, c.knownReadAge(now))
	}
	inStep := at(healed + 2*heartbeatInterval)
	c.receiveDigest(inStep, digest)
	must.Less(t, time.Second, c.gateway.configAge(inStep))
	must.Less(t, time.Second, c.knownReadAge(inStep))
}
