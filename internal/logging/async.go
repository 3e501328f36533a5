package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBytes bounds the lines that wait to be written.
	asyncBytes = 256 << 10
	// asyncEvery is the longest time that a line waits.
	asyncEvery = 200 * time.Millisecond
)

// Async writes lines in batches on a goroutine of its own. A line that finds
// the buffer full is dropped and counted, so that logging never waits for the
// reader of the log.
type Async struct {
	out     io.Writer
	dropped atomic.Int64
	// told is the number of dropped lines that the log has told of.
	told    int64
	mu      sync.Mutex
	buf     []byte
	stop    chan struct{}
	stopped chan struct{}
}

// NewAsync starts writing to out until Close.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, stop: make(chan struct{}), stopped: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never fails.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buf)+len(line) > asyncBytes {
		a.dropped.Add(1)
		return len(line), nil
	}
	a.buf = append(a.buf, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits and ends the goroutine.
func (a *Async) Close() {
	close(a.stop)
	<-a.stopped
}

func (a *Async) run() {
	defer close(a.stopped)
	ticker := time.NewTicker(asyncEvery)
	defer ticker.Stop()
	var spare []byte
	for {
		last := false
		select {
		case <-ticker.C:
		case <-a.stop:
			last = true
		}
		a.tellDropped()
		spare = a.flush(spare)
		if last {
			return
		}
	}
}

// flush writes what waits. It returns the written buffer for reuse.
func (a *Async) flush(spare []byte) []byte {
	a.mu.Lock()
	full := a.buf
	a.buf = spare[:0]
	a.mu.Unlock()
	if len(full) > 0 {
		// There is nowhere else to tell that the log cannot be written.
		_, _ = a.out.Write(full)
	}
	return full
}

// tellDropped adds a line about dropped ones to the log.
func (a *Async) tellDropped() {
	dropped := a.dropped.Load()
	if dropped == a.told {
		return
	}
	a.told = dropped
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buf = fmt.Appendf(a.buf, "{\"level\":\"warn\",\"timestamp\":%q,\"fields\":{\"dropped\":%d},\"message\":\"log: lines dropped\"}\n",
		time.Now().UTC().Format(time.RFC3339Nano), dropped)
}
