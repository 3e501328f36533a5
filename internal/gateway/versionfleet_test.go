package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// versionedEvents is the number of events of a stream, versionedGap the time between
	// two of them.
	versionedEvents = 20
	versionedGap    = 50 * time.Millisecond
	// maxTakeUps bounds how often a caller takes a stream up again.
	maxTakeUps = 3
)

// versionedEndpoints are endpoints of several software versions. Each event that they
// write names the version.
type versionedEndpoints struct {
	mu sync.Mutex
	// software is the version of each endpoint that runs.
	software map[model.EndpointName]string
	// breakAfter returns after how many events an endpoint breaks off; 0 for none.
	breakAfter func(a port.RoutedAttempt) int
	// resumed counts the attempts that went on after an event.
	resumed int
}

// versionedConnection is a connection that is used as long as an endpoint runs.
type versionedConnection struct {
	software string
	openedAt time.Time
}

// versionedClient is how one host reaches the endpoints.
type versionedClient struct {
	*versionedEndpoints
	// connections are its open connections, by endpoint.
	connections map[model.EndpointName]versionedConnection
}

func (c *versionedClient) Send(ctx context.Context, a port.RoutedAttempt) (port.EndpointResponse, error) {
	reply, err := c.versionedEndpoints.Send(ctx, a)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		delete(c.connections, a.Endpoint)
		return nil, err
	}
	stream := reply.(*versionedStream)
	if open := c.connections[a.Endpoint]; open.software != stream.software {
		c.connections[a.Endpoint] = versionedConnection{software: stream.software, openedAt: time.Now()}
	}
	stream.openedAt = c.connections[a.Endpoint].openedAt
	return stream, nil
}

func (e *versionedEndpoints) Send(ctx context.Context, a port.RoutedAttempt) (port.EndpointResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	software, up := e.software[a.Endpoint]
	if !up {
		return nil, errConnectionRefused
	}
	next := 1
	if a.LastEventID != "" {
		last, err := strconv.Atoi(a.LastEventID)
		if err != nil {
			return nil, errConnectionReset
		}
		next = last + 1
		e.resumed++
	}
	out := &versionedStream{crashableStream: crashableStream{ctx: ctx}, next: next, software: software}
	if e.breakAfter != nil {
		if n := e.breakAfter(a); n > 0 {
			out.breakAt = next + n
		}
	}
	return out, nil
}

func (e *versionedEndpoints) DropConnections(model.EndpointName, string) {}

func (e *versionedEndpoints) Probe(_ context.Context, name model.EndpointName, _ string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, up := e.software[name]; !up {
		return errConnectionRefused
	}
	return nil
}

// versionedStream is a stream of one endpoint.
type versionedStream struct {
	crashableStream
	next, breakAt int
	software      string
	openedAt      time.Time
}

func (s *versionedStream) ConnectedAt() time.Time { return s.openedAt }

func (s *versionedStream) Next() (port.EventBatch, error) {
	if s.next == s.breakAt {
		return port.EventBatch{}, errConnectionReset
	}
	if s.next > versionedEvents {
		return port.EventBatch{}, io.EOF
	}
	if !sleepUnlessCrashed(s.ctx, versionedGap, nil) {
		return port.EventBatch{}, errConnectionReset
	}
	id := strconv.Itoa(s.next)
	s.next++
	return port.EventBatch{Data: []byte(id + " " + s.software + "\n"), LastID: id, Events: 1}, nil
}

// versionedCaller is a caller that takes its stream up again when it breaks off.
type versionedCaller struct {
	mu sync.Mutex
	// events are the versions that wrote the events so far. last is the ID of the last one.
	events []string
	last   string
	// first is the ID of the request that brought the first event.
	first model.RequestID
	// takeUps is the number of requests that resumed the stream, wentOn that of those which
	// brought an event. refusal is the last refusal of one.
	takeUps, wentOn int
	refusal         *port.RequestError
	complete        bool
	// gone reports that the caller has closed its connection.
	gone bool
	// cut counts the responses that ended as if the stream was complete.
	cut int
	// bodies counts the whole responses that the caller has received after the first event.
	bodies int
}

