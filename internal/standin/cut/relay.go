// Package cut implements a TCP relay whose link can be cut or stalled, so that
// a scenario can partition any two processes from each other.
package cut

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Mode is the state of a relay's link.
type Mode string

// The modes of a relay.
const (
	// ModeOpen relays data in both directions.
	ModeOpen Mode = "open"
	// ModeCut closes all connections, and closes each new one immediately.
	ModeCut Mode = "cut"
	// ModeStall keeps connections and accepts new ones, but relays no data.
	// Data held back is relayed once the mode is open again.
	ModeStall Mode = "stall"
)

// bufferBytes is the size of the copy buffer for each direction of a
// connection.
const bufferBytes = 32 << 10

// Relay forwards the connections of a listener to one target address.
type Relay struct {
	target string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
	// modeChanged is closed and replaced by SetMode and Close.
	modeChanged chan struct{}
	closed      bool
}

// New returns a Relay to the target address in ModeOpen.
func New(to string) *Relay {
	return &Relay{target: to, mode: ModeOpen, conns: map[net.Conn]struct{}{}, modeChanged: make(chan struct{})}
}

// Mode returns the current mode.
func (r *Relay) Mode() Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// SetMode applies a mode to all existing and new connections.
func (r *Relay) SetMode(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	if mode == ModeCut {
		r.closeAll()
	}
	close(r.modeChanged)
	r.modeChanged = make(chan struct{})
}

// Close closes all connections. The relay cannot be used again.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.closeAll()
	close(r.modeChanged)
	r.modeChanged = make(chan struct{})
}

// closeAll closes the connections. The caller holds mu.
func (r *Relay) closeAll() {
	for conn := range r.conns {
		conn.Close()
	}
}

// Serve relays the listener's connections until the listener is closed. It
// returns once all of them have ended.
func (r *Relay) Serve(listener net.Listener) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		running.Go(func() { r.relay(conn) })
	}
}

// relay connects an accepted connection to a new connection to the target.
func (r *Relay) relay(from net.Conn) {
	defer from.Close()
	if !r.register(from) {
		return
	}
	defer r.unregister(from)
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	if !r.register(to) {
		return
	}
	defer r.unregister(to)
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(to, from) })
	directions.Go(func() { r.copy(from, to) })
	directions.Wait()
}

// register adds a connection to those that ModeCut and Close close. It reports
// false if the relay is cut or closed, so that the connection must be dropped.
func (r *Relay) register(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.mode == ModeCut {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) unregister(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// copy relays one direction from src to dst until it ends, and then propagates
// the end to dst.
func (r *Relay) copy(dst, src net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		r.waitWhileStalled()
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				src.Close()
				return
			}
		}
		if err != nil {
			propagateClose(dst, err)
			return
		}
	}
}

// propagateClose propagates the end of a direction to dst: EOF as a half-close,
// any other error by closing the connection.
func propagateClose(dst net.Conn, cause error) {
	if tcp, ok := dst.(*net.TCPConn); ok && errors.Is(cause, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	dst.Close()
}

// waitWhileStalled blocks while the mode is ModeStall and the relay isn't
// closed.
func (r *Relay) waitWhileStalled() {
	for {
		r.mu.Lock()
		stalled, changed := r.mode == ModeStall && !r.closed, r.modeChanged
		r.mu.Unlock()
		if !stalled {
			return
		}
		<-changed
	}
}
