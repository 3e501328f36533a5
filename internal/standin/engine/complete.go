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

// headerResumeFrom names the first token that is wanted.
const headerResumeFrom = "X-Resume-From-Token"

// maxTagRunes bounds the part of the prompt that answers repeat.
const maxTagRunes = 48

// call is the part of a completion request that the engine reads.
type call struct {
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

// tag tells whose answer a text is: the user field, else the prompt's start.
func (c *call) tag() string {
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

// tokenText is the text of one token. Answers are the same at every replica,
// so that a resumed stream can be checked.
func tokenText(tag string, index int) string {
	return tag + "#" + strconv.Itoa(index) + " "
}

// complete serves a completion call.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	faults := e.currentFaults()
	if faults.Refuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "engine takes no requests", http.StatusServiceUnavailable)
		return
	}
	var c call
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
	e.count(func(s *Stats) {
		s.Started++
		if from > 0 {
			s.Resumed++
		}
	})
	run := &run{engine: e, w: w, ctx: r.Context(), call: &c, from: from, tokens: e.length(&c)}
	run.answer(faults)
}

func (e *Engine) length(c *call) int {
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	return e.opts.DefaultTokens
}

// run is one answer in progress.
type run struct {
	engine *Engine
	w      http.ResponseWriter
	ctx    context.Context
	call   *call
	from   int
	tokens int
}

func (r *run) answer(faults Faults) {
	switch {
	case faults.Silent:
		<-r.ctx.Done()
	case faults.Garbage:
		r.w.Header().Set("Content-Type", "application/x-noise")
		r.w.Write([]byte("\x00\x01 no answer"))
		return
	case r.call.Stream:
		r.stream()
	default:
		r.whole()
	}
}

// generate waits for one token. It returns false when the caller has gone or
// a fault ends the answer.
func (r *run) generate(index int) bool {
	faults := r.engine.currentFaults()
	if faults.CloseAfter > 0 && index >= faults.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	wait := r.engine.opts.BetweenTokens
	if index == r.from {
		wait = r.engine.opts.FirstToken
	}
	wait += time.Duration(faults.SlowByMS) * time.Millisecond
	if !clock.Sleep(r.ctx, wait) {
		r.engine.count(func(s *Stats) { s.Canceled++ })
		return false
	}
	r.engine.count(func(s *Stats) { s.Generated++ })
	return true
}

func (r *run) stream() {
	header := r.w.Header()
	header.Set("Content-Type", "text/event-stream")
	if r.from > 0 {
		header.Set(headerResumeFrom, strconv.Itoa(r.from))
	}
	control := http.NewResponseController(r.w)
	tag := r.call.tag()
	for i := r.from; i < r.tokens; i++ {
		if !r.generate(i) {
			return
		}
		text, _ := json.Marshal(tokenText(tag, i))
		fmt.Fprintf(r.w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", r.engine.opts.Name, text)
		if control.Flush() != nil {
			r.engine.count(func(s *Stats) { s.Canceled++ })
			return
		}
	}
	fmt.Fprint(r.w, "data: [DONE]\n\n")
	r.engine.count(func(s *Stats) { s.Finished++ })
}

func (r *run) whole() {
	var text strings.Builder
	tag := r.call.tag()
	for i := range r.tokens {
		if !r.generate(i) {
			return
		}
		text.WriteString(tokenText(tag, i))
	}
	r.w.Header().Set("Content-Type", "application/json")
	content, _ := json.Marshal(text.String())
	fmt.Fprintf(r.w, "{\"id\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%s}}],\"usage\":{\"completion_tokens\":%d}}\n",
		r.engine.opts.Name, content, r.tokens)
	r.engine.count(func(s *Stats) { s.Finished++ })
}
