package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
)

// headerResumeFrom carries the index of the first token to send, in requests to
// resume a stream and in the responses to them.
const headerResumeFrom = "X-Resume-From-Token"

// maxTagRunes is the maximum length of contentTag's result.
const maxTagRunes = 48

// headerRequestID identifies a request; responses return it.
const headerRequestID = "X-Request-Id"

// completionRequest holds the fields of a completion request that the engine
// uses.
type completionRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Priority  int       `json:"priority"`
	User      string    `json:"user"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
}

type message struct {
	Content string `json:"content"`
}

// contentTag returns the text that every token of the response repeats, so that
// tests can match a response to its request: the start of the user field if
// set, else of the prompt, else of the last message.
func (c *completionRequest) contentTag() string {
	text := c.User
	if text == "" {
		text = c.Prompt
	}
	if text == "" && len(c.Messages) > 0 {
		text = c.Messages[len(c.Messages)-1].Content
	}
	runes := []rune(text)
	return string(runes[:min(len(runes), maxTagRunes)])
}

// tokenText returns the text of the token at an index. It is the same at every
// replica, so that a resumed stream can be checked.
func tokenText(tag string, index int) string {
	return tag + "#" + strconv.Itoa(index) + " "
}

// serveCompletion serves the completion endpoints. It waits for a slot before
// it generates.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	faults := e.currentFaults()
	if faults.Refuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "engine takes no requests", http.StatusServiceUnavailable)
		return
	}
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(headerResumeFrom))
	if from > 0 && !e.opts.CanResume {
		from = 0
	}
	if e.slots.acquire(r.Context(), c.Priority) != nil {
		return
	}
	defer e.slots.release()
	e.updateStats(func(s *Stats) {
		s.Started++
		if from > 0 {
			s.Resumed++
		}
	})
	g := &generation{engine: e, w: w, ctx: r.Context(), request: &c, from: from, tokens: e.numTokens(&c)}
	g.serve(faults)
}

// numTokens returns the number of tokens to generate for a request.
func (e *Engine) numTokens(c *completionRequest) int {
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	return e.opts.DefaultTokens
}

// generation is one response in progress.
type generation struct {
	engine  *Engine
	w       http.ResponseWriter
	ctx     context.Context
	request *completionRequest
	// from is the index of the first token to send, tokens the number of tokens
	// of the whole response.
	from   int
	tokens int
}

// serve writes the response, subject to the faults.
func (g *generation) serve(faults Faults) {
	switch {
	case faults.Silent:
		<-g.ctx.Done()
	case faults.Garbage:
		g.w.Header().Set("Content-Type", "application/x-noise")
		g.w.Write([]byte("\x00\x01 no answer"))
		return
	case g.request.Stream:
		g.serveStream()
	default:
		g.serveJSON()
	}
}

// generateToken waits for the time that a token takes. It returns false if the
// client has disconnected, and aborts the connection under the CloseAfter
// fault.
func (g *generation) generateToken(index int) bool {
	faults := g.engine.currentFaults()
	if faults.CloseAfter > 0 && index >= faults.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	wait := g.engine.opts.BetweenTokens
	if index == g.from {
		wait = g.engine.opts.FirstToken
	}
	wait += time.Duration(faults.SlowByMS) * time.Millisecond
	if !clock.Sleep(g.ctx, wait) {
		g.engine.updateStats(func(s *Stats) { s.Canceled++ })
		return false
	}
	g.engine.updateStats(func(s *Stats) { s.Generated++ })
	return true
}

// serveStream sends the tokens from index from on as server-sent events.
func (g *generation) serveStream() {
	header := g.w.Header()
	header.Set("Content-Type", "text/event-stream")
	if g.from > 0 {
		header.Set(headerResumeFrom, strconv.Itoa(g.from))
	}
	control := http.NewResponseController(g.w)
	tag := g.request.contentTag()
	for i := g.from; i < g.tokens; i++ {
		if !g.generateToken(i) {
			return
		}
		text, _ := json.Marshal(tokenText(tag, i))
		fmt.Fprintf(g.w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", g.engine.opts.Name, text)
		if control.Flush() != nil {
			g.engine.updateStats(func(s *Stats) { s.Canceled++ })
			return
		}
	}
	fmt.Fprint(g.w, "data: [DONE]\n\n")
	g.engine.updateStats(func(s *Stats) { s.Finished++ })
}

// serveJSON sends all tokens in one JSON body.
func (g *generation) serveJSON() {
	var text strings.Builder
	tag := g.request.contentTag()
	for i := range g.tokens {
		if !g.generateToken(i) {
			return
		}
		text.WriteString(tokenText(tag, i))
	}
	g.w.Header().Set("Content-Type", "application/json")
	content, _ := json.Marshal(text.String())
	fmt.Fprintf(g.w, "{\"id\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%s}}],\"usage\":{\"completion_tokens\":%d}}\n",
		g.engine.opts.Name, content, g.tokens)
	g.engine.updateStats(func(s *Stats) { s.Finished++ })
}
