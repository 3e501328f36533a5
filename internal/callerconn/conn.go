// Package callerconn follows the connections of callers to an HTTP server, so that idle ones can
// be closed without losing a request. The server calls a connection idle until it has read the
// whole header of the next request.
package callerconn

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn
	// input is what is known of the next request.
	input atomic.Int32
}

// Values of Conn.input.
const (
	// inputNone means that no byte of the next request was read, inputBegun that one was.
	inputNone int32 = iota
	inputBegun
	// inputClosed means that the connection was closed before that.
	inputClosed
)

// Read implements net.Conn. It returns nothing that was received before CloseIdle if that has
// closed the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.input.CompareAndSwap(inputNone, inputBegun) && c.input.Load() == inputClosed {
		return 0, net.ErrClosed
	}
	return n, err
}

// OnStateChange follows the state of the connection.
func (c *Conn) OnStateChange(state http.ConnState) {
	if state == http.StateIdle {
		c.input.CompareAndSwap(inputBegun, inputNone)
	}
}

// CloseIdle closes an idle connection unless bytes of a request were read.
func (c *Conn) CloseIdle() bool {
	if !c.input.CompareAndSwap(inputNone, inputClosed) {
		return false
	}
	_ = c.Close()
	return true
}

// HasRequest reports whether an idle connection has bytes of a request, read or unread.
func (c *Conn) HasRequest() bool {
	if c.input.Load() == inputBegun {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	// Control, unlike Read, does not wait for the read that is in progress.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// Listener accepts connections as Conn.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp}, err
	}
	return conn, err
}

// followed is a connection whose requests are followed, such as a Conn.
type followed interface {
	OnStateChange(state http.ConnState)
	CloseIdle() bool
	HasRequest() bool
}

// closeIdle closes an idle connection. It returns false if a request has begun on it.
func closeIdle(conn net.Conn) bool {
	if c, ok := conn.(followed); ok {
		return c.CloseIdle()
	}
	_ = conn.Close()
	return true
}

// connState is the state of a connection.
type connState struct {
	state http.ConnState
	since time.Time
}

// Counts counts the callers' connections by state.
type Counts struct {
	// New ones have had no request, Idle ones are between two, Unread ones are either, with
	// bytes of a request, and Active ones have a request in progress.
	New, Idle, Unread, Active int
}

// Connections tracks the connections of a server. It is safe for concurrent use.
type Connections struct {
	mu     sync.Mutex
	states map[net.Conn]connState
}

// New returns Connections without any.
func New() *Connections { return &Connections{states: make(map[net.Conn]connState)} }

// OnStateChange is the ConnState hook of the HTTP server.
func (c *Connections) OnStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	if caller, ok := conn.(followed); ok {
		caller.OnStateChange(state)
	}
	c.states[conn] = connState{state: state, since: time.Now()}
}

// Count returns the connections by state.
func (c *Connections) Count() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Counts
	for conn, s := range c.states {
		caller, ok := conn.(followed)
		switch {
		case s.state == http.StateActive:
			out.Active++
		case ok && caller.HasRequest():
			out.Unread++
		case s.state == http.StateNew:
			out.New++
		default:
			out.Idle++
		}
	}
	return out
}

// CloseExpired closes the connections that have been idle for longer than limit, and those on
// which a request has begun once grace has passed after that.
func (c *Connections) CloseExpired(now time.Time, limit, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		over := now.Sub(s.since) - limit
		switch {
		case s.state != http.StateIdle:
		case over > grace:
			delete(c.states, conn)
			_ = conn.Close()
		case over > 0 && s.isIdle(conn, now) && closeIdle(conn):
			delete(c.states, conn)
		}
	}
}
