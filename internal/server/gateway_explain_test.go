package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/gateway"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
	"github.com/wigeonsail/wigeonsail/platform"
)

// explain returns how a host would decide on a request.
func (f *fleet) explain(g *Gateway, values url.Values) gateway.ExplainView {
	f.t.Helper()
	res, err := http.Get("http://" + g.Address("metrics") + "/explain?" + values.Encode())
	must.NoError(f.t, err)
	defer res.Body.Close()
	must.Eq(f.t, http.StatusOK, res.StatusCode)
	var view gateway.ExplainView
	must.NoError(f.t, json.NewDecoder(res.Body).Decode(&view))
	return view
}

// isIdle reports whether no requests are in flight at any endpoint.
func isIdle(candidates []gateway.CandidateView) bool {
	return !slices.ContainsFunc(candidates, func(c gateway.CandidateView) bool { return c.InFlight > 0 })
}

// sharedTokens is the size of the shared parts. Transferring one costs more than what the
// estimates of equal endpoints change by between explaining and the request.
const sharedTokens = 20_000

// In a quiet run, the endpoint that explain names gets the request: 100 of 100. No request
// comes from explaining.
func TestExplainedEndpointGetsTheRequest(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	for i := range 4 {
		f.startReplica(enginePool, replica.Options{Instance: fmt.Sprint("e-", i), Events: 2})
	}
	g := f.startReadyHost("h0")
	values := (&gateway.ExplainedRequest{Route: "draft", Account: users.Account}).Values()
	f.eventually(func() bool { return len(f.explain(g, values).Pools[0].Candidates) == 4 })
	for i := range 100 {
		key := fmt.Sprint("part-", i%7)
		request := gateway.ExplainedRequest{Route: "draft", Account: users.Account, Unshared: 100 * i, MaxOutputTokens: 20}
		request.Shared = append(request.Shared, model.Part{ID: platform.PartID(key), Tokens: sharedTokens})
		// The host may learn of the end of the last request after its caller did.
		f.eventually(func() bool { return isIdle(f.explain(g, values).Pools[0].Candidates) })
		explained := f.explain(g, request.Values()).Pools[0].Endpoint
		before := len(f.replicas[string(explained)].Executions())
		res := f.send(g, http.MethodPost, "/draft/1", "prompt", func(r *http.Request) {
			r.Header.Set("X-Wigeonsail-Model", "m")
			r.Header.Set("X-Wigeonsail-Token-Usage", fmt.Sprintf("%d,20", sharedTokens+100*i))
			r.Header.Set("X-Wigeonsail-Prompt-Prefix", fmt.Sprintf("%s:%d,own-%d:%d", key, sharedTokens, i, 100*i))
		})
		must.Eq(t, http.StatusOK, res.status)
		must.Len(t, before+1, f.replicas[string(explained)].Executions(), must.Sprint("request ", i))
	}
	must.Eq(t, 100, f.totalRuns())
}