// versionedWriter receives the response to one request of a caller.
type versionedWriter struct {
	caller  *versionedCaller
	request model.RequestID
	written bool
}

func (w *versionedWriter) Respond(int, http.Header, []byte) error {
	w.caller.mu.Lock()
	defer w.caller.mu.Unlock()
	if w.written {
		w.caller.bodies++
	}
	return nil
}

func (w *versionedWriter) Start(int, http.Header) error { return nil }

func (w *versionedWriter) Write(data []byte) error {
	w.caller.mu.Lock()
	defer w.caller.mu.Unlock()
	if w.caller.gone {
		return errCallerGone
	}
	if w.caller.first == "" {
		w.caller.first = w.request
	}
	w.written = true
	for line := range strings.Lines(string(data)) {
		id, software, _ := strings.Cut(strings.TrimSpace(line), " ")
		w.caller.last = id
		w.caller.events = append(w.caller.events, software)
	}
	return nil
}

func (w *versionedWriter) RespondError(err *port.RequestError) error {
	w.caller.mu.Lock()
	defer w.caller.mu.Unlock()
	w.caller.refusal = err
	return nil
}

// isJoined reports whether the stream holds events of two versions.
func (c *versionedCaller) isJoined() bool {
	for _, software := range c.events {
		if software != c.events[0] {
			return true
		}
	}
	return false
}

// versionFleet is a fleet of gateways before endpoints of several versions.
type versionFleet struct {
	endpoints *versionedEndpoints
	list      *endpointLog
	peers     *directPeers
	// mu guards gateways, calls, callCtx and next.
	mu       sync.Mutex
	gateways []*Gateway
	// calls ends the requests at each gateway.
	calls   []context.CancelFunc
	callCtx []context.Context
	next    int
	callers []*versionedCaller
	running sync.WaitGroup
	// change modifies the options of each gateway that starts; nil for nothing.
	change func(*Options)
}

// softwareDecoder decodes entries that consist of a version and, after a space, the time of the
// start in milliseconds.
type softwareDecoder struct{ endpointDecoder }

func (softwareDecoder) Endpoint(key string, value []byte) (directory.Entry, error) {
	software, started, found := strings.Cut(string(value), " ")
	entry := directory.Entry{
		Name: model.EndpointName(key), Pool: "p", Address: key, Domain: "north", Slots: 64, Started: 1, Sequence: 1,
		Software: model.SoftwareVersion(software),
	}
	if !found {
		return entry, nil
	}
	var err error
	entry.Started, err = strconv.ParseInt(started, 10, 64)
	return entry, err
}

// newVersionFleet starts gateways that know each other.
func newVersionFleet(hosts int) *versionFleet {
	f := &versionFleet{
		endpoints: &versionedEndpoints{software: make(map[model.EndpointName]string)},
		list:      &endpointLog{}, peers: &directPeers{gateways: make(map[string]*Gateway)},
	}
	f.gateways, f.calls, f.callCtx = make([]*Gateway, hosts), make([]context.CancelFunc, hosts), make([]context.Context, hosts)
	return f
}

// run starts the gateways and waits until they know each other.
func (f *versionFleet) run() {
	for i := range f.gateways {
		f.start(i)
	}
	time.Sleep(2 * time.Second)
}

