package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/cut"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

const (
	// maxDrainDelay is the time from listing an endpoint as draining after
	// which it must get no request, provided that hosts receive changes.
	maxDrainDelay = 2 * time.Second
	// maxConfigDelay is the time within which a configuration must be in force,
	// under the same condition.
	maxConfigDelay = 2 * time.Second
	// recoveryAttempts is the number of requests sent for each host and route
	// after the faults. One of them must succeed.
	recoveryAttempts = 10
)

// checker finds violations of the router's guarantees, from the results of the
// callers and the executions at the endpoints.
type checker struct {
	environment *environment
	callers     *callers
	faults      *faultInjector
	violations  []string
	reported    map[string]bool
}

// runWithFaults injects faults for a duration and checks periodically
// meanwhile.
func (c *checker) runWithFaults(ctx context.Context, duration time.Duration) {
	c.reported = make(map[string]bool)
	end := time.Now().Add(duration)
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

// recordViolation records and traces a violation. Each text is recorded once.
func (c *checker) recordViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if c.reported[text] {
		return
	}
	c.reported[text] = true
	c.violations = append(c.violations, text)
	c.environment.trace("VIOLATION %s", text)
}

// checkAll checks all results and executions so far.
func (c *checker) checkAll() {
	// Results are collected before executions, so that the executions of each
	// result are included.
	results := c.callers.allResults()
	executions := make(map[string][]replica.Execution)
	for _, e := range c.environment.endpoints() {
		own := e.Executions()
		for _, exec := range own {
			executions[exec.ID] = append(executions[exec.ID], exec)
			c.checkExecution(e, exec)
		}
		c.checkLeaving(e, own, results)
	}
	c.checkLimits(results)
	c.checkMemory()
	for _, res := range results {
		c.checkResult(res, executions[res.id])
	}
}

// checkExecution checks a request that an endpoint executed.
func (c *checker) checkExecution(e *endpoint, exec replica.Execution) {
	if !c.callers.hasSent(exec.ID) && !strings.HasPrefix(exec.ID, "probe-") {
		c.recordViolation("%s executed %s, which no caller sent", e.Instance(), exec.ID)
	}
	if exec.Account() != users.Account || exec.CallerKey() != "" {
		c.recordViolation("%s executed %s with another client account or with the caller's key", e.Instance(), exec.ID)
	}
	late := exec.StartedAt.Sub(e.drained)
	if !e.drained.IsZero() && late > maxDrainDelay && c.faults.isUndisturbed(e.drained.Add(-time.Second), exec.StartedAt) {
		c.recordViolation("%s is draining and executed %s %s after it was listed so", e.Instance(), exec.ID, late.Round(time.Millisecond))
	}
}

// checkLeaving checks that a host that has passed on a response of an endpoint that
// states that it is leaving sends no more requests there.
func (c *checker) checkLeaving(e *endpoint, executions []replica.Execution, results []*result) {
	since := c.environment.leavingSince(e)
	if since.IsZero() {
		return
	}
	byID := make(map[string]*result, len(results))
	for _, res := range results {
		byID[res.id] = res
	}
	seen := make(map[*hostProcess]time.Time)
	for _, exec := range executions {
		res := byID[exec.ID]
		if res == nil || exec.StartedAt.Before(since) {
			continue
		}
		known, found := seen[res.host]
		late := exec.StartedAt.Sub(known)
		if found && late > maxDrainDelay && c.faults.isUndisturbed(known, exec.StartedAt) {
			c.recordViolation("%s executed %s %s after %s had passed on that it is leaving", e.Instance(), exec.ID, late.Round(time.Millisecond), res.host.name)
		}
		if !found && res.complete && res.status == http.StatusOK {
			seen[res.host] = res.finished
		}
	}
}

// checkResult checks a result against the executions of its request.
func (c *checker) checkResult(res *result, executions []replica.Execution) {
	if res.runsAtMostOnce() && len(executions) > 1 {
		c.recordViolation("%s may be executed once and was executed %d times", res.id, len(executions))
	}
	if res.isRefused() && res.runsAtMostOnce() && len(executions) > 0 {
		c.recordViolation("%s was refused with status %d and was executed", res.id, res.status)
	}
	if res.status != http.StatusOK || !res.complete {
		return
	}
	if !res.signed || len(executions) == 0 {
		c.recordViolation("%s got a response that no endpoint sent", res.id)
	}
	if want := expectedBody(res); res.body != want {
		c.recordViolation("%s got a wrong response body %.60q", res.id, res.body)
	}
}

// expectedBody returns the response body that an endpoint sends to the request.
func expectedBody(res *result) string {
	if res.route == "confirm" || res.route == "read" {
		return replica.ResponseBody(res.id)
	}
	return replica.StreamBody(streamEvents)
}

// checkRecovery checks that, after the faults, each host serves all routes with
// the newest configuration and the newest list of endpoints: another writer adds an entry, and
// all endpoints are replaced.
func (c *checker) checkRecovery(ctx context.Context) {
	c.environment.publish()
	c.environment.store.Put(users.EndpointsTopic, users.ForeignKey, []byte(users.ForeignEntry))
	before := c.environment.endpoints()
	for _, e := range before {
		c.faults.replaceEndpoint(e)
	}
	sleep(ctx, maxConfigDelay)
	for _, e := range before {
		e.link.SetMode(cut.ModeCut)
	}
	key := c.environment.newestKey()
	for _, h := range c.environment.hosts {
		for _, route := range []string{"confirm", "read", "draft", "brief"} {
			if !c.isServing(h, route, key) {
				c.recordViolation("%s does not serve route %s after the faults", h.name, route)
			}
		}
	}
}

// isServing reports whether a host serves a request to the route within
// recoveryAttempts.
func (c *checker) isServing(h *hostProcess, route, key string) bool {
	for n := range recoveryAttempts {
		res := sendRequest(http.DefaultClient, h, fmt.Sprintf("probe-%s-%s-%d", h.name, route, n), route, key, 0)
		if res.status == http.StatusOK && res.complete {
			return true
		}
	}
	return false
}

// report returns the report of the run. Every request counts once, by its
// outcome.
func (c *checker) report() Report {
	r := Report{Seed: c.environment.opts.Seed, Faults: c.faults.count, Violations: c.violations}
	for _, res := range c.callers.allResults() {
		r.Requests++
		switch {
		case res.status == http.StatusOK && res.complete:
			r.Answered++
		case res.isRefused():
			r.Refused++
		default:
			r.Failed++
		}
	}
	return r
}
