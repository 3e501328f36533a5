package gateway

import (
	"sync"
	"time"
)

// openAttempts are the attempts in progress at endpoints that this host has reached itself and
// that may be sent again. It is safe for concurrent use.
type openAttempts struct {
	mu      sync.Mutex
	watches map[*stallWatch]bool
}

func (a *openAttempts) add(w *stallWatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watches == nil {
		a.watches = make(map[*stallWatch]bool)
	}
	a.watches[w] = true
}

func (a *openAttempts) remove(w *stallWatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.watches, w)
}

// giveUp gives up the attempts as if their endpoints had been silent for long: this host has
// lost its paths to them.
func (a *openAttempts) giveUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.watches {
		w.expire()
	}
}

// expire ends the time in which the endpoint may be silent, unless the caller is being
// written to.
func (w *stallWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.due.IsZero() {
		w.due = time.Now()
		w.timeout.Reset(0)
	}
}
