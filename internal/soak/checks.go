package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

const (
	// drainBound is the time after which a draining endpoint gets no request, and
	// configBound that in which a configuration is in force, while hosts hear of
	// changes.
	drainBound  = 2 * time.Second
	configBound = 2 * time.Second
	// recoverTries is the number of requests of which one must be answered after
	// the faults, at each host and route.
	recoverTries = 10
)

// checks finds broken promises from what callers and endpoints have seen.
type checks struct {
	world   *world
	callers *callers
	faults  *faults
	broken  []string
	seen    map[string]bool
}

// during lets faults come, and checks meanwhile.
func (c *checks) during(ctx context.Context, length time.Duration) {
	c.seen = make(map[string]bool)
	end := time.Now().Add(length)
	checked := time.Now()
	for now := time.Now(); now.Before(end) && ctx.Err() == nil; now = time.Now() {
		c.faults.tick(now)
		if now.Sub(checked) >= checkEvery {
			checked = now
			c.everything()
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// fail notes a broken promise once.
func (c *checks) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if c.seen[text] {
		return
	}
	c.seen[text] = true
	c.broken = append(c.broken, text)
	c.world.trace("BROKEN %s", text)
}

// everything checks all that has happened so far.
func (c *checks) everything() {
	// Answers are read before runs, so that the run of each is among them.
	answers := c.callers.all()
	runs := make(map[string][]replica.Run)
	for _, e := range c.world.endpoints() {
		for _, run := range e.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			c.checkRun(e, run)
		}
	}
	for _, a := range answers {
		c.checkAnswer(a, runs[a.id])
	}
}

// checkRun checks what an endpoint has run.
func (c *checks) checkRun(e *endpoint, run replica.Run) {
	if !c.callers.knows(run.ID) && !strings.HasPrefix(run.ID, "probe-") {
		c.fail("%s ran %s, which nobody sent", e.Instance(), run.ID)
	}
	if run.Account() != users.Account || run.Key() != "" {
		c.fail("%s ran %s with headers of others", e.Instance(), run.ID)
	}
	late := run.At.Sub(e.drained)
	if !e.drained.IsZero() && late > drainBound && c.faults.calm(e.drained.Add(-time.Second), run.At) {
		c.fail("%s drains and ran %s %s later", e.Instance(), run.ID, late.Round(time.Millisecond))
	}
}

// checkAnswer checks an answer against the runs of its request.
func (c *checks) checkAnswer(a *answer, runs []replica.Run) {
	if a.once() && len(runs) > 1 {
		c.fail("%s may run once and ran %d times", a.id, len(runs))
	}
	if a.refused() && a.once() && len(runs) > 0 {
		c.fail("%s was told %d, not run, and ran", a.id, a.status)
	}
	if a.status != http.StatusOK || !a.whole {
		return
	}
	if !a.signed || len(runs) == 0 {
		c.fail("%s has an answer that no endpoint made", a.id)
	}
	if want := expected(a); a.body != want {
		c.fail("%s has a wrong answer %.60q", a.id, a.body)
	}
}

// expected is the answer of an endpoint to a request.
func expected(a *answer) string {
	if a.route == "confirm" || a.route == "read" {
		return replica.AnswerTo(a.id)
	}
	return replica.StreamOf(streamEvents)
}

// recovered checks that each host serves all routes after the faults, with the
// newest configuration.
func (c *checks) recovered(ctx context.Context) {
	c.world.publish()
	sleep(ctx, configBound)
	key := c.world.newestKey()
	for _, h := range c.world.hosts {
		for _, route := range []string{"confirm", "read", "draft", "brief"} {
			if !c.serves(h, route, key) {
				c.fail("%s does not serve %s after the faults", h.name, route)
			}
		}
	}
}

func (c *checks) serves(h *hostProcess, route, key string) bool {
	for n := range recoverTries {
		a := ask(http.DefaultClient, h, fmt.Sprintf("probe-%s-%s-%d", h.name, route, n), route, key)
		if a.status == http.StatusOK && a.whole {
			return true
		}
	}
	return false
}

func (c *checks) report() Report {
	r := Report{Seed: c.world.opts.Seed, Faults: c.faults.count, Broken: c.broken}
	for _, a := range c.callers.all() {
		r.Requests++
		switch {
		case a.status == http.StatusOK && a.whole:
			r.Answered++
		case a.refused():
			r.Refused++
		default:
			r.Failed++
		}
	}
	return r
}
