package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

// Two limits of one endpoint overlap. It must state a limit until the second one ends, since the
// second one is checked until then.
func TestOverlappingLimitsAreStatedUntilTheLastOneEnds(t *testing.T) {
	server, err := replica.Start(replica.Options{Instance: "i-1"})
	must.NoError(t, err)
	t.Cleanup(server.Close)
	e := &endpoint{Server: server}
	f := &longFaults{}
	states := func() bool {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address(), nil)
		must.NoError(t, err)
		req.Header.Set("X-Wigeonsail-Attempt-Id", "a")
		req.Header.Set("X-Wigeonsail-Expect-Instance", "i-1")
		res, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, res.Body.Close())
		return res.Header.Get("Server-Limit") != ""
	}
	now := time.Now()
	first, second := f.begin(now, e, time.Second), f.begin(now, e, 2*time.Second)
	must.True(t, states())
	f.end(now.Add(time.Second), first)
	must.True(t, states())
	f.end(now.Add(2*time.Second), second)
	must.False(t, states())
}
