package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

func TestExplainedRequestSurvivesTheURL(t *testing.T) {
	r := ExplainedRequest{
		Route: "draft", Host: "a.example", Path: "/x?y", Pool: "p", Account: "club", Method: "POST",
		Shared: []model.Part{{ID: 7, Tokens: 100}, {ID: 1 << 63, Tokens: 0}}, Unshared: 20, MaxOutputTokens: 30,
		TimeLimit: 1500 * time.Millisecond, BodyBytes: 1000, Fingerprint: 1 << 62, Avoid: []model.EndpointName{"a", "b"},
	}
	parsed, err := ParseExplainedRequest(r.Values())
	must.NoError(t, err)
	must.Eq(t, r, parsed)
	for _, key := range []string{"unshared", "output", "limit", "body", "fingerprint", "part", "tokens"} {
		values := r.Values()
		values.Set(key, "-x")
		_, err := ParseExplainedRequest(values)
		must.ErrorContains(t, err, key)
	}
}

func TestExplainShowsAllPoolsOfASplitRoute(t *testing.T) {
	route := &routing.Route{Name: "r", Targets: []routing.Target{{Pool: "old", Weight: 3}, {Pool: "new", Weight: 1}}}
	table := routing.NewTable(&routing.Config{Version: 4})
	all, err := (&ExplainedRequest{}).findTargets(table, route)
	must.NoError(t, err)
	must.Eq(t, []PoolView{{Pool: "old", Weight: 3, Share: 0.75}, {Pool: "new", Weight: 1, Share: 0.25}}, all)
	one, err := (&ExplainedRequest{Pool: "new"}).findTargets(table, route)
	must.NoError(t, err)
	must.Eq(t, all[1:], one)
	_, err = (&ExplainedRequest{Pool: "ndw"}).findTargets(table, route)
	must.EqError(t, err, `configuration 4 has no pool on route r "ndw"; nearest: new, old`)
}

// The refusal of a request that crashes endpoints is the one that it would get.
func TestExplainShowsQuarantine(t *testing.T) {
	g := New(Options{})
	now := time.Now()
	for i := range 3 {
		g.control.quarantine.RecordCrash(now.Add(time.Duration(i)*time.Second), quarantine.Crash{
			ID: uint64(i + 1), Endpoint: model.Instance{Name: model.EndpointName(rune('a' + i))}, Request: 9, Generation: 1 + i,
			At: now.Add(time.Duration(i) * time.Second),
		})
	}
	r := ExplainedRequest{Fingerprint: 9}
	route := &routing.Route{Name: "r"}
	x := newExchange(g, r.call(route), 1, route, nil)
	x.fingerprint = r.Fingerprint
	must.Eq(t, balance.ReasonQuarantine, g.control.explain(now.Add(3*time.Second), x, nil).Suspect.Reason)
}
