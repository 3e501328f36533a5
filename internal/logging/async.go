package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBufferBytes bounds the size of the buffered lines.
	asyncBufferBytes = 256 << 10
	// asyncFlushInterval is the time between flushes, the longest that a line is
	// buffered.
	asyncFlushInterval = 200 * time.Millisecond
)

// AsyncWriter buffers lines and writes them in batches on its own goroutine. It
// drops and counts lines while the buffer is full, so that logging never blocks on
// the reader of the log.
type AsyncWriter struct {
	out     io.Writer
	dropped atomic.Int64
	// reportedDropped is the number of dropped lines as last written to the log.
	reportedDropped int64
	mu              sync.Mutex
	buf             []byte
	stop            chan struct{}
	stopped         chan struct{}
}

// NewAsyncWriter returns a writer to out. It runs a goroutine until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, stop: make(chan struct{}), stopped: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never fails or blocks on the output.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buf)+len(line) > asyncBufferBytes {
		a.dropped.Add(1)
		return len(line), nil
	}
	a.buf = append(a.buf, line...)
	return len(line), nil
}

// Dropped returns the total number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the buffered lines and stops the goroutine.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.stopped
}

// run flushes the buffer at each interval until Close.
func (a *AsyncWriter) run() {
	defer close(a.stopped)
	ticker := time.NewTicker(asyncFlushInterval)
	defer ticker.Stop()
	var spare []byte
	for {
		last := false
		select {
		case <-ticker.C:
		case <-a.stop:
			last = true
		}
		a.reportDropped()
		spare = a.flush(spare)
		if last {
			return
		}
	}
}

// flush replaces the buffer by spare and writes the buffered lines. It returns the
// written buffer for reuse.
func (a *AsyncWriter) flush(spare []byte) []byte {
	a.mu.Lock()
	full := a.buf
	a.buf = spare[:0]
	a.mu.Unlock()
	if len(full) > 0 {
		// The error is ignored since there is no other place to report it.
		_, _ = a.out.Write(full)
	}
	return full
}

// reportDropped adds a line with the total number of dropped lines to the log if
// it has changed.
func (a *AsyncWriter) reportDropped() {
	dropped := a.dropped.Load()
	if dropped == a.reportedDropped {
		return
	}
	a.reportedDropped = dropped
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buf = fmt.Appendf(a.buf, "{\"level\":\"warn\",\"timestamp\":%q,\"fields\":{\"dropped\":%d},\"message\":\"log: lines dropped\"}\n",
		time.Now().UTC().Format(time.RFC3339Nano), dropped)
}
