package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/adapter/peergrpc"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

// attemptFleet is a host that sends attempts for others, and the client of another one.
type attemptFleet struct {
	*fleet
	host   *Gateway
	sender *peergrpc.Client
}

func newAttemptFleet(t *testing.T) *attemptFleet {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	f.startReplica(servicePool, replica.Options{Instance: "i-ready"})
	host := f.startReadyHost("h-1")
	sender, err := peergrpc.NewClient(peergrpc.Auth{Secret: "secret-of-the-tests"})
	must.NoError(t, err)
	t.Cleanup(sender.Close)
	return &attemptFleet{fleet: f, host: host, sender: sender}
}

// listed starts a replica and waits until the host lists it.
func (f *attemptFleet) listed(opts replica.Options) *replica.Server {
	f.t.Helper()
	r := f.startReplica(servicePool, opts)
	f.awaitListed(opts.Instance)
	return r
}

// awaitListed waits until the host sends attempts to an endpoint. Attempts without time left
// are refused after that.
func (f *attemptFleet) awaitListed(instance string) {
	f.t.Helper()
	f.eventually(func() bool {
		a := f.attempt(instance)
		a.TimeLeft = time.Millisecond
		_, err := f.sender.SendAttempt(f.t.Context(), f.host.Address("peers"), a)
		var failure *port.PeerAttemptError
		return errors.As(err, &failure) && failure.Cause.Error() == "the time left is too short"
	})
}

func (f *attemptFleet) attempt(instance string) port.PeerAttempt {
	f.sequence++
	id := fmt.Sprintf("id-%d", f.sequence)
	call := &port.RoutedCall{
		ID: model.RequestID(id), Host: "h", Method: http.MethodPost, URI: "/confirm/1", Body: []byte("referee"),
		Header: http.Header{"X-Wigeonsail-Attempt-Id": {id}},
	}
	return port.PeerAttempt{
		RoutedAttempt: port.RoutedAttempt{Call: call, Endpoint: model.EndpointName(instance), TimeLeft: 2 * time.Second},
		Started:       1, Sender: "h-2",
	}
}

// sent is what the sender of an attempt learns of it.
type sent struct {
	status  int
	notRun  bool
	signed  bool
	body    string
	outcome model.Outcome
	failure string
}

// send sends an attempt and reads its response to the end.
func (f *attemptFleet) send(a port.PeerAttempt) sent {
	f.t.Helper()
	reply, err := f.sender.SendAttempt(f.t.Context(), f.host.Address("peers"), a)
	if err != nil {
		return failedAttempt(sent{}, err)
	}
	defer reply.Close()
	out := sent{status: reply.Status(), notRun: reply.NotExecuted(), signed: reply.HasSignature(), outcome: model.OutcomeRan}
	for reply.IsEventStream() {
		batch, err := reply.Next()
		if errors.Is(err, io.EOF) {
			return out
		}
		if err != nil {
			return failedAttempt(out, err)
		}
		out.body += string(batch.Data)
	}
	body, err := reply.Body()
	if err != nil {
		return failedAttempt(out, err)
	}
	out.body = string(body)
	return out
}

func failedAttempt(out sent, err error) sent {
	var failure *port.PeerAttemptError
	if !errors.As(err, &failure) {
		out.failure = "no *port.PeerAttemptError"
		return out
	}
	out.outcome, out.failure = failure.Outcome, "broken"
	switch {
	case failure.Refused:
		out.failure = "refused"
	case failure.Unreachable:
		out.failure = "unreachable"
	case failure.PathBroken:
		out.failure = "path"
	}
	return out
}

