package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

func newTestChecker() *checker {
	env := &environment{startedAt: time.Now()}
	return &checker{environment: env, callers: newCallers(env), faults: &faultInjector{environment: env}, reported: make(map[string]bool)}
}

// checkResult must report each kind of violation, and nothing else.
func TestCheckResultFindsViolations(t *testing.T) {
	exec := replica.Execution{ID: "a", Header: http.Header{"X-Wigeonsail-Tenant": {"club"}}, StartedAt: time.Now()}
	base := result{id: "a", route: "confirm", status: http.StatusOK, body: "answer to a", signed: true, complete: true}
	cases := []struct {
		name       string
		modify     func(r *result)
		executions int
		violations int
	}{
		{"complete response", func(*result) {}, 1, 0},
		{"executed twice", func(*result) {}, 2, 1},
		{"safe route executed twice", func(r *result) { r.route = "read" }, 2, 0},
		{"refused but executed", func(r *result) { r.status = http.StatusServiceUnavailable }, 1, 1},
		{"refused and not executed", func(r *result) { r.status = http.StatusServiceUnavailable }, 0, 0},
		{"response without execution", func(*result) {}, 0, 1},
		{"missing signature", func(r *result) { r.signed = false }, 1, 1},
		{"body of another request", func(r *result) { r.body = "answer to b" }, 1, 1},
		{"missing stream event", func(r *result) { r.route, r.body = "draft", "id: 2\ndata: piece 2\n\n" }, 1, 1},
		{"truncated response", func(r *result) { r.complete, r.body = false, "answ" }, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestChecker()
			res := base
			tc.modify(&res)
			var executions []replica.Execution
			for range tc.executions {
				executions = append(executions, exec)
			}
			c.checkResult(&res, executions)
			must.Len(t, tc.violations, c.violations)
		})
	}
}

func TestCheckExecutionFindsViolations(t *testing.T) {
	server, err := replica.Start(replica.Options{Instance: "i-1"})
	must.NoError(t, err)
	t.Cleanup(server.Close)
	header := http.Header{"X-Wigeonsail-Tenant": {"club"}}
	drained := time.Now()
	e := &endpoint{Server: server, drained: drained}
	late := replica.Execution{ID: "a", Header: header, StartedAt: drained.Add(maxDrainDelay + time.Second)}
	c := newTestChecker()
	c.checkExecution(e, replica.Execution{ID: "a", Header: header, StartedAt: drained})
	must.Len(t, 1, c.violations, must.Sprint("no caller sent it"))
	c = newTestChecker()
	c.callers.sentIDs["a"] = true
	c.checkExecution(e, replica.Execution{ID: "a", Header: header, StartedAt: drained})
	must.SliceEmpty(t, c.violations)
	c.checkExecution(e, late)
	must.Len(t, 1, c.violations, must.Sprint("the endpoint is draining"))
	c = newTestChecker()
	c.callers.sentIDs["a"] = true
	c.faults.recordDisturbance(drained, time.Second)
	c.checkExecution(e, late)
	must.SliceEmpty(t, c.violations, must.Sprint("hosts could not receive the change"))
	c.checkExecution(e, replica.Execution{ID: "a", Header: http.Header{"X-Wigeonsail-Tenant": {"other"}}, StartedAt: drained})
	must.Len(t, 1, c.violations, must.Sprint("header of another client account"))
}

// checkLimits must count the requests of hosts that are not excused, once the limit holds.
func TestCheckLimitsFindsViolations(t *testing.T) {
	server, err := replica.Start(replica.Options{Instance: "i-1"})
	must.NoError(t, err)
	t.Cleanup(server.Close)
	h := &hostProcess{name: "host-0"}
	for _, tc := range []struct {
		name       string
		from       time.Duration
		excused    time.Duration
		violations int
	}{
		{"limit holds", -4 * time.Second, 0, 1},
		{"limit was stated too late", -time.Second, 0, 0},
		{"host is excused", -4 * time.Second, time.Minute, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestChecker()
			now := time.Now()
			c.faults.excused = map[*hostProcess][]span{h: {{from: now.Add(-time.Minute), until: now.Add(tc.excused - time.Second)}}}
			c.faults.long = &longFaults{limits: []*statedLimit{{endpoint: &endpoint{Server: server}, span: span{from: now.Add(tc.from), until: now.Add(time.Minute)}}}}
			var results []*result
			for i := range allowedInWindow + 1 {
				id := fmt.Sprint(tc.name, i)
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address(), nil)
				must.NoError(t, err)
				req.Header.Set("X-Wigeonsail-Attempt-Id", id)
				req.Header.Set("X-Wigeonsail-Expect-Instance", "i-1")
				res, err := http.DefaultClient.Do(req)
				must.NoError(t, err)
				must.NoError(t, res.Body.Close())
				results = append(results, &result{id: id, host: h})
			}
			c.checkLimits(results)
			must.Len(t, tc.violations, c.violations)
		})
	}
}
