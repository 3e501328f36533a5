package peergrpc

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// No message of another host ends this one, and what is accepted can be written to an endpoint.
func FuzzAttemptFromWire(f *testing.F) {
	seed, err := (&attemptMessage{head: attemptToWire(testAttempt(nil)), body: []byte("body")}).encode()
	must.NoError(f, err)
	f.Add(seed.Materialize())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var req peer.AttemptRequest
		if proto.Unmarshal(data, &req) != nil {
			return
		}
		a, err := attemptFromWire(&req)
		if err != nil {
			return
		}
		must.NotNil(t, a.Call.Header)
		must.NotEq(t, "", a.Call.Method+string(a.Endpoint))
		must.LessEq(t, maxTimeLeft, a.TimeLeft)
	})
}

func FuzzAttemptRoundTrip(f *testing.F) {
	f.Add("id", "h.example", "/a?b=c", "X-A", "value", []byte("body"), "7", int64(3))
	f.Add("\xff", "\xfe", "/\xfd", "\xfc", "\x00", []byte{0xff}, "\xfb", int64(-1))
	f.Fuzz(func(t *testing.T, id, host, uri, name, value string, body []byte, last string, left int64) {
		a := port.PeerAttempt{
			RoutedAttempt: port.RoutedAttempt{
				Call: &port.RoutedCall{
					ID: model.RequestID(id), Host: host, Method: http.MethodPost, URI: uri, Header: http.Header{name: {value, ""}}, Body: body,
				},
				Endpoint: "i-1", LastEventID: last, TimeLeft: time.Duration(left%1e9) * time.Microsecond,
			},
			Started: left, Sender: "h1",
		}
		message := &attemptMessage{head: attemptToWire(a), body: body}
		data, err := message.encode()
		if err != nil {
			return
		}
		must.Eq(t, message.size()-emptyBodySize(body), data.Len())
		var req peer.AttemptRequest
		must.NoError(t, proto.Unmarshal(data.Materialize(), &req))
		got, err := attemptFromWire(&req)
		if err != nil {
			return
		}
		if len(body) == 0 {
			a.Call.Body, got.Call.Body = nil, nil
		}
		must.Eq(t, a, got)
	})
}

// emptyBodySize returns the bytes that a body takes which is left out.
func emptyBodySize(body []byte) int {
	if len(body) > 0 {
		return 0
	}
	return 2
}
