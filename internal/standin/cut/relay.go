// Package cut is a TCP relay whose link can be cut or stalled, so that a
// scenario can part any two processes from each other.
package cut

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Mode is what the relay does with bytes.
type Mode string

// The modes of a relay.
const (
	// ModeOpen relays bytes in both directions.
	ModeOpen Mode = "open"
	// ModeCut closes all connections, and each new one at once.
	ModeCut Mode = "cut"
	// ModeStall keeps connections and takes new ones, but relays no byte.
	// Bytes that wait are relayed when the mode is open again.
	ModeStall Mode = "stall"
)

// bufferBytes is the size of the buffer of one direction of a connection.
const bufferBytes = 32 << 10

// Relay relays connections of a listener to one address.
type Relay struct {
	to string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
	// changed is closed by the next change of the mode.
	changed chan struct{}
	closed  bool
}

// New returns an open Relay to the address.
func New(to string) *Relay {
	return &Relay{to: to, mode: ModeOpen, conns: map[net.Conn]struct{}{}, changed: make(chan struct{})}
}

// Mode returns the mode in force.
func (r *Relay) Mode() Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// SetMode puts the mode in force for all connections.
func (r *Relay) SetMode(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	if mode == ModeCut {
		r.closeAll()
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close closes all connections. The relay cannot be used again.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.closeAll()
	close(r.changed)
	r.changed = make(chan struct{})
}

// closeAll closes the connections. The caller holds mu.
func (r *Relay) closeAll() {
	for conn := range r.conns {
		conn.Close()
	}
}

// Serve relays the listener's connections until it is closed, and returns
// when all of them have ended.
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

// relay joins a connection to a new one to the relay's address.
func (r *Relay) relay(from net.Conn) {
	defer from.Close()
	if !r.track(from) {
		return
	}
	defer r.untrack(from)
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer to.Close()
	if !r.track(to) {
		return
	}
	defer r.untrack(to)
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(to, from) })
	directions.Go(func() { r.copy(from, to) })
	directions.Wait()
}

// track notes a connection, and reports whether the link takes it.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.mode == ModeCut {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// copy relays one direction until it ends, and then ends it at dst.
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
			closeWrite(dst, err)
			return
		}
	}
}

// closeWrite passes on the end of a direction: an orderly end as such, any
// other by closing the connection.
func closeWrite(dst net.Conn, cause error) {
	if tcp, ok := dst.(*net.TCPConn); ok && errors.Is(cause, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	dst.Close()
}

func (r *Relay) waitWhileStalled() {
	for {
		r.mu.Lock()
		stalled, changed := r.mode == ModeStall && !r.closed, r.changed
		r.mu.Unlock()
		if !stalled {
			return
		}
		<-changed
	}
}
