package callerconn

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// acceptPair returns both ends of a connection.
func acceptPair(t *testing.T, listener net.Listener) (caller net.Conn, accepted *Conn) {
	t.Helper()
	caller, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	conn, err := Listener{listener}.Accept()
	must.NoError(t, err)
	return caller, conn.(*Conn)
}

func TestNothingIsReadFromConnectionsClosedAsIdle(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	for range 5000 {
		conns := New()
		caller, conn := acceptPair(t, listener)
		conns.OnStateChange(conn, http.StateIdle)
		var read int
		var ends sync.WaitGroup
		ends.Go(func() { read, _ = conn.Read(make([]byte, 1)) })
		ends.Go(func() { _, _ = caller.Write([]byte("x")) })
		closed := conns.closeIdle(time.Now())
		ends.Wait()
		must.False(t, closed && read > 0)
		_ = conn.Close()
		_ = caller.Close()
	}
}
