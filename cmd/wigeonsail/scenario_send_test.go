package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

func init() {
	scenarioCommands["send"] = cmdSend
	scenarioCommands["answer"] = cmdAnswer
	scenarioCommands["cluster"] = cmdCluster
	scenarioCommands["ticket"] = cmdTicket
	scenarioCommands["tickets"] = cmdTickets
}

// sentRequest identifies a request in progress of a scenario.
type sentRequest struct {
	script *testscript.TestScript
	name   string
}

// sentAnswer is the response to a request, or the error of the call.
type sentAnswer struct {
	status int
	body   string
	err    error
}

// sentRequests maps sentRequest to chan sentAnswer.
var sentRequests sync.Map

// cmdSend sends a request without waiting for the response:
// send NAME http-arguments...
func cmdSend(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: send NAME [-H 'Name: value']... METHOD URL [BODY]")
	}
	header := make(http.Header)
	rest := args[1:]
	for len(rest) > 1 && rest[0] == "-H" {
		name, value, _ := strings.Cut(rest[1], ":")
		header.Add(name, strings.TrimSpace(value))
		rest = rest[2:]
	}
	var body io.Reader
	if len(rest) > 2 {
		body = strings.NewReader(rest[2])
		header.Set("Content-Type", "application/json")
	}
	req, err := http.NewRequest(rest[0], rest[1], body)
	ts.Check(err)
	req.Header = header
	answer := make(chan sentAnswer, 1)
	sentRequests.Store(sentRequest{ts, args[0]}, answer)
	go func() { answer <- roundTrip(req) }()
}

// roundTrip sends a request and reads the response.
func roundTrip(req *http.Request) sentAnswer {
	client := &http.Client{Timeout: scenarioTimeout}
	res, err := client.Do(req)
	if err != nil {
		return sentAnswer{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return sentAnswer{status: res.StatusCode, body: string(data), err: err}
}

// cmdAnswer waits for the response to a request of cmdSend: answer NAME. It prints
// the body and status, and fails like cmdHTTP.
func cmdAnswer(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: answer NAME")
	}
	waiting, ok := sentRequests.LoadAndDelete(sentRequest{ts, args[0]})
	if !ok {
		ts.Fatalf("no request %q was sent", args[0])
	}
	answer := <-waiting.(chan sentAnswer)
	_, _ = io.WriteString(ts.Stdout(), answer.body)
	_, _ = io.WriteString(ts.Stderr(), "status "+strconv.Itoa(answer.status)+"\n")
	if failed := answer.err != nil || answer.status >= http.StatusBadRequest; failed != neg {
		ts.Fatalf("answer: status %d, error %v", answer.status, answer.err)
	}
}

// requestTicket requests a ticket from a host.
func requestTicket(ts *testscript.TestScript, key, host string) string {
	req, err := http.NewRequest(http.MethodPost, host+"/v1/tickets", nil)
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+key)
	answer := roundTrip(req)
	ts.Check(answer.err)
	var ticket struct {
		Ticket string `json:"ticket"`
	}
	ts.Check(json.Unmarshal([]byte(answer.body), &ticket))
	if ticket.Ticket == "" {
		ts.Fatalf("no ticket: status %d, %s", answer.status, answer.body)
	}
	return ticket.Ticket
}

// cmdTicket sets a variable to a new ticket: ticket VARIABLE KEY HOST-URL
func cmdTicket(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: ticket VARIABLE KEY HOST-URL")
	}
	ts.Setenv(args[0], requestTicket(ts, args[1], args[2]))
}

// cmdTickets requests tickets, sends two concurrent requests with each and checks
// that both get the same response: tickets COUNT KEY HOST-URL PATH
func cmdTickets(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: tickets COUNT KEY HOST-URL PATH")
	}
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	for range count {
		ticket := requestTicket(ts, args[1], args[2])
		var answers [2]sentAnswer
		var both sync.WaitGroup
		for i := range answers {
			req, err := http.NewRequest(http.MethodPost, args[2]+args[3], strings.NewReader("{}"))
			ts.Check(err)
			req.Header.Set("Authorization", "Bearer "+args[1])
			req.Header.Set("Idempotency-Key", ticket)
			both.Go(func() { answers[i] = roundTrip(req) })
		}
		both.Wait()
		if answers[0] != answers[1] || answers[0].status != http.StatusOK {
			ts.Fatalf("two requests with one ticket got %+v", answers)
		}
	}
}

// clusterHosts is the number of hosts that cmdCluster writes settings for.
const clusterHosts = 3

// cmdCluster writes a configuration with one service in one failure domain and the
// settings of three hosts: cluster NETWORK ROOM. NETWORK is the first three numbers
// of the addresses; the last number of host N is N+2.
func cmdCluster(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: cluster NETWORK ROOM")
	}
	config, err := os.ReadFile("testdata/one_service.toml")
	ts.Check(err)
	settings, err := os.ReadFile("testdata/host.toml")
	ts.Check(err)
	write := func(name string, content []byte, words ...string) {
		text := strings.NewReplacer(words...).Replace(string(content))
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
	write("config.toml", config, "NET", args[0], "ROOM", args[1])
	for n := 1; n <= clusterHosts; n++ {
		number := strconv.Itoa(n)
		write("host-"+number+".toml", settings, "NET", args[0], "ADDRESS", strconv.Itoa(n+2), "host-N", "host-"+number)
	}
}
