package callerconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// drainInterval is the time between checks whether requests are in progress.
	drainInterval = 10 * time.Millisecond
	// quietChecks is the number of checks in a row without any request after which the listener
	// is closed, so that connections that were established before are accepted. They are
	// counted since a busy process may run late.
	quietChecks = 10
	// settleChecks is the number of checks after which the listener is closed although requests
	// still arrive, once all that had arrived before Drain have ended.
	settleChecks = 50
	// newConnTime is how long a new connection may take to send its request before it counts
	// as idle.
	newConnTime = 500 * time.Millisecond
)

// Drain waits until no request is in progress, on its way from a new connection, or unread, and
// closes the listener and the connections. New connections are served until all requests have
// ended that are in progress now, and shortly after that. It returns the error of ctx if ctx ends
// before that.
func (c *Connections) Drain(ctx context.Context, listener net.Listener) error {
	if err := c.waitQuiet(ctx); err != nil {
		return err
	}
	// Serve returns its error.
	_ = listener.Close()
	return c.CloseAll(ctx)
}

// CloseAll closes the connections as they become idle, and waits until there are none. It returns
// the error of ctx if ctx ends before that.
func (c *Connections) CloseAll(ctx context.Context) error { return poll(ctx, c.closeIdle) }

// waitQuiet waits until the requests that are in progress have ended, and then until there has
// been no other one at quietChecks checks in a row, at settleChecks checks at most.
func (c *Connections) waitQuiet(ctx context.Context) error {
	start, quiet, settled := time.Now(), 0, 0
	return poll(ctx, func(now time.Time) bool {
		quiet, settled = quiet+1, settled+1
		if c.hasRequestFrom(start) {
			quiet, settled = 0, 0
		} else if c.isBusy(now) {
			quiet = 0
		}
		return quiet >= quietChecks || settled >= settleChecks
	})
}

// poll calls done every drainInterval until it returns true or ctx ends.
func poll(ctx context.Context, done func(now time.Time) bool) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if done(now) {
				return nil
			}
		}
	}
}

// isIdle reports whether a connection can be closed without losing a request.
func (s connState) isIdle(conn net.Conn, now time.Time) bool {
	if s.state == http.StateActive || s.state == http.StateNew && now.Sub(s.since) < newConnTime {
		return false
	}
	caller, ok := conn.(followed)
	return !ok || !caller.HasRequest()
}

// hasRequestFrom reports whether a request is in progress that arrived before a time.
func (c *Connections) hasRequestFrom(before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s.state == http.StateActive && s.since.Before(before) {
			return true
		}
	}
	return false
}

// isBusy reports whether a connection is not idle.
func (c *Connections) isBusy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The buffers are looked at only if no request is in progress.
	for _, s := range c.states {
		if s.state == http.StateActive {
			return true
		}
	}
	for conn, s := range c.states {
		if !s.isIdle(conn, now) {
			return true
		}
	}
	return false
}

// closeIdle closes the idle connections. It reports whether none are left.
func (c *Connections) closeIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		if s.isIdle(conn, now) && closeIdle(conn) {
			delete(c.states, conn)
		}
	}
	return len(c.states) == 0
}
