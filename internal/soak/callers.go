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
var routes = []string{"confirm", "confirm", "read", "draft", "brief"}

const (
	// callerPatience is how long a caller waits for its answer.
	callerPatience = 2500 * time.Millisecond
	// callerPause is the longest pause of a caller between two requests.
	callerPause = 20 * time.Millisecond
)

// answer is what a caller got for a request.
type answer struct {
	id, route string
	host      *hostProcess
	sent      time.Time
	// status is 0 when no answer began.
	status int
	body   string
	signed bool
	// whole says that the answer ended as its form says.
	whole bool
}

// refused says that the answer promises that the request has not run and never
// will.
func (a *answer) refused() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// once says that the request may run once.
func (a *answer) once() bool { return a.route == "confirm" || a.route == "draft" }

// callers ask all hosts until they are stopped. Each keeps its connection.
type callers struct {
	world   *world
	cancel  context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	answers []*answer
	sent    map[string]bool
}

func newCallers(w *world) *callers { return &callers{world: w, sent: make(map[string]bool)} }

func (c *callers) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	for i, h := range c.world.hosts {
		for n := range c.world.opts.Clients {
			rng := rand.New(rand.NewPCG(c.world.opts.Seed, uint64(100+i*c.world.opts.Clients+n)))
			c.running.Go(func() { c.ask(ctx, h, fmt.Sprintf("%s-%d", h.name, n), rng) })
		}
	}
}

func (c *callers) stop() {
	c.cancel()
	c.running.Wait()
}

// ask sends requests one after another.
func (c *callers) ask(ctx context.Context, h *hostProcess, name string, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		a := c.send(client, h, fmt.Sprintf("%s-%d", name, n), routes[rng.IntN(len(routes))])
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
		sleep(ctx, time.Duration(rng.Int64N(int64(callerPause))))
	}
}

// send sends one request. It does not end with the soak, so that no answer is
// lost.
func (c *callers) send(client *http.Client, h *hostProcess, id, route string) *answer {
	c.mu.Lock()
	c.sent[id] = true
	c.mu.Unlock()
	return ask(client, h, id, route, firstKey)
}

// ask sends a request with a key.
func ask(client *http.Client, h *hostProcess, id, route, key string) *answer {
	a := &answer{id: id, route: route, host: h, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	method := http.MethodPost
	if route == "read" {
		method = http.MethodGet
	}
	req, err := users.NewRequest(ctx, method, h.callers, "/"+route+"/1", "", id, key)
	if err != nil {
		return a
	}
	if route == "draft" || route == "brief" {
		users.SetPrompt(req)
	}
	res, err := client.Do(req)
	if err != nil {
		return a
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	a.status, a.body, a.whole = res.StatusCode, string(body), err == nil
	a.signed = replica.Signed(res.Header, id)
	return a
}

// all returns the answers so far.
func (c *callers) all() []*answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*answer(nil), c.answers...)
}

// knows says that a caller has sent a request.
func (c *callers) knows(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}
