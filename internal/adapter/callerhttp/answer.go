package callerhttp

import (
	"context"
	"net/http"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The framing of server-sent events.
var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	errorPrefix = []byte("event: error\ndata: ")
)

// answerWriter writes an answer to a caller. Each event is flushed on its own.
type answerWriter struct {
	ctx     context.Context
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	started bool
	frame   []byte
}

func newAnswerWriter(ctx context.Context, w http.ResponseWriter, stream bool) *answerWriter {
	return &answerWriter{
		ctx:     ctx,
		w:       w,
		control: http.NewResponseController(w),
		stream:  stream,
	}
}

// Start sends the status and header.
func (a *answerWriter) Start(status int, header http.Header) error {
	a.started = true
	target := a.w.Header()
	for name, values := range header {
		target[name] = values
	}
	if a.stream && target.Get("Content-Type") == "" {
		target.Set("Content-Type", "text/event-stream")
		target.Set("Cache-Control", "no-cache")
	}
	a.w.WriteHeader(status)
	return nil
}

// WriteEvent sends one event and flushes it.
func (a *answerWriter) WriteEvent(data []byte, _ int) error {
	a.frame = append(a.frame[:0], eventPrefix...)
	a.frame = append(a.frame, data...)
	a.frame = append(a.frame, eventEnd...)
	return a.flushed(a.frame)
}

// WriteBody sends a part of an answer that is not streamed.
func (a *answerWriter) WriteBody(data []byte) error {
	return a.flushed(data)
}

func (a *answerWriter) flushed(data []byte) error {
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return a.control.Flush()
}

// abort ends an answer that has started and cannot be completed. A stream
// gets an error event and no end mark. Any other answer is cut, so that the
// caller does not take a part for the whole.
func (a *answerWriter) abort(err *port.RequestError) {
	if !a.stream {
		panic(http.ErrAbortHandler)
	}
	a.frame = append(a.frame[:0], errorPrefix...)
	a.frame = append(a.frame, encodeProblem(a.ctx, err)...)
	a.frame = append(a.frame, eventEnd...)
	if a.flushed(a.frame) != nil {
		panic(http.ErrAbortHandler)
	}
}
