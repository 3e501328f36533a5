package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/nearest"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// ExplainedRequest is a request that is explained as this host would decide on it now. It
// is not sent. Its account needs no key.
type ExplainedRequest struct {
	// Route is the name of a route. Without it, Host and Path find the route.
	Route, Host, Path string
	// Pool selects one of the route's pools; empty for all.
	Pool    model.PoolName
	Account model.AccountName
	Method  string
	// Shared are the shared parts of the prompt, in its order, Unshared the other prompt
	// tokens.
	Shared                    []model.Part
	Unshared, MaxOutputTokens int
	// TimeLimit is the caller's time limit; 0 for none.
	TimeLimit time.Duration
	BodyBytes int64
	// Fingerprint is that of the request in logs; 0 for that of a request without a body.
	Fingerprint model.Fingerprint
	// Avoid are endpoints that have failed the request.
	Avoid []model.EndpointName
}

// UnknownNameError is the error for a name that the configuration in force does not have.
type UnknownNameError struct {
	// Kind is what the name should be, such as "route".
	Kind, Name string
	// Nearest are the known names that resemble it most.
	Nearest []string
	Version model.Version
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	text := fmt.Sprintf("configuration %d has no %s %q", e.Version, e.Kind, e.Name)
	if len(e.Nearest) == 0 {
		return text + ", and none at all"
	}
	return text + "; nearest: " + strings.Join(e.Nearest, ", ")
}

var (
	errNoAccount     = errors.New("the route requires an account")
	errNotConfigured = errors.New("this host has no configuration yet")
)

// maxNearest is the largest number of names in an UnknownNameError.
const maxNearest = 3

// newUnknownNameError returns the error for a name of a kind that is none of the known ones.
func newUnknownNameError(table *routing.Table, kind, name string, known []string) error {
	return &UnknownNameError{Kind: kind, Name: name, Nearest: nearest.Names(name, known, maxNearest), Version: table.Version()}
}

// Explain returns how this host would decide on a request now. It sends nothing, and changes
// nothing that decisions depend on.
func (g *Gateway) Explain(ctx context.Context, r ExplainedRequest) (ExplainView, error) {
	table := g.table.Load()
	if table == nil {
		return ExplainView{}, errNotConfigured
	}
	route, err := r.findRoute(table)
	if err != nil {
		return ExplainView{}, err
	}
	account, err := r.findAccount(table, route)
	if err != nil {
		return ExplainView{}, err
	}
	targets, err := r.findTargets(table, route)
	if err != nil {
		return ExplainView{}, err
	}
	x := newExchange(g, r.call(route), table.Version(), route, account)
	x.fingerprint = cmp.Or(r.Fingerprint, x.fingerprint)
	x.req.Avoid = r.Avoid
	view, ok := queryLoop(ctx, g, func(now time.Time) ExplainView { return g.control.explain(now, x, targets) })
	if !ok {
		return view, errStopped
	}
	view.Memory = g.memory.explain(r.BodyBytes)
	return view, nil
}

// findRoute returns the route of the request.
func (r *ExplainedRequest) findRoute(table *routing.Table) (*routing.Route, error) {
	routes := table.Routes()
	if r.Route == "" {
		if route, ok := table.Route(r.Host, r.Path); ok {
			return route, nil
		}
		var known []string
		for i := range routes {
			known = append(known, routes[i].Host+routes[i].PathPrefix)
		}
		return nil, newUnknownNameError(table, "route", r.Host+r.Path, known)
	}
	var known []string
	for i := range routes {
		if routes[i].Name == r.Route {
			return &routes[i], nil
		}
		known = append(known, routes[i].Name)
	}
	return nil, newUnknownNameError(table, "route", r.Route, known)
}