// start starts a gateway without state.
func (f *versionFleet) start(i int) {
	address := fmt.Sprint("h", i)
	opts := Options{
		Host: model.HostID(address), Domain: "north", PeerAddress: address, Seeds: []string{"h0"}, Seed: uint64(i),
		Incarnation: model.Incarnation(time.Now().UnixNano()),
		Lists:       f.list, Decoder: softwareDecoder{}, ListReadInterval: time.Second,
		Endpoints: &versionedClient{versionedEndpoints: f.endpoints, connections: make(map[model.EndpointName]versionedConnection)}, Peers: f.peers, Warm: true,
		MinDigestInterval: 40 * time.Millisecond, Budget: attempt.SharedBudgetOptions{Window: 10 * time.Second, Ratio: 0.2, Slack: 500},
		Log: &log.Logger{Handler: discard.New()},
	}
	if f.change != nil {
		f.change(&opts)
	}
	g := New(opts)
	g.control.applyConfig(&routing.Config{
		Version: 1, Pools: []routing.Pool{{Name: "p", Engine: &routing.Engine{Slots: 64, CacheTokens: 500000}}},
		Routes: []routing.Route{{
			Name: "r", Host: "h.example", PathPrefix: "/", Kind: routing.Streaming, Timeout: 10 * time.Second, LatencyTarget: time.Second,
			Targets: []routing.Target{{Pool: "p", Weight: 1}}, MaxAttempts: 3, Resumable: true, Public: true,
		}},
	}, port.ConfigRecord{Version: 1}, "test")
	f.peers.set(address, g)
	f.mu.Lock()
	f.gateways[i] = g
	f.callCtx[i], f.calls[i] = context.WithCancel(context.Background())
	f.mu.Unlock()
	g.Start()
}

// kill ends a gateway and its requests at once.
func (f *versionFleet) kill(i int) {
	f.calls[i]()
	f.gateways[i].Close()
}

// list publishes an endpoint of a version, remove takes it away.
func (f *versionFleet) add(name, software string) {
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	f.endpoints.software[model.EndpointName(name)] = software
	f.list.append(name, []byte(software))
}

// crash ends an endpoint without a word, restart starts it again under its name and at its
// address with a version, and publishes that.
func (f *versionFleet) crash(name string) {
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	delete(f.endpoints.software, model.EndpointName(name))
}

func (f *versionFleet) restart(name, software string) {
	f.add(name, software+" "+strconv.FormatInt(time.Now().UnixMilli(), 10))
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	f.endpoints.software[model.EndpointName(name)] = software
}

func (f *versionFleet) remove(name string) {
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	delete(f.endpoints.software, model.EndpointName(name))
	f.list.remove(name)
}

// send sends one request of a caller to a gateway. It returns whether the response was
// complete.
func (f *versionFleet) send(c *versionedCaller, gateway int) bool {
	f.mu.Lock()
	f.next++
	id := model.RequestID(fmt.Sprint("r", f.next))
	g, ctx := f.gateways[gateway], f.callCtx[gateway]
	f.mu.Unlock()
	call := &port.RoutedCall{
		ID: id, Host: "h.example", Path: "/", URI: "/", Method: http.MethodPost, Arrived: time.Now(), CallerTimeout: 10 * time.Second,
		Body: []byte(id), Prompt: model.Prompt{Model: "m", InputTokens: 100, MaxOutputTokens: 100}, LastEventID: c.last, Resumes: c.first,
	}
	w := &versionedWriter{caller: c, request: id}
	resumes := c.last != ""
	answered := g.Route(ctx, call, w)
	complete := answered && c.last == strconv.Itoa(versionedEvents)
	if answered && w.written && !complete {
		c.cut++
	}
	if resumes {
		c.takeUps++
		if w.written {
			c.wentOn++
		}
	}
	return complete
}

// call starts a stream at a gateway. The caller takes it up again at the next ones.
func (f *versionFleet) call(gateway int) {
	c := &versionedCaller{}
	f.callers = append(f.callers, c)
	f.running.Go(func() {
		for try := range 1 + maxTakeUps {
			if f.send(c, (gateway+try)%len(f.gateways)) {
				c.complete = true
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// play starts a stream every 20 ms for some time.
func (f *versionFleet) play(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.call(len(f.callers) % len(f.gateways))
	}
}

// close waits for all callers and ends all gateways.
func (f *versionFleet) close() {
	f.running.Wait()
	for i := range f.gateways {
		f.kill(i)
	}
}

// versionResults are what callers got.
type versionResults struct {
	joined, complete, takeUps, wentOn int
}

// results waits for all callers and returns what they got.
func (f *versionFleet) results() versionResults {
	f.running.Wait()
	var out versionResults
	for _, c := range f.callers {
		if c.isJoined() {
			out.joined++
		}
		if c.complete {
			out.complete++
		}
		out.takeUps += c.takeUps
		out.wentOn += c.wentOn
	}
	return out
}