// An endpoint runs an attempt through another host once at most, and never one that is
// reported as not run.
func TestAttemptThroughHostRunsOnceAtMost(t *testing.T) {
	f := newAttemptFleet(t)
	replaced := func(a *port.PeerAttempt) { a.Started = 2 }
	late := func(a *port.PeerAttempt) { a.TimeLeft = 5 * time.Millisecond }
	notRun, ran, unknown := model.OutcomeNotRun, model.OutcomeRan, model.OutcomeUnknown
	cases := map[string]struct {
		opts   replica.Options
		faults replica.Faults
		change func(*port.PeerAttempt)
		want   sent
		runs   int
	}{
		"answer":              {want: sent{status: 200, signed: true, outcome: ran}, runs: 1},
		"stream":              {opts: replica.Options{Events: 5}, want: sent{status: 200, signed: true, body: replica.StreamBody(5), outcome: ran}, runs: 1},
		"status 500":          {faults: replica.Faults{Status: 500}, want: sent{status: 500, signed: true, outcome: ran}, runs: 1},
		"status 429":          {faults: replica.Faults{Status: 429}, want: sent{status: 429, signed: true, outcome: ran}, runs: 1},
		"queue full":          {faults: replica.Faults{QueueFull: true}, want: sent{status: 503, notRun: true, outcome: ran}},
		"unsigned":            {faults: replica.Faults{Unsigned: true}, want: sent{status: 200, outcome: ran}, runs: 1},
		"no answer":           {faults: replica.Faults{LoseResponse: true}, want: sent{outcome: unknown, failure: "broken"}, runs: 1},
		"body cut":            {faults: replica.Faults{TruncateBody: true}, want: sent{outcome: unknown, failure: "broken"}, runs: 1},
		"stream cut":          {opts: replica.Options{Events: 5}, faults: replica.Faults{TruncateStreamAfter: 2}, want: sent{status: 200, signed: true, body: replica.StreamBody(2), outcome: unknown, failure: "broken"}, runs: 1},
		"another start":       {change: replaced, want: sent{outcome: notRun, failure: "refused"}},
		"time is over":        {change: late, want: sent{outcome: notRun, failure: "refused"}},
		"endpoint not listed": {change: func(a *port.PeerAttempt) { a.Endpoint = "i-none" }, want: sent{outcome: notRun, failure: "refused"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.opts.Instance = "i-" + model.NewFingerprint(name, "", "", "", nil).String()
			r := f.listed(c.opts)
			r.SetFaults(c.faults)
			a := f.attempt(c.opts.Instance)
			if c.change != nil {
				c.change(&a)
			}
			got := f.send(a)
			if c.opts.Events == 0 && got.failure == "" && !got.notRun {
				must.Eq(t, replica.ResponseBody(string(a.Call.ID)), got.body)
				got.body = ""
			}
			must.Eq(t, c.want, got)
			must.Len(t, c.runs, r.Executions())
		})
	}
}

func TestAttemptForUnreachableOrDrainingEndpointHasNotRun(t *testing.T) {
	f := newAttemptFleet(t)
	f.registerAt(servicePool, "i-dead", deadAddress(t), "ready")
	f.awaitListed("i-dead")
	must.Eq(t, sent{outcome: model.OutcomeNotRun, failure: "unreachable"}, f.send(f.attempt("i-dead")))
	r := f.listed(replica.Options{Instance: "i-drains"})
	f.register(servicePool, r, "draining")
	f.eventually(func() bool { return f.send(f.attempt("i-drains")).failure == "refused" })
}

// A caller that leaves the sender ends the request at the endpoint within the half second
// that the rules give.
func TestCanceledAttemptEndsAtEndpoint(t *testing.T) {
	f := newAttemptFleet(t)
	r := f.listed(replica.Options{Instance: "i-slow", Events: 1000, ServiceTime: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reply, err := f.sender.SendAttempt(ctx, f.host.Address("peers"), f.attempt("i-slow"))
	must.NoError(t, err)
	defer reply.Close()
	_, err = reply.Next()
	must.NoError(t, err)
	cancel()
	f.within(500*time.Millisecond, func() bool { return r.Canceled() == 1 })
	f.eventually(func() bool { return f.host.gateway.PeerAttemptsInProgress() == 0 })
}

// A host that leaves finishes the attempts that it has taken, and takes no more.
func TestLeavingHostFinishesAttemptsForOthers(t *testing.T) {
	f := newAttemptFleet(t)
	f.listed(replica.Options{Instance: "i-slow", Events: 10, ServiceTime: 50 * time.Millisecond})
	reply, err := f.sender.SendAttempt(t.Context(), f.host.Address("peers"), f.attempt("i-slow"))
	must.NoError(t, err)
	defer reply.Close()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped <- f.host.Shutdown(ctx)
	}()
	f.eventually(f.host.gateway.Leaving)
	must.Eq(t, sent{outcome: model.OutcomeNotRun, failure: "refused"}, f.send(f.attempt("i-slow")))
	body := ""
	for err == nil {
		var batch port.EventBatch
		batch, err = reply.Next()
		body += string(batch.Data)
	}
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, replica.StreamBody(10), body)
	must.NoError(t, <-stopped)
}

// An endpoint that never answers holds an attempt no longer than the sender's caller waits.
func TestAttemptThroughHostEndsAtTimeLimit(t *testing.T) {
	f := newAttemptFleet(t)
	r := f.listed(replica.Options{Instance: "i-hangs"})
	r.SetFaults(replica.Faults{NoResponse: true})
	a := f.attempt("i-hangs")
	a.TimeLeft = 200 * time.Millisecond
	began := time.Now()
	must.Eq(t, sent{outcome: model.OutcomeUnknown, failure: "broken"}, f.send(a))
	must.Less(t, time.Second, time.Since(began))
}

func TestAttemptAtReplacedEndpointHasNotRun(t *testing.T) {
	f := newAttemptFleet(t)
	r := f.listed(replica.Options{Instance: "i-new"})
	f.registerAt(servicePool, "i-old", r.Address(), "ready")
	f.awaitListed("i-old")
	got := f.send(f.attempt("i-old"))
	must.Eq(t, sent{status: http.StatusMisdirectedRequest, notRun: true, outcome: model.OutcomeRan}, got)
	must.Len(t, 0, r.Executions())
}
