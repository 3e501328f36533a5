package gateway

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
)

// ExplainView is how a host would decide on a request now, and what that rests on. Times
// are in seconds.
type ExplainView struct {
	Host   model.HostID     `json:"host"`
	Domain model.DomainName `json:"domain"`
	// Leaving reports whether the host is leaving and takes new requests only for a while.
	Leaving bool `json:"leaving"`
	// Version is the configuration in force, ConfigAge the time since it was known to be
	// the newest one, ListAge the age of the newest read of the list of endpoints.
	Version   model.Version `json:"version"`
	ConfigAge float64       `json:"config_age_s"`
	ListAge   float64       `json:"list_age_s"`
	// PeerLoads is the number of load reports in use of other hosts and of whole failure
	// domains, PeersAge the age of the oldest one.
	PeerLoads int     `json:"peer_loads"`
	PeersAge  float64 `json:"peers_age_s"`

	Route       string            `json:"route"`
	Kind        string            `json:"kind"`
	Account     model.AccountName `json:"account,omitempty"`
	Tier        model.Tier        `json:"tier"`
	Rank        model.Tier        `json:"rank"`
	TimeLimit   float64           `json:"time_limit_s"`
	Target      float64           `json:"target_s"`
	Fingerprint model.Fingerprint `json:"fingerprint"`

	Memory MemoryView `json:"memory"`
	// Suspect is set if the request is in quarantine or suspended.
	Suspect *ExplainedSuspect `json:"suspect,omitempty"`
	// Pools are those that the route's requests are drawn for. What they say applies unless
	// Memory or Suspect refuses the request.
	Pools []PoolView `json:"pools"`
}

// MemoryView is the memory that a host holds for requests, in bytes.
type MemoryView struct {
	Held  int64 `json:"held"`
	Limit int64 `json:"limit"`
	// Refused reports whether there is no room for the request. RetryAfter is the shortest
	// time that its caller is told then.
	Refused    bool    `json:"refused"`
	RetryAfter float64 `json:"retry_after_s,omitempty"`
}

// ExplainedSuspect is the refusal of a request under which endpoints crash.
type ExplainedSuspect struct {
	Suspect    quarantine.Suspect `json:"suspect"`
	Reason     balance.Reason     `json:"reason"`
	RetryAfter float64            `json:"retry_after_s"`
}

// PoolView is the decision for a request in a pool.
type PoolView struct {
	Pool model.PoolName `json:"pool"`
	// Weight is the weight of the pool in the route, Share its share of the requests.
	Weight int     `json:"weight"`
	Share  float64 `json:"share"`
	// Endpoint gets the request; empty for a refusal.
	Endpoint model.EndpointName `json:"endpoint,omitempty"`
	Address  string             `json:"address,omitempty"`
	// Indirect reports that another host would send the request there.
	Indirect bool `json:"indirect,omitempty"`
	// Priority is the engine priority, FetchFrom the endpoint to fetch the shared parts
	// from, Expected the estimated time to the first response.
	Priority  int     `json:"priority"`
	FetchFrom string  `json:"fetch_from,omitempty"`
	Expected  float64 `json:"expected_s"`
	// Reason and RetryAfter are set for a refusal.
	Reason     balance.Reason  `json:"reason,omitempty"`
	RetryAfter float64         `json:"retry_after_s,omitempty"`
	Candidates []CandidateView `json:"candidates"`
}

// CandidateView is an endpoint of a pool.
type CandidateView struct {
	Endpoint model.EndpointName `json:"endpoint"`
	Domain   model.DomainName   `json:"domain"`
	// Excluded is why the endpoint was not compared with the others; empty if it was.
	Excluded balance.Exclusion `json:"excluded,omitempty"`
	Reserved bool              `json:"reserved"`
	Limited  bool              `json:"limited"`
	InFlight int               `json:"in_flight"`
	// Cost is the sum of Terms, which are the costs by name without those that are 0.
	Cost     float64            `json:"cost"`
	Terms    map[string]float64 `json:"terms,omitempty"`
	Expected float64            `json:"expected_s"`
	Prefill  int                `json:"prefill"`
}

