package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	id string
	// key and path select the tenant and the route.
	key, path string
	// prompt and output are the numbers of tokens in and out; part is the request's own
	// part of the prompt.
	prompt, output int
	deadline       time.Duration
	// maxGap is the gap after which the client abandons a stream.
	maxGap time.Duration
}

// answer is what a client got.
type answer struct {
	request
	gateway   string
	sent      time.Time
	ended     time.Time
	status    int
	events    int
	lastEvent time.Time
	// outcome is complete, refused, cut, abandoned or disordered.
	outcome string
}

// bodyBytes is the size of the bodies of requests.
var bodyBytes = 200

// client has one kept channel to a gateway.
type client struct {
	gateway *gateway
	http    *http.Client
}

func newClient(g *gateway) *client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true,
	}
	return &client{gateway: g, http: &http.Client{Transport: transport}}
}

// stream sends a request whose answer is a stream, and reads the answer.
func (c *client) stream(r request) answer {
	out := answer{request: r, gateway: c.gateway.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	body := strings.NewReader(strings.Repeat("x", bodyBytes))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway.callers+r.path+"1", body)
	if err != nil {
		fail("bad request: %v", err)
	}
	req.Host = hostName
	req.Header.Set("X-Wigeonsail-Attempt-Id", r.id)
	req.Header.Set("X-Wigeonsail-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	req.Header.Set("X-Wigeonsail-Key", r.key)
	req.Header.Set("X-Wigeonsail-Model", "m")
	req.Header.Set("X-Wigeonsail-Token-Usage", fmt.Sprintf("%d,%d", r.prompt, r.output))
	req.Header.Set("X-Wigeonsail-Prompt-Prefix", fmt.Sprintf("%s:%d", r.id, r.prompt))
	gap := time.AfterFunc(max(r.maxGap, time.Second), cancel)
	defer gap.Stop()
	res, err := c.http.Do(req)
	if err != nil {
		out.ended, out.outcome = time.Now(), cutOrAbandoned(ctx)
		return out
	}
	defer res.Body.Close()
	out.status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		out.ended, out.outcome = time.Now(), "refused"
		return out
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		id, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		out.events++
		out.lastEvent = time.Now()
		gap.Reset(r.maxGap)
		if id != strconv.Itoa(out.events) {
			out.ended, out.outcome = time.Now(), "disordered"
			return out
		}
	}
	out.ended = time.Now()
	switch {
	case lines.Err() != nil:
		out.outcome = cutOrAbandoned(ctx)
	case out.events != r.output/tokensPerEvent:
		out.outcome = "disordered"
	default:
		out.outcome = "complete"
	}
	return out
}

// cutOrAbandoned returns why an answer has no end: the client has left, or its channel was
// closed.
func cutOrAbandoned(ctx context.Context) string {
	if ctx.Err() != nil {
		return "abandoned"
	}
	return "cut"
}
