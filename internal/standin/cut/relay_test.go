package cut

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startRelay starts a relay to an echo server and returns the relay and its
// address.
func startRelay(t *testing.T) (*Relay, string) {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := New(echo.Addr().String())
	served := make(chan error, 1)
	go func() { served <- r.Serve(listener) }()
	t.Cleanup(func() {
		listener.Close()
		r.Close()
		must.NoError(t, <-served)
		echo.Close()
	})
	return r, listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// ping sends one byte and waits up to wait for its echo.
func ping(t *testing.T, conn net.Conn, wait time.Duration) error {
	t.Helper()
	_, _ = conn.Write([]byte("x"))
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestCutClosesExistingAndNewConnections(t *testing.T) {
	r, address := startRelay(t)
	old := dial(t, address)
	must.NoError(t, ping(t, old, time.Second))
	r.SetMode(ModeCut)
	must.Error(t, ping(t, old, time.Second))
	must.Error(t, ping(t, dial(t, address), time.Second))
	r.SetMode(ModeOpen)
	must.NoError(t, ping(t, dial(t, address), time.Second))
}

func TestStallBuffersBytesUntilOpen(t *testing.T) {
	r, address := startRelay(t)
	conn := dial(t, address)
	must.NoError(t, ping(t, conn, time.Second))
	r.SetMode(ModeStall)
	must.ErrorIs(t, ping(t, conn, 100*time.Millisecond), os.ErrDeadlineExceeded)
	r.SetMode(ModeOpen)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := io.ReadFull(conn, make([]byte, 1))
	must.NoError(t, err)
}

func TestHalfClosedConnectionStillRelaysOtherDirection(t *testing.T) {
	_, address := startRelay(t)
	conn := dial(t, address)
	_, err := conn.Write([]byte("whole"))
	must.NoError(t, err)
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.Eq(t, "whole", string(got))
}

func TestAdminSetsValidModesOnly(t *testing.T) {
	r := New("127.0.0.1:1")
	post := func(body string) int {
		w := httptest.NewRecorder()
		r.AdminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, FaultsPath, strings.NewReader(body)))
		return w.Code
	}
	must.Eq(t, http.StatusOK, post(`{"mode":"stall"}`))
	must.Eq(t, ModeStall, r.Mode())
	must.Eq(t, http.StatusBadRequest, post(`{"mode":"broken"}`))
	must.Eq(t, ModeStall, r.Mode())
}
