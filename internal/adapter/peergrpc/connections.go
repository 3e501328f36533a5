package peergrpc

import (
	"sync"
	"time"

	"google.golang.org/grpc"
)

// connection is a cached connection to one address.
type connection struct {
	conn *grpc.ClientConn
	// calls is the number of calls in progress.
	calls int
	// lastUsed is the end time of the last call.
	lastUsed time.Time
}

// connections caches one connection per address and closes those that have been
// unused for idleTime.
type connections struct {
	dial     func(address string) (*grpc.ClientConn, error)
	idleTime time.Duration

	mu        sync.Mutex
	byAddress map[string]*connection
	lastSweep time.Time
}

func newConnections(idleTime time.Duration, dial func(string) (*grpc.ClientConn, error)) *connections {
	return &connections{
		dial:      dial,
		idleTime:  idleTime,
		byAddress: map[string]*connection{},
		lastSweep: time.Now(),
	}
}

// get returns the connection to an address and opens it if needed. The caller must
// call release when its call has ended.
func (c *connections) get(address string) (conn *grpc.ClientConn, release func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(time.Now())
	entry, ok := c.byAddress[address]
	if !ok {
		conn, err := c.dial(address)
		if err != nil {
			return nil, nil, err
		}
		entry = &connection{conn: conn}
		c.byAddress[address] = entry
	}
	entry.calls++
	return entry.conn, func() { c.release(entry) }, nil
}

func (c *connections) release(entry *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.calls--
	entry.lastUsed = time.Now()
	if entry.calls == 0 {
		time.AfterFunc(c.idleTime, c.closeIdle)
	}
}

// closeUnused closes the connection to an address unless calls are in progress.
func (c *connections) closeUnused(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry := c.byAddress[address]; entry != nil && entry.calls == 0 {
		_ = entry.conn.Close()
		delete(c.byAddress, address)
	}
}

// closeIdle closes the connections that have been idle for idleTime.
func (c *connections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSweep = time.Time{}
	c.sweep(time.Now())
}

// sweep closes idle connections, at most twice per idleTime. The caller must hold
// mu.
func (c *connections) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < c.idleTime/2 {
		return
	}
	c.lastSweep = now
	for address, entry := range c.byAddress {
		if entry.calls == 0 && now.Sub(entry.lastUsed) >= c.idleTime {
			_ = entry.conn.Close()
			delete(c.byAddress, address)
		}
	}
}

// close closes all connections and aborts their calls.
func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, entry := range c.byAddress {
		_ = entry.conn.Close()
		delete(c.byAddress, address)
	}
}
