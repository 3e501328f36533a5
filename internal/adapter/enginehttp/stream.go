package enginehttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// streamBufferBytes is the read buffer of a stream.
const streamBufferBytes = 4 << 10

var (
	dataField = []byte("data:")
	doneMark  = []byte("[DONE]")
)

// The faults of an engine's answer.
var (
	errCutShort      = errors.New("engine closed the answer before its end")
	errEventTooLarge = errors.New("engine sent an event larger than 64 KiB")
	errBodyTooLarge  = errors.New("engine sent an answer larger than 16 MiB")
	errNotEvents     = errors.New("engine did not answer with server-sent events")
	errNotJSON       = errors.New("engine did not answer with JSON")
)

// stream reads an engine's answer.
type stream struct {
	body   io.ReadCloser
	lines  *bufio.Reader
	whole  bool
	long   []byte
	ended  bool
	format error
}

func newStream(res *http.Response, events bool) *stream {
	s := &stream{body: res.Body, whole: !events}
	kind := res.Header.Get("Content-Type")
	switch {
	case events && !bytes.HasPrefix([]byte(kind), []byte("text/event-stream")):
		s.format = errNotEvents
	case !events && !bytes.HasPrefix([]byte(kind), []byte("application/json")):
		s.format = errNotJSON
	}
	if events {
		s.lines = bufio.NewReaderSize(res.Body, streamBufferBytes)
	}
	return s
}

// Next returns the next event, or io.EOF after the end mark.
func (s *stream) Next() (port.EngineEvent, error) {
	if s.format != nil {
		return port.EngineEvent{}, broken(s.format)
	}
	if s.ended {
		return port.EngineEvent{}, io.EOF
	}
	if s.whole {
		return s.readWhole()
	}
	return s.readEvent()
}

func (s *stream) readWhole() (port.EngineEvent, error) {
	data, err := io.ReadAll(io.LimitReader(s.body, maxAnswerBytes+1))
	if err != nil {
		return port.EngineEvent{}, broken(err)
	}
	if len(data) > maxAnswerBytes {
		return port.EngineEvent{}, broken(errBodyTooLarge)
	}
	s.ended = true
	return port.EngineEvent{Data: data, Tokens: wholeTokens(data), Last: true}, nil
}

// readEvent skips blank lines, comments and fields other than data.
func (s *stream) readEvent() (port.EngineEvent, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return port.EngineEvent{}, err
		}
		if !bytes.HasPrefix(line, dataField) {
			continue
		}
		data := bytes.TrimSpace(line[len(dataField):])
		if bytes.Equal(data, doneMark) {
			s.ended = true
			return port.EngineEvent{Data: data, Last: true}, nil
		}
		return port.EngineEvent{Data: data, Tokens: 1}, nil
	}
}

// readLine returns the next line. Lines longer than the buffer are put
// together up to maxEventBytes.
func (s *stream) readLine() ([]byte, error) {
	s.long = s.long[:0]
	for {
		part, err := s.lines.ReadSlice('\n')
		if err == nil && len(s.long) == 0 {
			return part, nil
		}
		s.long = append(s.long, part...)
		switch {
		case len(s.long) > maxEventBytes:
			return nil, broken(errEventTooLarge)
		case err == nil:
			return s.long, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, broken(errCutShort)
		default:
			return nil, broken(err)
		}
	}
}

// Close cancels the work when the answer has not ended.
func (s *stream) Close() error { return s.body.Close() }

func broken(cause error) *port.EndpointError {
	return &port.EndpointError{Outcome: model.OutcomeUnknown, Status: http.StatusOK, Cause: cause}
}
