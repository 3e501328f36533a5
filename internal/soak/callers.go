package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

// routes are the paths that callers ask, by how often.
var weightedRoutes = []string{"confirm", "confirm", "read", "draft", "brief"}

const (
	// callerPatience is how long a caller waits for its answer.
	callerTimeout = 2500 * time.Millisecond
	// callerPause is the longest pause of a caller between two requests.
	maxCallerPause = 20 * time.Millisecond
)

// answer is what a caller got for a request.
type result struct {
	id, route string
	host      *hostProcess
	sent      time.Time
	// status is 0 when no answer began.
	status int
	body   string
	signed bool
	// whole says that the answer ended as its form says.
	complete bool
}

// refused says that the answer promises that the request has not run and never
// will.
func (a *result) isRefused() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// once says that the request may run once.
func (a *result) runsAtMostOnce() bool { return a.route == "confirm" || a.route == "draft" }

// callers ask all hosts until they are stopped. Each keeps its connection.
type callers struct {
	env     *environment
	cancel  context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	results []*result
	sentIDs map[string]bool
}

func newCallers(w *environment) *callers { return &callers{env: w, sentIDs: make(map[string]bool)} }

func (c *callers) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	for i, h := range c.env.hosts {
		for n := range c.env.opts.CallersPerHost {
			rng := rand.New(rand.NewPCG(c.env.opts.Seed, uint64(100+i*c.env.opts.CallersPerHost+n)))
			c.running.Go(func() { c.sendRequests(ctx, h, fmt.Sprintf("%s-%d", h.name, n), rng) })
		}
	}
}

func (c *callers) stop() {
	c.cancel()
	c.running.Wait()
}

// ask sends requests one after another.
func (c *callers) sendRequests(ctx context.Context, h *hostProcess, name string, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		a := c.send(client, h, fmt.Sprintf("%s-%d", name, n), weightedRoutes[rng.IntN(len(weightedRoutes))])
		c.mu.Lock()
		c.results = append(c.results, a)
		c.mu.Unlock()
		sleep(ctx, time.Duration(rng.Int64N(int64(maxCallerPause))))
	}
}

// send sends one request. It does not end with the soak, so that no answer is
// lost.
func (c *callers) send(client *http.Client, h *hostProcess, id, route string) *result {
	c.mu.Lock()
	c.sentIDs[id] = true
	c.mu.Unlock()
	return sendRequest(client, h, id, route, initialKey)
}

// ask sends a request with a key.
func sendRequest(client *http.Client, h *hostProcess, id, route, key string) *result {
	a := &result{id: id, route: route, host: h, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	method := http.MethodPost
	if route == "read" {
		method = http.MethodGet
	}
	req, err := users.NewRequest(ctx, method, h.callerAddress, "/"+route+"/1", "", id, key)
	if err != nil {
		return a
	}
	if route == "draft" || route == "brief" {
		users.SetModelHeaders(req)
	}
	res, err := client.Do(req)
	if err != nil {
		return a
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	a.status, a.body, a.complete = res.StatusCode, string(body), err == nil
	a.signed = replica.HasSignature(res.Header, id)
	return a
}

// all returns the answers so far.
func (c *callers) allResults() []*result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*result(nil), c.results...)
}

// knows says that a caller has sent a request.
func (c *callers) hasSent(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentIDs[id]
}
