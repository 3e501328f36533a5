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

// responseWriter implements port.CallerResponseWriter. It flushes after each
// event.
type responseWriter struct {
	ctx     context.Context
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	started bool
	frame   []byte
}

func newResponseWriter(ctx context.Context, w http.ResponseWriter, stream bool) *responseWriter {
	return &responseWriter{
		ctx:     ctx,
		w:       w,
		control: http.NewResponseController(w),
		stream:  stream,
	}
}

// Start sends the status and header.
func (rw *responseWriter) Start(status int, header http.Header) error {
	rw.started = true
	target := rw.w.Header()
	for name, values := range header {
		target[name] = values
	}
	if rw.stream && target.Get("Content-Type") == "" {
		target.Set("Content-Type", "text/event-stream")
		target.Set("Cache-Control", "no-cache")
	}
	rw.w.WriteHeader(status)
	return nil
}

// WriteEvent sends one event and flushes it.
func (rw *responseWriter) WriteEvent(data []byte, _ int) error {
	rw.frame = append(rw.frame[:0], eventPrefix...)
	rw.frame = append(rw.frame, data...)
	rw.frame = append(rw.frame, eventEnd...)
	return rw.writeAndFlush(rw.frame)
}

// WriteBody sends a part of a response that is not streamed, and flushes it.
func (rw *responseWriter) WriteBody(data []byte) error {
	return rw.writeAndFlush(data)
}

func (rw *responseWriter) writeAndFlush(data []byte) error {
	if _, err := rw.w.Write(data); err != nil {
		return err
	}
	return rw.control.Flush()
}

// abort ends a response that has started and cannot be completed. A stream ends
// with an error event and without the end marker. For any other response the
// connection is aborted, so that the caller does not mistake the partial response
// for a complete one.
func (rw *responseWriter) abort(err *port.RequestError) {
	if !rw.stream {
		panic(http.ErrAbortHandler)
	}
	rw.frame = append(rw.frame[:0], errorPrefix...)
	rw.frame = append(rw.frame, encodeProblem(rw.ctx, err)...)
	rw.frame = append(rw.frame, eventEnd...)
	if rw.writeAndFlush(rw.frame) != nil {
		panic(http.ErrAbortHandler)
	}
}
