package main

import (
	"net/http"
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func init() {
	scenarioCommands["quiet"] = cmdQuiet
	scenarioCommands["busy"] = cmdBusy
}

// quietPeriod is how long a count must stay unchanged after the limit.
const quietPeriod = time.Second

// cmdQuiet checks that a count in the response of a URL stops changing within a
// time limit and stays unchanged for quietPeriod: quiet LIMIT FIELD URL. It logs
// when the count last changed.
func cmdQuiet(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: quiet LIMIT FIELD URL")
	}
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	const every = 20 * time.Millisecond
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	started := time.Now()
	last, changed := "", time.Duration(0)
	for time.Since(started) < limit+quietPeriod {
		count := countAt(ts, args[1], args[2])
		if count != last {
			last, changed = count, time.Since(started)
		}
		if changed > limit {
			ts.Fatalf("%s still changed after %s, limit %s", args[1], changed, limit)
		}
		<-ticker.C
	}
	ts.Logf("%s stopped at %s after %s", args[1], last, changed)
}

// cmdBusy waits until a count in the response of a URL changes: busy FIELD URL
func cmdBusy(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: busy FIELD URL")
	}
	before := countAt(ts, args[0], args[1])
	if !poll(func() bool { return countAt(ts, args[0], args[1]) != before }) {
		ts.Fatalf("%s stayed at %s for %s", args[0], before, scenarioTimeout)
	}
}

// countAt returns the count of a JSON field in the response of a URL.
func countAt(ts *testscript.TestScript, field, url string) string {
	body := fetch(http.Header{}, []string{http.MethodGet, url})
	match := regexp.MustCompile(`"` + field + `":(\d+)`).FindStringSubmatch(body)
	if match == nil {
		ts.Fatalf("no count %s at %s: %s", field, url, body)
	}
	return match[1]
}