// fill sets the decision and the candidates.
func (v *PoolView) fill(e *balance.Explanation) {
	v.Endpoint, v.Address, v.Priority, v.FetchFrom = e.Endpoint, e.Address, e.Priority, e.FetchFrom
	v.Expected, v.Reason, v.RetryAfter = seconds(e.Expected), e.Reason, seconds(e.RetryAfter)
	v.Candidates = make([]CandidateView, 0, len(e.Candidates))
	for _, c := range e.Candidates {
		v.Candidates = append(v.Candidates, CandidateView{
			Endpoint: c.Endpoint, Domain: c.Domain, Excluded: c.Excluded, Reserved: c.Reserved, Limited: c.Limited,
			InFlight: c.InFlight, Cost: c.Cost, Terms: c.Terms, Expected: seconds(c.Expected), Prefill: c.Prefill,
		})
	}
}

// Values returns the request as the parameters of a URL.
func (r *ExplainedRequest) Values() url.Values {
	out := make(url.Values)
	for key, value := range map[string]string{
		"route": r.Route, "host": r.Host, "path": r.Path, "pool": string(r.Pool), "account": string(r.Account), "method": r.Method,
		"unshared": strconv.Itoa(r.Unshared), "output": strconv.Itoa(r.MaxOutputTokens), "limit": r.TimeLimit.String(),
		"body": strconv.FormatInt(r.BodyBytes, 10), "fingerprint": r.Fingerprint.String(),
	} {
		out.Set(key, value)
	}
	for _, part := range r.Shared {
		out.Add("part", part.ID.String())
		out.Add("tokens", strconv.Itoa(part.Tokens))
	}
	for _, name := range r.Avoid {
		out.Add("avoid", string(name))
	}
	return out
}

// ParameterError is the error for a malformed parameter.
type ParameterError struct{ Name, Text string }

// Error implements error.
func (e *ParameterError) Error() string {
	return fmt.Sprintf("malformed parameter %s: %q", e.Name, e.Text)
}

// parameters reads the parameters of a URL and keeps the first error.
type parameters struct {
	url.Values
	err error
}

// number returns a number that is not negative; 0 if the text is empty or malformed.
func (p *parameters) number(name, text string) int64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < 0 {
		p.fail(name, text)
		return 0
	}
	return n
}

// id returns a number in hexadecimal; 0 if the text is empty or malformed.
func (p *parameters) id(name, text string) uint64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		p.fail(name, text)
	}
	return n
}

// limit returns the time limit; 0 for none.
func (p *parameters) limit() time.Duration {
	text := p.Get("limit")
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		p.fail("limit", text)
	}
	return max(d, 0)
}

func (p *parameters) fail(name, text string) {
	if p.err == nil {
		p.err = &ParameterError{Name: name, Text: text}
	}
}

// ParseExplainedRequest decodes the parameters of a URL, as Values returns them.
func ParseExplainedRequest(values url.Values) (ExplainedRequest, error) {
	p := parameters{Values: values}
	out := ExplainedRequest{
		Route: p.Get("route"), Host: p.Get("host"), Path: p.Get("path"), Pool: model.PoolName(p.Get("pool")),
		Account: model.AccountName(p.Get("account")), Method: p.Get("method"),
		Unshared: int(p.number("unshared", p.Get("unshared"))), MaxOutputTokens: int(p.number("output", p.Get("output"))),
		TimeLimit: p.limit(), BodyBytes: p.number("body", p.Get("body")),
		Fingerprint: model.Fingerprint(p.id("fingerprint", p.Get("fingerprint"))),
	}
	tokens := values["tokens"]
	for i, id := range values["part"] {
		part := model.Part{ID: model.PartID(p.id("part", id))}
		if i < len(tokens) {
			part.Tokens = int(p.number("tokens", tokens[i]))
		}
		out.Shared = append(out.Shared, part)
	}
	for _, name := range values["avoid"] {
		out.Avoid = append(out.Avoid, model.EndpointName(name))
	}
	return out, p.err
}
