package server

import (
	"sync"
	"testing"

	"github.com/apex/log"
)

// failureLogLines is the number of log lines that are printed when a test fails.
const failureLogLines = 400

// failureLog keeps the last lines of the hosts of a test, and prints them if it fails.
type failureLog struct {
	mu    sync.Mutex
	lines []*log.Entry
}

func newFailureLog(t *testing.T) *failureLog {
	l := &failureLog{}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, e := range l.lines {
			t.Logf("%s %s %v", e.Timestamp.Format("05.000"), e.Message, e.Fields)
		}
	})
	return l
}

// HandleLog implements log.Handler.
func (l *failureLog) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) == failureLogLines {
		l.lines = append(l.lines[:0], l.lines[1:]...)
	}
	l.lines = append(l.lines, e)
	return nil
}
