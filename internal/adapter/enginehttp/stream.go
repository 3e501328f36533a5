package enginehttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// streamBufferBytes is the size of the read buffer of a stream.
const streamBufferBytes = 4 << 10

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// The errors of an invalid engine response.
var (
	errTruncated     = errors.New("engine closed the connection before the end of the response")
	errEventTooLarge = errors.New("engine sent an event larger than 64 KiB")
	errBodyTooLarge  = errors.New("engine sent a response larger than 16 MiB")
	errNotEvents     = errors.New("engine response has a content type other than text/event-stream")
	errNotJSON       = errors.New("engine response has a content type other than application/json")
)

// stream reads an engine's response. It implements port.EngineStream.
type stream struct {
	body       io.ReadCloser
	lines      *bufio.Reader
	unstreamed bool
	// framed reports that the response states its end. Otherwise its connection ends it, like
	// that of an engine that stops.
	framed    bool
	longLine  []byte
	ended     bool
	formatErr error
}

func newStream(res *http.Response, events bool) *stream {
	s := &stream{body: res.Body, unstreamed: !events, framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0}
	kind := res.Header.Get("Content-Type")
	switch {
	case events && !bytes.HasPrefix([]byte(kind), []byte("text/event-stream")):
		s.formatErr = errNotEvents
	case !events && !bytes.HasPrefix([]byte(kind), []byte("application/json")):
		s.formatErr = errNotJSON
	}
	if events {
		s.lines = bufio.NewReaderSize(res.Body, streamBufferBytes)
	}
	return s
}

// Next returns the next event, or io.EOF after the last one.
func (s *stream) Next() (port.EngineEvent, error) {
	if s.formatErr != nil {
		return port.EngineEvent{}, brokenResponse(s.formatErr)
	}
	if s.ended {
		return port.EngineEvent{}, io.EOF
	}
	if s.unstreamed {
		return s.readBody()
	}
	return s.readEvent()
}

func (s *stream) readBody() (port.EngineEvent, error) {
	data, err := io.ReadAll(io.LimitReader(s.body, maxResponseBytes+1))
	if err != nil {
		return port.EngineEvent{}, brokenResponse(err)
	}
	if len(data) > maxResponseBytes {
		return port.EngineEvent{}, brokenResponse(errBodyTooLarge)
	}
	if !s.framed && !json.Valid(data) {
		return port.EngineEvent{}, brokenResponse(errTruncated)
	}
	s.ended = true
	return port.EngineEvent{Data: data, Tokens: usageTokens(data), Last: true}, nil
}

// readEvent returns the next event. It skips blank lines, comments and fields
// other than data.
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
		if bytes.Equal(data, doneMarker) {
			s.ended = true
			return port.EngineEvent{Data: data, Last: true}, nil
		}
		return port.EngineEvent{Data: data, Tokens: 1}, nil
	}
}

// readLine returns the next line. Lines longer than the read buffer are assembled
// in longLine, up to maxEventBytes.
func (s *stream) readLine() ([]byte, error) {
	s.longLine = s.longLine[:0]
	for {
		part, err := s.lines.ReadSlice('\n')
		if err == nil && len(s.longLine) == 0 {
			return part, nil
		}
		s.longLine = append(s.longLine, part...)
		switch {
		case len(s.longLine) > maxEventBytes:
			return nil, brokenResponse(errEventTooLarge)
		case err == nil:
			return s.longLine, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, brokenResponse(errTruncated)
		default:
			return nil, brokenResponse(err)
		}
	}
}

// Close closes the response, which cancels the request if it is still running.
func (s *stream) Close() error { return s.body.Close() }

// brokenResponse returns the error for a response with status 200 that is invalid
// or incomplete.
func brokenResponse(cause error) *port.EndpointError {
	return &port.EndpointError{Outcome: model.OutcomeUnknown, Status: http.StatusOK, Cause: cause}
}
