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
	maxDrainDelay  = 2 * time.Second
	maxConfigDelay = 2 * time.Second
	// recoverTries is the number of requests of which one must be answered after
	// the faults, at each host and route.
	recoveryAttempts = 10
)

// checks finds broken promises from what callers and endpoints have seen.
type checker struct {
	env        *environment
	callers    *callers
	faults     *faultInjector
	violations []string
	reported   map[string]bool
}

// during lets faults come, and checks meanwhile.
func (c *checker) runWithFaults(ctx context.Context, length time.Duration) {
	c.reported = make(map[string]bool)
	end := time.Now().Add(length)
	checked := time.Now()
	for now := time.Now(); now.Before(end) && ctx.Err() == nil; now = time.Now() {
		c.faults.tick(now)
		if now.Sub(checked) >= checkInterval {
			checked = now
			c.checkAll()
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// fail notes a broken promise once.
func (c *checker) recordViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if c.reported[text] {
		return
	}
	c.reported[text] = true
	c.violations = append(c.violations, text)
	c.env.trace("BROKEN %s", text)
}

// everything checks all that has happened so far.
func (c *checker) checkAll() {
	// Answers are read before runs, so that the run of each is among them.
	answers := c.callers.allResults()
	runs := make(map[string][]replica.Execution)
	for _, e := range c.env.endpoints() {
		for _, run := range e.Executions() {
			runs[run.ID] = append(runs[run.ID], run)
			c.checkExecution(e, run)
		}
	}
	for _, a := range answers {
		c.checkResult(a, runs[a.id])
	}
}

// checkRun checks what an endpoint has run.
func (c *checker) checkExecution(e *endpoint, run replica.Execution) {
	if !c.callers.hasSent(run.ID) && !strings.HasPrefix(run.ID, "probe-") {
		c.recordViolation("%s ran %s, which nobody sent", e.Instance(), run.ID)
	}
	if run.Account() != users.Account || run.CallerKey() != "" {
		c.recordViolation("%s ran %s with headers of others", e.Instance(), run.ID)
	}
	late := run.StartedAt.Sub(e.drained)
	if !e.drained.IsZero() && late > maxDrainDelay && c.faults.isUndisturbed(e.drained.Add(-time.Second), run.StartedAt) {
		c.recordViolation("%s drains and ran %s %s later", e.Instance(), run.ID, late.Round(time.Millisecond))
	}
}

// checkAnswer checks an answer against the runs of its request.
func (c *checker) checkResult(a *result, runs []replica.Execution) {
	if a.runsAtMostOnce() && len(runs) > 1 {
		c.recordViolation("%s may run once and ran %d times", a.id, len(runs))
	}
	if a.isRefused() && a.runsAtMostOnce() && len(runs) > 0 {
		c.recordViolation("%s was told %d, not run, and ran", a.id, a.status)
	}
	if a.status != http.StatusOK || !a.complete {
		return
	}
	if !a.signed || len(runs) == 0 {
		c.recordViolation("%s has an answer that no endpoint made", a.id)
	}
	if want := expectedBody(a); a.body != want {
		c.recordViolation("%s has a wrong answer %.60q", a.id, a.body)
	}
}

// expected is the answer of an endpoint to a request.
func expectedBody(a *result) string {
	if a.route == "confirm" || a.route == "read" {
		return replica.ResponseBody(a.id)
	}
	return replica.StreamBody(streamEvents)
}

// recovered checks that each host serves all routes after the faults, with the
// newest configuration.
func (c *checker) checkRecovery(ctx context.Context) {
	c.env.publish()
	sleep(ctx, maxConfigDelay)
	key := c.env.newestKey()
	for _, h := range c.env.hosts {
		for _, route := range []string{"confirm", "read", "draft", "brief"} {
			if !c.isServing(h, route, key) {
				c.recordViolation("%s does not serve %s after the faults", h.name, route)
			}
		}
	}
}

func (c *checker) isServing(h *hostProcess, route, key string) bool {
	for n := range recoveryAttempts {
		a := sendRequest(http.DefaultClient, h, fmt.Sprintf("probe-%s-%s-%d", h.name, route, n), route, key)
		if a.status == http.StatusOK && a.complete {
			return true
		}
	}
	return false
}

func (c *checker) report() Report {
	r := Report{Seed: c.env.opts.Seed, Faults: c.faults.count, Violations: c.violations}
	for _, a := range c.callers.allResults() {
		r.Requests++
		switch {
		case a.status == http.StatusOK && a.complete:
			r.Answered++
		case a.isRefused():
			r.Refused++
		default:
			r.Failed++
		}
	}
	return r
}
