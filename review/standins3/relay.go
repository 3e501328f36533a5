//go:build review3

package main

import (
	"io"
	"net"
	"sync"
)

// relay passes channels on to a replica. While it is cut, new channels are refused and those that
// are open live on.
type relay struct {
	address, to string
	mu          sync.Mutex
	listener    net.Listener
}

func startRelay(to string) (*relay, error) {
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	r := &relay{address: address, to: to}
	return r, r.heal()
}

// heal accepts channels again.
func (r *relay) heal() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(conn.(*net.TCPConn))
		}
	}()
	return nil
}

// cut refuses new channels.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

func (r *relay) pass(from *net.TCPConn) {
	conn, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	to := conn.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { copyUntilEnd(to, from) })
	both.Go(func() { copyUntilEnd(from, to) })
	both.Wait()
	_ = from.Close()
	_ = to.Close()
}

// copyUntilEnd copies one direction and passes its end or its reset on.
func copyUntilEnd(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		_ = to.SetLinger(0)
		_ = to.Close()
		_ = from.Close()
		return
	}
	_ = to.CloseWrite()
}
