package server

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonsail/wigeonsail/platform"
)

// cutMode is what happens to the connections from a host without paths to endpoints.
type cutMode int

const (
	// cutResets resets connections when they are used and refuses new ones, cutHangs lets
	// both hang, and cutRefuses refuses new ones only.
	cutResets cutMode = iota
	cutHangs
	cutRefuses
)

// pathCut cuts the connections of a host to endpoints.
type pathCut struct {
	mode cutMode
	// began is closed when the cut begins, healed when it ends.
	began, healed chan struct{}
}

func newPathCut(mode cutMode) *pathCut {
	return &pathCut{mode: mode, began: make(chan struct{}), healed: make(chan struct{})}
}

func (c *pathCut) begin() { close(c.began) }
func (c *pathCut) heal()  { close(c.healed) }

// isActive reports whether the host has no paths.
func (c *pathCut) isActive() bool {
	select {
	case <-c.healed:
		return false
	default:
	}
	select {
	case <-c.began:
		return true
	default:
		return false
	}
}

// wrap makes a dialer subject to the cut.
func (c *pathCut) wrap(dial platform.DialFunc) platform.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if c.isActive() {
			if c.mode != cutHangs {
				return nil, syscall.ECONNREFUSED
			}
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-c.healed:
			}
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cutConnection{TCPConn: conn.(*net.TCPConn), cut: c, ended: make(chan struct{})}, nil
	}
}

// cutConnection is a connection that is subject to a cut.
type cutConnection struct {
	*net.TCPConn
	cut  *pathCut
	once sync.Once
	// ended is closed when the connection is closed or its deadline is set.
	ended chan struct{}
}

// Read implements net.Conn.
func (c *cutConnection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if !c.cut.isActive() {
		return n, err
	}
	switch c.cut.mode {
	case cutResets:
		return 0, syscall.ECONNRESET
	case cutHangs:
		select {
		case <-c.ended:
			return 0, os.ErrDeadlineExceeded
		case <-c.cut.healed:
		}
	}
	return n, err
}

// Write implements net.Conn. What is written while paths hang is lost.
func (c *cutConnection) Write(p []byte) (int, error) {
	if c.cut.isActive() && c.cut.mode == cutHangs {
		return len(p), nil
	}
	if c.cut.isActive() && c.cut.mode == cutResets {
		// The request leaves the host, and the endpoint's network resets the connection.
		_ = c.TCPConn.Close()
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn.
func (c *cutConnection) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.TCPConn.Close()
}

// SetDeadline implements net.Conn. A deadline in the past ends reads.
func (c *cutConnection) SetDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		c.once.Do(func() { close(c.ended) })
	}
	return c.TCPConn.SetDeadline(t)
}