// findAccount returns the account of the request; nil if the route needs none.
func (r *ExplainedRequest) findAccount(table *routing.Table, route *routing.Route) (*routing.Account, error) {
	accounts := table.Accounts()
	if r.Account == "" {
		if route.Public || len(accounts) == 0 {
			return nil, nil
		}
		return nil, errNoAccount
	}
	var known []string
	for i := range accounts {
		if accounts[i].Name == r.Account {
			if route.Public {
				return nil, nil
			}
			return &accounts[i], nil
		}
		known = append(known, string(accounts[i].Name))
	}
	return nil, newUnknownNameError(table, "account", string(r.Account), known)
}

// findTargets returns the pools to explain, with their shares of the requests.
func (r *ExplainedRequest) findTargets(table *routing.Table, route *routing.Route) ([]PoolView, error) {
	var known []string
	var out []PoolView
	sum := 0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	for _, t := range route.Targets {
		known = append(known, string(t.Pool))
		if r.Pool == "" || r.Pool == t.Pool {
			out = append(out, PoolView{Pool: t.Pool, Weight: t.Weight, Share: float64(t.Weight) / float64(max(sum, 1))})
		}
	}
	if r.Pool != "" && len(out) == 0 {
		return nil, newUnknownNameError(table, "pool on route "+route.Name, string(r.Pool), known)
	}
	return out, nil
}

// call returns the call as it would arrive now.
func (r *ExplainedRequest) call(route *routing.Route) *port.RoutedCall {
	host, path := cmp.Or(r.Host, route.Host), cmp.Or(r.Path, route.PathPrefix)
	prompt := model.Prompt{InputTokens: r.Unshared, MaxOutputTokens: r.MaxOutputTokens}
	prompt.Parts = append(slices.Clone(r.Shared), model.Part{Tokens: r.Unshared})
	prompt.InputTokens += prompt.SharedPrefixTokens()
	return &port.RoutedCall{
		Host: host, Path: path, URI: path, Method: r.Method, Prompt: prompt, Arrived: time.Now(), CallerTimeout: r.TimeLimit,
	}
}

// explain returns how this host decides on a request now.
func (c *control) explain(now time.Time, x *exchange, targets []PoolView) ExplainView {
	opts := &c.gateway.opts
	out := ExplainView{
		Host: opts.Host, Domain: opts.Domain, Leaving: c.gateway.leaving.Load(),
		Version: x.version, ConfigAge: seconds(c.gateway.configAge(now)), ListAge: seconds(c.knownReadAge(now)),
		Route: x.route.Name, Kind: x.route.Kind.String(), Account: x.account, Tier: x.req.Tier, Rank: x.req.Rank,
		TimeLimit: seconds(x.timeLimit()), Target: seconds(x.req.Target), Fingerprint: x.fingerprint,
	}
	refusal, refused := c.checkSuspects(now, x.req.Prompt, x.fingerprint, false)
	if refused {
		out.Suspect = &ExplainedSuspect{Suspect: refusal.suspect, Reason: refusal.Reason, RetryAfter: seconds(refusal.RetryAfter)}
	}
	for _, target := range targets {
		req := x.req
		req.Pool = target.Pool
		e := c.balancer.Explain(now, req)
		target.fill(&e)
		out.PeerLoads, out.PeersAge = e.PeerLoads, seconds(e.PeersAge)
		out.Pools = append(out.Pools, target)
	}
	return out
}

// explain returns what the account says to the body of a request, without a place for it.
func (a *memoryAccount) explain(body int64) MemoryView {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := MemoryView{Held: a.budget.Used(), Limit: a.budget.Limit(), Refused: !a.budget.CanAdmit(body)}
	if v.Refused {
		v.RetryAfter = seconds(memoryRetryAfter)
	}
	return v
}

// seconds returns a duration in seconds, in whole milliseconds.
func seconds(d time.Duration) float64 { return math.Round(d.Seconds()*1000) / 1000 }

// ServeExplain serves Explain as JSON.
func (g *Gateway) ServeExplain(w http.ResponseWriter, r *http.Request) {
	explained, err := ParseExplainedRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	view, err := g.Explain(r.Context(), explained)
	var unknown *UnknownNameError
	switch {
	case errors.As(err, &unknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, errNoAccount):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(view)
	}
}
