package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

// weightedRoutes lists the routes that callers choose from at random. A route
// that is listed twice is twice as likely.
var weightedRoutes = []string{"confirm", "confirm", "read", "draft", "brief"}

const (
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 2500 * time.Millisecond
	// longBodyShare is the share of requests that have a long body, if their route takes one.
	longBodyShare = 0.1
	longBodyBytes = 1 << 20
	// maxCallerPause is the longest pause of a caller between two requests.
	maxCallerPause = 20 * time.Millisecond
)

// result is the outcome of a request as its caller saw it.
type result struct {
	id, route string
	host      *hostProcess
	sent      time.Time
	// finished is when the response was complete or had failed.
	finished time.Time
	// status is the response status; 0 if there was no response.
	status int
	body   string
	// signed reports whether the response has a replica's signature.
	signed bool
	// complete reports whether the whole response body was received.
	complete bool
}

// isRefused reports whether the response guarantees that the request was not
// and will not be executed.
func (r *result) isRefused() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// runsAtMostOnce reports whether the request's route allows only one execution.
func (r *result) runsAtMostOnce() bool { return r.route == "confirm" || r.route == "draft" }

// callers sends requests to all hosts from concurrent callers until it is
// stopped. Each caller reuses its connection.
type callers struct {
	environment *environment
	cancel      context.CancelFunc
	running     sync.WaitGroup
	mu          sync.Mutex
	results     []*result
	sentIDs     map[string]bool
}

func newCallers(env *environment) *callers {
	return &callers{environment: env, sentIDs: make(map[string]bool)}
}

func (c *callers) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	for i, h := range c.environment.hosts {
		for n := range c.environment.opts.CallersPerHost {
			rng := rand.New(rand.NewPCG(c.environment.opts.Seed, uint64(100+i*c.environment.opts.CallersPerHost+n)))
			c.running.Go(func() { c.sendRequests(ctx, h, fmt.Sprintf("%s-%d", h.name, n), rng) })
		}
	}
}

func (c *callers) stop() {
	c.cancel()
	c.running.Wait()
}

// sendRequests sends requests one after another until ctx is done.
func (c *callers) sendRequests(ctx context.Context, h *hostProcess, name string, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		route, bodyBytes := weightedRoutes[rng.IntN(len(weightedRoutes))], 0
		if rng.Float64() < longBodyShare && route != "read" {
			bodyBytes = longBodyBytes
		}
		r := c.send(client, h, fmt.Sprintf("%s-%d", name, n), route, bodyBytes)
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		sleep(ctx, time.Duration(rng.Int64N(int64(maxCallerPause))))
	}
}

// send sends one request. It isn't canceled when the callers stop, so that no
// response is lost.
func (c *callers) send(client *http.Client, h *hostProcess, id, route string, bodyBytes int) *result {
	c.mu.Lock()
	c.sentIDs[id] = true
	c.mu.Unlock()
	return sendRequest(client, h, id, route, initialKey, bodyBytes)
}

// sendRequest sends a request with a caller key and a body of a length, and returns its
// outcome.
func sendRequest(client *http.Client, h *hostProcess, id, route, key string, bodyBytes int) *result {
	r := &result{id: id, route: route, host: h, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	method := http.MethodPost
	if route == "read" {
		method = http.MethodGet
	}
	req, err := users.NewRequest(ctx, method, h.callerAddress, "/"+route+"/1", strings.Repeat("x", bodyBytes), id, key)
	if err != nil {
		return r
	}
	if route == "draft" || route == "brief" {
		users.SetModelHeaders(req)
	}
	res, err := client.Do(req)
	if err != nil {
		return r
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	r.finished = time.Now()
	r.status, r.body, r.complete = res.StatusCode, string(body), err == nil
	r.signed = replica.HasSignature(res.Header, id)
	return r
}

// allResults returns the results so far.
func (c *callers) allResults() []*result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*result(nil), c.results...)
}

// hasSent reports whether a caller has sent the request with this id.
func (c *callers) hasSent(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentIDs[id]
}
