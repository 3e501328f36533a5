package main

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scenarioTimeout bounds every wait of the scenario commands.
const scenarioTimeout = 30 * time.Second

// scenarioCommands are the commands for scenarios in addition to those of
// testscript.
var scenarioCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"http":       cmdHTTP,
	"waitfor":    cmdWaitFor,
	"signal":     cmdSignal,
	"eventually": cmdEventually,
}

// cmdHTTP sends a request: http [-H 'Name: value']... METHOD URL [BODY].
// It prints the body on stdout and the status and header on stderr. It fails for a
// status of 400 and above; with ! it must fail.
func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	status, err := sendHTTP(ts, args)
	failed := err != nil || status >= http.StatusBadRequest
	if err != nil {
		ts.Logf("http: %v", err)
	}
	if failed != neg {
		ts.Fatalf("http: status %d, error %v", status, err)
	}
}

// sendHTTP sends the request of cmdHTTP and returns the status.
func sendHTTP(ts *testscript.TestScript, args []string) (int, error) {
	header := make(http.Header)
	for len(args) > 1 && args[0] == "-H" {
		name, value, _ := strings.Cut(args[1], ":")
		header.Add(name, strings.TrimSpace(value))
		args = args[2:]
	}
	if len(args) < 2 {
		ts.Fatalf("usage: http [-H 'Name: value']... METHOD URL [BODY]")
	}
	var body io.Reader
	if len(args) > 2 {
		body = strings.NewReader(args[2])
		header.Add("Content-Type", "application/json")
	}
	req, err := http.NewRequest(args[0], args[1], body)
	ts.Check(err)
	req.Header, req.Host = header, header.Get("Host")
	client := &http.Client{Timeout: scenarioTimeout}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	_, _ = ts.Stdout().Write(data)
	_, _ = ts.Stderr().Write([]byte("status " + strconv.Itoa(res.StatusCode) + "\n"))
	ts.Check(res.Header.Write(ts.Stderr()))
	return res.StatusCode, err
}

// cmdWaitFor waits until each URL responds with 200: waitfor URL...
func cmdWaitFor(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("waitfor does not support !")
	}
	for _, url := range args {
		ok := poll(func() bool {
			res, err := http.Get(url)
			if err != nil {
				return false
			}
			res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
		if !ok {
			ts.Fatalf("%s did not respond with 200 within %s", url, scenarioTimeout)
		}
	}
}

// cmdEventually repeats a request until its body matches a pattern:
// eventually PATTERN http-arguments...
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: eventually PATTERN [-H 'Name: value']... METHOD URL [BODY]")
	}
	pattern := regexp.MustCompile(args[0])
	header := make(http.Header)
	rest := args[1:]
	for len(rest) > 1 && rest[0] == "-H" {
		name, value, _ := strings.Cut(rest[1], ":")
		header.Add(name, strings.TrimSpace(value))
		rest = rest[2:]
	}
	last := ""
	ok := poll(func() bool {
		last = fetch(header, rest)
		return pattern.MatchString(last)
	})
	if !ok {
		ts.Fatalf("no match for %q within %s, last response: %s", args[0], scenarioTimeout, last)
	}
}

// fetch sends a request and returns the body of the response or the text of the
// error.
func fetch(header http.Header, args []string) string {
	var body io.Reader
	if len(args) > 2 {
		body = strings.NewReader(args[2])
		header.Set("Content-Type", "application/json")
	}
	req, err := http.NewRequest(args[0], args[1], body)
	if err != nil {
		return err.Error()
	}
	req.Header = header
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// poll calls done until it returns true or scenarioTimeout has passed. It reports
// whether done returned true.
func poll(done func() bool) bool {
	const every = 50 * time.Millisecond
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	deadline := time.After(scenarioTimeout)
	for {
		if done() {
			return true
		}
		select {
		case <-deadline:
			return false
		case <-ticker.C:
		}
	}
}

// cmdSignal sends a signal to the first background process of the scenario whose
// arguments contain a text: signal STOP|CONT|TERM|INT|KILL TEXT
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]os.Signal{
		"STOP": syscall.SIGSTOP,
		"CONT": syscall.SIGCONT,
		"TERM": syscall.SIGTERM,
		"INT":  syscall.SIGINT,
		"KILL": syscall.SIGKILL,
	}
	if neg || len(args) != 2 || signals[args[0]] == nil {
		ts.Fatalf("usage: signal STOP|CONT|TERM|INT|KILL TEXT")
	}
	for _, cmd := range ts.BackgroundCmds() {
		if strings.Contains(strings.Join(cmd.Args, " "), args[1]) {
			ts.Check(cmd.Process.Signal(signals[args[0]]))
			if args[0] == "STOP" {
				resumeLater(cmd.Process)
			}
			return
		}
	}
	ts.Fatalf("no background process with %q in its arguments", args[1])
}

// resumeLater resumes a stopped process after scenarioTimeout, so that a scenario
// that fails meanwhile can terminate it. The error is ignored since the process may
// have ended.
func resumeLater(process *os.Process) {
	time.AfterFunc(scenarioTimeout, func() { _ = process.Signal(syscall.SIGCONT) })
}
