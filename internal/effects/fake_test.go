package effects

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"

	"github.com/wigeonsail/wigeonsail/internal/core/effect"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeLog is a fake of the platform's log that can simulate its faults.
type fakeLog struct {
	mu            sync.Mutex
	streams       map[port.StreamName][]port.Record
	changed       chan struct{}
	outage        bool
	loseResponses int
	delay         time.Duration
	appends       int
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[port.StreamName][]port.Record{}, changed: make(chan struct{})}
}

var errOutage = &port.PlatformError{Op: "test", Outcome: model.OutcomeNotRun, Cause: errors.New("outage")}

// update changes the fault settings and returns the number of appends so far.
func (l *fakeLog) update(change func()) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
	return l.appends
}

func (l *fakeLog) Append(_ context.Context, stream port.StreamName, data []byte) (model.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	if l.outage {
		return 0, errOutage
	}
	offset := model.Offset(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], port.Record{Offset: offset, Data: data})
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	if l.loseResponses > 0 {
		l.loseResponses--
		return 0, &port.PlatformError{Op: "append", Cause: errors.New("answer lost")}
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, stream port.StreamName, from model.Offset, max int, wait time.Duration) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mu.Lock()
		records, changed, outage := l.streams[stream], l.changed, l.outage
		l.mu.Unlock()
		if outage {
			return port.Batch{}, errOutage
		}
		if int(from) < len(records) {
			to := min(len(records), int(from)+max)
			return port.Batch{Records: records[from:to], NextOffset: model.Offset(len(records))}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return port.Batch{NextOffset: from}, nil
		}
	}
}

// fakePeers passes entries to a Guard in the same process.
type fakePeers struct {
	port.PeerTransport
	mu    sync.Mutex
	guard *Guard
	calls int
}

// setTarget makes calls to any address reach g, or fail if g is nil. It returns
// the number of calls so far.
func (p *fakePeers) setTarget(g *Guard) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guard = g
	return p.calls
}

func (p *fakePeers) AppendClaims(ctx context.Context, address string, entries []port.ClaimEntry) ([]port.ClaimPosition, error) {
	p.mu.Lock()
	p.calls++
	g := p.guard
	p.mu.Unlock()
	if g == nil {
		return nil, &port.PeerError{Op: "append", Address: address, Cause: errors.New("unreachable")}
	}
	return g.AppendClaims(ctx, entries)
}

func startGuard(t testing.TB, l port.Log, name model.HostID, peers port.PeerTransport, members ...Member) *Guard {
	control := loop.New()
	g := New(Options{
		Loop: control,
		Self: effect.HostRef{Host: name, Incarnation: 1}, Domain: "d", Address: string(name), Secret: []byte("s"),
		Log: l, Peers: peers, Members: func() []Member { return members },
		Logger: &log.Logger{Handler: discard.New()},
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		control.Run(ctx, tickEvery, g.Tick)
		close(ended)
	}()
	g.Start()
	t.Cleanup(func() {
		g.Close()
		stop()
		<-ended
	})
	return g
}

func member(name model.HostID) Member {
	return Member{HostRef: effect.HostRef{Host: name, Incarnation: 1}, Domain: "d", Address: string(name)}
}

func confirmation(key string) effect.Try {
	return effect.Try{Account: "office", KeyText: key, Digest: effect.NewDigest("POST", "/c", "", []byte("x"))}
}
