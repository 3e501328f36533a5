package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// slowWrite is how long a write to a caller takes until the events that follow are read from
// the endpoint nevertheless. Endpoints cut off responses that nobody reads for seconds.
const slowWrite = 200 * time.Millisecond

var errReadEnded = errors.New("the response is no longer read")

// readAhead reads the events of a stream. While the caller reads slowly it keeps them, as far
// as there is memory for them, so that the endpoint is not held up. A caller that keeps up
// costs neither a goroutine nor a copy.
type readAhead struct {
	reply  port.EndpointResponse
	hold   *memoryHold
	ctx    context.Context
	cancel context.CancelCauseFunc
	// slow starts reading ahead.
	slow *time.Timer
	mu   sync.Mutex
	// writing reports whether a write to the caller is in progress, ahead whether events are
	// read ahead, from the first slow write until the end of the stream.
	writing, ahead bool
	// kept are the events that were read ahead, err is the end of the stream after them.
	kept []port.EventBatch
	err  error
	// held is the number of bytes of the batch returned last that count as unread.
	held int
	// changed has a value after kept or err have changed.
	changed chan struct{}
	done    chan struct{}
}

// newReadAhead returns a reader of the events of a response. cancel cancels the attempt.
func newReadAhead(ctx context.Context, cancel context.CancelCauseFunc, reply port.EndpointResponse, hold *memoryHold) *readAhead {
	r := &readAhead{reply: reply, hold: hold, ctx: ctx, cancel: cancel, changed: make(chan struct{}, 1), done: make(chan struct{})}
	r.slow = time.AfterFunc(slowWrite, r.start)
	r.slow.Stop()
	return r
}

// next returns the next events, as port.EndpointResponse.Next does.
func (r *readAhead) next() (port.EventBatch, error) {
	r.mu.Lock()
	ahead := r.ahead
	r.mu.Unlock()
	if !ahead {
		return r.reply.Next()
	}
	for {
		r.mu.Lock()
		if len(r.kept) > 0 {
			batch := r.kept[0]
			r.kept = r.kept[1:]
			r.held = len(batch.Data)
			r.mu.Unlock()
			return batch, nil
		}
		err := r.err
		r.mu.Unlock()
		if err != nil {
			return port.EventBatch{}, err
		}
		<-r.changed
	}
}

// hasEnded reports whether the whole stream has been read.
func (r *readAhead) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Is(r.err, io.EOF)
}

// beginWrite and endWrite enclose a write of events to the caller.
func (r *readAhead) beginWrite() {
	r.mu.Lock()
	r.writing = true
	r.mu.Unlock()
	r.slow.Reset(slowWrite)
}

func (r *readAhead) endWrite() {
	r.slow.Stop()
	r.mu.Lock()
	r.writing = false
	ahead, held := r.ahead, r.held
	r.held = 0
	r.mu.Unlock()
	if ahead {
		r.hold.read(held)
	}
}

// start reads ahead until the stream ends, if the write is still in progress.
func (r *readAhead) start() {
	r.mu.Lock()
	if !r.writing || r.ahead {
		r.mu.Unlock()
		return
	}
	r.ahead = true
	r.mu.Unlock()
	defer close(r.done)
	// The batch that is being written stays valid.
	r.reply.KeepBatch()
	r.hold.send()
	for {
		batch, err := r.reply.Next()
		if err == nil {
			err = r.hold.AddUnread(r.ctx, int64(len(batch.Data)))
		}
		r.mu.Lock()
		if err != nil {
			r.err = err
		} else {
			batch.Data = bytes.Clone(batch.Data)
			r.kept = append(r.kept, batch)
		}
		r.mu.Unlock()
		select {
		case r.changed <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// stop ends reading ahead before the response is closed.
func (r *readAhead) stop() {
	r.slow.Stop()
	r.mu.Lock()
	ahead, ended := r.ahead, r.err != nil
	// A timer that is about to start reads nothing.
	r.writing = false
	r.mu.Unlock()
	if !ahead {
		return
	}
	if !ended {
		r.cancel(errReadEnded)
	}
	<-r.done
}
