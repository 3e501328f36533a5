package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

func emptyChecks() *checks {
	w := &world{began: time.Now()}
	return &checks{world: w, callers: newCallers(w), faults: &faults{world: w}, seen: make(map[string]bool)}
}

// The checks find what they are for.
func TestBrokenPromisesAreFound(t *testing.T) {
	run := replica.Run{ID: "a", Header: http.Header{"X-Wigeonsail-Tenant": {"club"}}, At: time.Now()}
	good := answer{id: "a", route: "confirm", status: http.StatusOK, body: "answer to a", signed: true, whole: true}
	cases := []struct {
		name   string
		change func(a *answer)
		runs   int
		broken int
	}{
		{"a good answer", func(*answer) {}, 1, 0},
		{"run twice", func(*answer) {}, 2, 1},
		{"may run twice", func(a *answer) { a.route = "read" }, 2, 0},
		{"told not run, and ran", func(a *answer) { a.status = http.StatusServiceUnavailable }, 1, 1},
		{"told not run", func(a *answer) { a.status = http.StatusServiceUnavailable }, 0, 0},
		{"made up", func(*answer) {}, 0, 1},
		{"not signed", func(a *answer) { a.signed = false }, 1, 1},
		{"of another request", func(a *answer) { a.body = "answer to b" }, 1, 1},
		{"an event is missing", func(a *answer) { a.route, a.body = "draft", "id: 2\ndata: piece 2\n\n" }, 1, 1},
		{"broken off", func(a *answer) { a.whole, a.body = false, "answ" }, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := emptyChecks()
			a := good
			c.change(&a)
			var runs []replica.Run
			for range c.runs {
				runs = append(runs, run)
			}
			found.checkAnswer(&a, runs)
			must.Len(t, c.broken, found.broken)
		})
	}
}

func TestRunsThatShouldNotBeAreFound(t *testing.T) {
	server, err := replica.Start(replica.Options{Instance: "i-1"})
	must.NoError(t, err)
	t.Cleanup(server.Close)
	header := http.Header{"X-Wigeonsail-Tenant": {"club"}}
	drained := time.Now()
	e := &endpoint{Server: server, drained: drained}
	late := replica.Run{ID: "a", Header: header, At: drained.Add(drainBound + time.Second)}
	found := emptyChecks()
	found.checkRun(e, replica.Run{ID: "a", Header: header, At: drained})
	must.Len(t, 1, found.broken, must.Sprint("nobody sent it"))
	found = emptyChecks()
	found.callers.sent["a"] = true
	found.checkRun(e, replica.Run{ID: "a", Header: header, At: drained})
	must.SliceEmpty(t, found.broken)
	found.checkRun(e, late)
	must.Len(t, 1, found.broken, must.Sprint("the endpoint drains"))
	found = emptyChecks()
	found.callers.sent["a"] = true
	found.faults.disturb(drained, time.Second)
	found.checkRun(e, late)
	must.SliceEmpty(t, found.broken, must.Sprint("hosts could not hear of it"))
	found.checkRun(e, replica.Run{ID: "a", Header: http.Header{"X-Wigeonsail-Tenant": {"other"}}, At: drained})
	must.Len(t, 1, found.broken, must.Sprint("a header of another account"))
}
