package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/gateway"
	"github.com/wigeonsail/wigeonsail/internal/server"
)

// explainCmd explains where gateways would send a request now.
type explainCmd struct {
	Target      string        `arg:"" placeholder:"ROUTE|HOST/PATH" help:"Name of the route, or host name and path of the request."`
	Metrics     []string      `required:"" placeholder:"URL" help:"Metrics address of a gateway, for example http://127.0.0.1:9464. Repeat it for several."`
	Account     string        `help:"Client account of the caller."`
	Pool        string        `help:"Only this pool of a route that is split."`
	Method      string        `default:"POST" help:"Method of the request."`
	Shared      []string      `sep:"none" placeholder:"NAME:TOKENS" help:"Shared part of the prompt, by the name that callers give it, or by #ID with the ID in logs. Repeat it in the order of the prompt."`
	Unshared    int           `help:"Prompt tokens that are not shared."`
	Output      int           `help:"Largest number of output tokens."`
	Limit       time.Duration `help:"Time limit of the caller."`
	Body        int64         `help:"Size of the body in bytes."`
	Fingerprint string        `placeholder:"ID" help:"Fingerprint of the request in logs, to find it among those that crash endpoints."`
	Avoid       []string      `placeholder:"ENDPOINT" help:"Endpoint that has failed the request. Repeat it for several."`
	JSON        bool          `help:"Print JSON."`
}

