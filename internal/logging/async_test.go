package logging

import (
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// slowWriter blocks writes until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *slowWriter) Write(data []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(data)
}

func TestAsyncWriterKeepsOrderAndFlushesAtClose(t *testing.T) {
	out := &slowWriter{release: make(chan struct{})}
	close(out.release)
	a := NewAsyncWriter(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		n, err := a.Write([]byte(line))
		must.NoError(t, err)
		must.Eq(t, 2, n)
	}
	a.Close()
	must.Eq(t, "a\nb\nc\n", out.text.String())
	must.Eq(t, 0, a.Dropped())
}

// A stalled reader of the log must not block the program.
func TestAsyncWriterDropsLinesWhenBufferIsFull(t *testing.T) {
	out := &slowWriter{release: make(chan struct{})}
	a := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4 * asyncBufferBytes / 1024
	for range lines {
		_, err := a.Write(line)
		must.NoError(t, err)
	}
	must.Positive(t, a.Dropped())
	close(out.release)
	a.Close()
	must.StrContains(t, out.text.String(), `"message":"log: lines dropped"`)
	written := strings.Count(out.text.String(), "x\n")
	must.Eq(t, lines, written+int(a.Dropped()))
}
