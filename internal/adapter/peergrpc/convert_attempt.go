package peergrpc

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// attemptBodyField is the number of AttemptRequest.body.
	attemptBodyField = 6
	// maxTimeLeft bounds the time left of an attempt, so that it fits a duration.
	maxTimeLeft = 24 * time.Hour
)

// attemptMessage is an AttemptRequest whose body is sent without a copy of it.
type attemptMessage struct {
	head *peer.AttemptRequest
	body []byte
}

// size returns the length of the encoded message.
func (m *attemptMessage) size() int {
	return proto.Size(m.head) + protowire.SizeTag(attemptBodyField) + protowire.SizeBytes(len(m.body))
}

// encode encodes the message. It fails if a name in it is not valid UTF-8.
func (m *attemptMessage) encode() (mem.BufferSlice, error) {
	head, err := proto.Marshal(m.head)
	if err != nil || len(m.body) == 0 {
		return mem.BufferSlice{mem.SliceBuffer(head)}, err
	}
	head = protowire.AppendTag(head, attemptBodyField, protowire.BytesType)
	head = protowire.AppendVarint(head, uint64(len(m.body)))
	return mem.BufferSlice{mem.SliceBuffer(head), mem.SliceBuffer(m.body)}, nil
}

// attemptToWire returns the wire form of an attempt without the body of its call.
func attemptToWire(a port.PeerAttempt) *peer.AttemptRequest {
	call := a.Call
	return &peer.AttemptRequest{
		Id:          []byte(call.ID),
		Method:      call.Method,
		Host:        []byte(call.Host),
		Uri:         []byte(call.URI),
		Header:      headerToWire(call.Header),
		Endpoint:    instanceToWire(model.Instance{Name: a.Endpoint, Started: a.Started}),
		Address:     a.Address,
		Account:     string(a.Account),
		TimeLeftUs:  a.TimeLeft.Microseconds(),
		Priority:    int32(a.Priority),
		Model:       []byte(call.Prompt.Model),
		CacheSource: a.CacheSource,
		LastEventId: []byte(a.LastEventID),
		MovedFrom:   a.MovedFrom,
		Sender:      string(a.Sender),
		Tier:        int32(a.Tier),
		Rank:        int32(a.Rank),
	}
}

// attemptFromWire returns the attempt of a message. It fails if the message is no request
// that can be written to an endpoint.
func attemptFromWire(req *peer.AttemptRequest) (port.PeerAttempt, error) {
	for name, text := range map[string]string{"method": req.GetMethod(), "host": string(req.GetHost()), "uri": string(req.GetUri())} {
		if text == "" && name != "host" || strings.ContainsAny(text, " \r\n") {
			return port.PeerAttempt{}, fmt.Errorf("the attempt has a malformed %s", name)
		}
	}
	instance := instanceFromWire(req.GetEndpoint())
	if instance.Name == "" {
		return port.PeerAttempt{}, errors.New("the attempt names no endpoint")
	}
	call := &port.RoutedCall{
		ID:     model.RequestID(req.GetId()),
		Host:   string(req.GetHost()),
		Method: req.GetMethod(),
		URI:    string(req.GetUri()),
		Header: headerFromWire(req.GetHeader()),
		Body:   req.GetBody(),
		Prompt: model.Prompt{Model: model.ModelName(req.GetModel())},
	}
	return port.PeerAttempt{
		RoutedAttempt: port.RoutedAttempt{
			Call: call, Endpoint: instance.Name, Address: req.GetAddress(), Account: model.AccountName(req.GetAccount()),
			TimeLeft: time.Duration(min(req.GetTimeLeftUs(), maxTimeLeft.Microseconds())) * time.Microsecond, Priority: int(req.GetPriority()),
			CacheSource: req.GetCacheSource(), LastEventID: string(req.GetLastEventId()), MovedFrom: req.GetMovedFrom(),
		},
		Started: instance.Started, Sender: model.HostID(req.GetSender()),
		Tier: model.Tier(req.GetTier()), Rank: model.Tier(req.GetRank()),
	}, nil
}

func headerToWire(header http.Header) []*peer.HeaderField {
	out := make([]*peer.HeaderField, 0, len(header))
	for name, values := range header {
		out = append(out, &peer.HeaderField{Name: name, Values: convert(values, func(v string) []byte { return []byte(v) })})
	}
	return out
}

// headerFromWire returns a header, which is never nil.
func headerFromWire(fields []*peer.HeaderField) http.Header {
	out := make(http.Header, len(fields))
	for _, field := range fields {
		out[field.GetName()] = convert(field.GetValues(), func(v []byte) string { return string(v) })
	}
	return out
}

// headToWire returns the head of an endpoint's response.
func headToWire(reply port.EndpointResponse) *peer.AttemptHead {
	out := &peer.AttemptHead{
		Status:      int32(reply.Status()),
		Header:      headerToWire(reply.Header()),
		Signed:      reply.HasSignature(),
		NotExecuted: reply.NotExecuted(),
		Leaving:     reply.IsLeaving(),
		// A shorter time would let requests return too early.
		RetryAfterMs: (reply.RetryAfter() + time.Millisecond - 1).Milliseconds(),
		EventStream:  reply.IsEventStream(),
	}
	if opened := reply.ConnectedAt(); !opened.IsZero() {
		out.ConnectionAgeMs = time.Since(opened).Milliseconds()
	}
	limit, err := reply.RequestLimit()
	out.LimitStated, out.Limit, out.MalformedLimit = limit.Stated, limit.PerSecond, malformedText(err)
	brittleness, err := reply.Brittleness()
	out.BrittleStated, out.Brittle, out.MalformedBrittle = brittleness.Stated, brittleness.Rejections, malformedText(err)
	return out
}

// malformedText returns the text of a *port.MalformedLimitError.
func malformedText(err error) []byte {
	var malformed *port.MalformedLimitError
	if errors.As(err, &malformed) {
		return []byte(malformed.Text)
	}
	return nil
}

// malformedError returns the error for a malformed text, nil if there is none.
func malformedError(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	return &port.MalformedLimitError{Text: string(text)}
}

// failurePart returns the part that ends an attempt with an error.
func failurePart(err error) *peer.AttemptPart {
	failure := &peer.AttemptFailure{Outcome: peer.Outcome_OUTCOME_UNKNOWN, Cause: strings.ToValidUTF8(err.Error(), "?")}
	var attemptErr *port.PeerAttemptError
	if errors.As(err, &attemptErr) {
		failure.Outcome = outcomeToWire(attemptErr.Outcome)
		failure.Refused, failure.Unreachable = attemptErr.Refused, attemptErr.Unreachable
		failure.Cause = strings.ToValidUTF8(attemptErr.Cause.Error(), "?")
	}
	return &peer.AttemptPart{Part: &peer.AttemptPart_Failure{Failure: failure}}
}

// attemptFailureFromWire returns the error of an attempt as the other host reports it.
func attemptFailureFromWire(f *peer.AttemptFailure) *port.PeerAttemptError {
	return &port.PeerAttemptError{
		Outcome: outcomeFromWire(f.GetOutcome()), Refused: f.GetRefused(), Unreachable: f.GetUnreachable(), Cause: errors.New(f.GetCause()),
	}
}
