package peergrpc

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// endless returns a stream of events without end.
func endless() *fakeReply {
	data := []byte("data: " + strings.Repeat("x", 4<<10) + "\n\n")
	return &fakeReply{status: 200, stream: true, next: func(int) (port.EventBatch, error) {
		return port.EventBatch{Data: data, Events: 1}, nil
	}}
}

// A host reads little more of a response than its caller takes, and other attempts and
// digests are not held up meanwhile.
func TestSlowReaderStopsReadingAtOtherHost(t *testing.T) {
	slow := endless()
	handler := &fakeAttempts{}
	handler.handle = func(_ context.Context, a port.PeerAttempt) (port.EndpointResponse, error) {
		if a.Call.Method == http.MethodGet {
			return &fakeReply{status: 200, body: make([]byte, 1<<20)}, nil
		}
		return slow, nil
	}
	c, _, address := serveAttempts(t, handler)
	out, err := c.SendAttempt(t.Context(), address, testAttempt(nil))
	must.NoError(t, err)
	// What is sent without being read: the window of the client and the quota of the server.
	const most = 2*attemptWindowBytes/(4<<10) + 4
	last := int32(-1)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		before := last
		last = slow.count.Load()
		return last > 0 && last == before
	}), wait.Timeout(5*time.Second), wait.Gap(50*time.Millisecond)))
	must.LessEq(t, most, last)
	other := testAttempt(nil)
	other.Call.Method = http.MethodGet
	quick, err := c.SendAttempt(t.Context(), address, other)
	must.NoError(t, err)
	body, err := quick.Body()
	must.NoError(t, err)
	must.Len(t, 1<<20, body)
	quick.Close()
	out.Close()
	eventually(t, func() bool { return slow.closed.Load() && handler.released.Load() == 2 })
}

// A response that is shed for want of memory ends although its reader blocks it.
func TestShedResponseEndsWhileItsWriteIsBlocked(t *testing.T) {
	reply := endless()
	handler := &fakeAttempts{handle: answer(reply)}
	c, _, address := serveAttempts(t, handler)
	out, err := c.SendAttempt(t.Context(), address, testAttempt(nil))
	must.NoError(t, err)
	defer out.Close()
	eventually(t, func() bool { return reply.count.Load() > attemptWindowBytes/(4<<10) })
	(*handler.hold.Load().cut.Load())()
	eventually(t, func() bool { return reply.closed.Load() && handler.released.Load() == 1 })
	for err == nil {
		_, err = out.Next()
	}
	must.False(t, attemptErrorOf(t, err).PathBroken)
}

// digestAttempts receives digests too.
type digestAttempts struct {
	*fakeAttempts
	digests chan port.LoadDigest
}

func (h *digestAttempts) HandleDigest(d port.LoadDigest) { h.digests <- d }

func TestStalledAttemptsDoNotDelayDigests(t *testing.T) {
	attempts := &fakeAttempts{handle: func(context.Context, port.PeerAttempt) (port.EndpointResponse, error) { return endless(), nil }}
	handler := &digestAttempts{fakeAttempts: attempts, digests: make(chan port.LoadDigest, 1)}
	c, _, address := serveAttempts(t, handler)
	const stalled = 16
	for range stalled {
		reply, err := c.SendAttempt(t.Context(), address, testAttempt(make([]byte, 2<<20)))
		must.NoError(t, err)
		defer reply.Close()
	}
	stream, err := c.OpenLoadStream(t.Context(), address)
	must.NoError(t, err)
	defer stream.Close()
	must.NoError(t, stream.Send(port.LoadDigest{Host: "h1"}))
	select {
	case <-handler.digests:
	case <-time.After(500 * time.Millisecond):
		t.Error("the digest was delayed")
	}
}