// Run prints the explanation of each gateway. It fails if one gave none.
func (c explainCmd) Run() error {
	request, err := c.request()
	if err != nil {
		return &usageError{cause: err}
	}
	for _, url := range c.Metrics {
		view, err := fetchExplanation(context.Background(), url, request)
		if err != nil {
			return err
		}
		if c.JSON {
			err = printJSON(view)
		} else {
			err = printExplanation(view)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// request returns the request to explain.
func (c explainCmd) request() (gateway.ExplainedRequest, error) {
	out := gateway.ExplainedRequest{
		Pool: model.PoolName(c.Pool), Account: model.AccountName(c.Account), Method: c.Method,
		Unshared: c.Unshared, MaxOutputTokens: c.Output, TimeLimit: c.Limit, BodyBytes: c.Body,
	}
	if host, path, found := strings.Cut(c.Target, "/"); found {
		out.Host, out.Path = host, "/"+path
	} else {
		out.Route = c.Target
	}
	if c.Unshared < 0 || c.Output < 0 || c.Limit < 0 || c.Body < 0 {
		return out, errors.New("--unshared, --output, --limit and --body must not be negative")
	}
	if c.Fingerprint != "" {
		if out.Fingerprint.UnmarshalText([]byte(strings.TrimPrefix(c.Fingerprint, "request-"))) != nil {
			return out, fmt.Errorf("--fingerprint: %q is not hexadecimal", c.Fingerprint)
		}
	}
	for _, text := range c.Shared {
		part, err := parsePart(text)
		if err != nil {
			return out, err
		}
		out.Shared = append(out.Shared, part)
	}
	for _, name := range c.Avoid {
		out.Avoid = append(out.Avoid, model.EndpointName(name))
	}
	return out, nil
}

// parsePart decodes NAME:TOKENS or #ID:TOKENS.
func parsePart(text string) (model.Part, error) {
	malformed := fmt.Errorf("--shared: %q is not NAME:TOKENS", text)
	at := strings.LastIndexByte(text, ':')
	if at < 1 {
		return model.Part{}, malformed
	}
	tokens, err := strconv.Atoi(text[at+1:])
	if err != nil || tokens < 0 {
		return model.Part{}, malformed
	}
	part := model.Part{ID: server.PartID(text[:at]), Tokens: tokens}
	if id, found := strings.CutPrefix(text[:at], "#"); found && part.ID.UnmarshalText([]byte(id)) != nil {
		return model.Part{}, malformed
	}
	return part, nil
}

// maxErrorBytes bounds the error text of a gateway.
const maxErrorBytes = 4 << 10

// fetchExplanation fetches the explanation of a gateway.
func fetchExplanation(ctx context.Context, url string, request gateway.ExplainedRequest) (gateway.ExplainView, error) {
	var view gateway.ExplainView
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	res, err := callGateway(ctx, http.MethodGet, url, "/explain?"+request.Values().Encode())
	if err != nil {
		return view, err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		return view, json.NewDecoder(res.Body).Decode(&view)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return view, err
	}
	err = fmt.Errorf("%s: %s", url, cmp.Or(strings.TrimSpace(string(text)), res.Status))
	if res.StatusCode == http.StatusBadRequest {
		return view, &usageError{cause: err}
	}
	return view, err
}

// printExplanation prints an explanation as text.
func printExplanation(v gateway.ExplainView) error {
	fmt.Printf("%s in %s: route %s (%s), account %s, tier %d, rank %d, time limit %.3g s, target %.3g s\n",
		v.Host, v.Domain, v.Route, v.Kind, orDash(string(v.Account)), v.Tier, v.Rank, v.TimeLimit, v.Target)
	fmt.Printf("rests on configuration %d, confirmed %.1f s ago; list of endpoints read %.1f s ago; %d load reports of peers, the oldest %.1f s old\n",
		v.Version, v.ConfigAge, v.ListAge, v.PeerLoads, v.PeersAge)
	if v.Leaving {
		fmt.Println("the host is leaving")
	}
	if v.Memory.Refused {
		fmt.Printf("REFUSED: no memory for the body, %d of %d bytes are held; Retry-After at least %.1f s\n", v.Memory.Held, v.Memory.Limit, v.Memory.RetryAfter)
	}
	if s := v.Suspect; s != nil {
		fmt.Printf("REFUSED: %s for %s, Retry-After %.1f s\n", s.Reason, s.Suspect, s.RetryAfter)
	}
	for _, p := range v.Pools {
		if err := printPool(p); err != nil {
			return err
		}
	}
	return nil
}

// printPool prints the decision in a pool and its candidates as text.
func printPool(p gateway.PoolView) error {
	fmt.Printf("\npool %s, drawn for %.0f %% of the requests (weight %d): ", p.Pool, 100*p.Share, p.Weight)
	if p.Reason != "" {
		fmt.Printf("REFUSED, %s, Retry-After %.1f s\n", p.Reason, p.RetryAfter)
	} else {
		through := ""
		if p.Indirect {
			through = " through another host"
		}
		fmt.Printf("goes to %s at %s%s, first response expected in %.3f s, engine priority %d\n", p.Endpoint, p.Address, through, p.Expected, p.Priority)
	}
	if p.FetchFrom != "" {
		fmt.Printf("the shared parts are fetched from %s if they are cached there\n", p.FetchFrom)
	}
	rows := [][]string{{"ENDPOINT", "DOMAIN", "STATE", "IN FLIGHT", "COST", "EXPECTED", "PREFILL", "TERMS"}}
	for _, c := range p.Candidates {
		row := []string{string(c.Endpoint), string(c.Domain), candidateState(c, p), strconv.Itoa(c.InFlight), "-", "-", "-", "-"}
		if c.Excluded == "" {
			row = append(row[:4], fmt.Sprintf("%.3f", c.Cost), fmt.Sprintf("%.3f s", c.Expected), strconv.Itoa(c.Prefill), termsText(c.Terms))
		}
		rows = append(rows, row)
	}
	return printTable(rows)
}

// candidateState returns why an endpoint is excluded, or how it was compared.
func candidateState(c gateway.CandidateView, p gateway.PoolView) string {
	var out []string
	switch {
	case c.Excluded != "":
		out = append(out, "excluded: "+string(c.Excluded))
	case c.Endpoint == p.Endpoint:
		out = append(out, "chosen")
	default:
		out = append(out, "compared")
	}
	if c.Reserved {
		out = append(out, "reserved")
	}
	if c.Limited {
		out = append(out, "limited")
	}
	return strings.Join(out, ",")
}

// termsText returns the terms of a cost, the largest first.
func termsText(terms map[string]float64) string {
	names := slices.SortedFunc(maps.Keys(terms), func(a, b string) int {
		return cmp.Or(cmp.Compare(terms[b], terms[a]), cmp.Compare(a, b))
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %.3f", name, terms[name])
	}
	return orDash(strings.Join(names, ", "))
}
