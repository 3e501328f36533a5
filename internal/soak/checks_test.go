package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

func newTestChecker() *checker {
	w := &environment{startedAt: time.Now()}
	return &checker{env: w, callers: newCallers(w), faults: &faultInjector{env: w}, reported: make(map[string]bool)}
}

// The checks find what they are for.
func TestCheckResultFindsViolations(t *testing.T) {
	run := replica.Execution{ID: "a", Header: http.Header{"X-Wigeonsail-Tenant": {"club"}}, StartedAt: time.Now()}
	good := result{id: "a", route: "confirm", status: http.StatusOK, body: "answer to a", signed: true, complete: true}
	cases := []struct {
		name   string
		change func(a *result)
		runs   int
		broken int
	}{
		{"a good answer", func(*result) {}, 1, 0},
		{"run twice", func(*result) {}, 2, 1},
		{"may run twice", func(a *result) { a.route = "read" }, 2, 0},
		{"told not run, and ran", func(a *result) { a.status = http.StatusServiceUnavailable }, 1, 1},
		{"told not run", func(a *result) { a.status = http.StatusServiceUnavailable }, 0, 0},
		{"made up", func(*result) {}, 0, 1},
		{"not signed", func(a *result) { a.signed = false }, 1, 1},
		{"of another request", func(a *result) { a.body = "answer to b" }, 1, 1},
		{"an event is missing", func(a *result) { a.route, a.body = "draft", "id: 2\ndata: piece 2\n\n" }, 1, 1},
		{"broken off", func(a *result) { a.complete, a.body = false, "answ" }, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := newTestChecker()
			a := good
			c.change(&a)
			var runs []replica.Execution
			for range c.runs {
				runs = append(runs, run)
			}
			found.checkResult(&a, runs)
			must.Len(t, c.broken, found.violations)
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
	found := newTestChecker()
	found.checkExecution(e, replica.Execution{ID: "a", Header: header, StartedAt: drained})
	must.Len(t, 1, found.violations, must.Sprint("nobody sent it"))
	found = newTestChecker()
	found.callers.sentIDs["a"] = true
	found.checkExecution(e, replica.Execution{ID: "a", Header: header, StartedAt: drained})
	must.SliceEmpty(t, found.violations)
	found.checkExecution(e, late)
	must.Len(t, 1, found.violations, must.Sprint("the endpoint drains"))
	found = newTestChecker()
	found.callers.sentIDs["a"] = true
	found.faults.recordDisturbance(drained, time.Second)
	found.checkExecution(e, late)
	must.SliceEmpty(t, found.violations, must.Sprint("hosts could not hear of it"))
	found.checkExecution(e, replica.Execution{ID: "a", Header: http.Header{"X-Wigeonsail-Tenant": {"other"}}, StartedAt: drained})
	must.Len(t, 1, found.violations, must.Sprint("a header of another account"))
}
