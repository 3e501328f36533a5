// Package rawtest serves raw HTTP/1.1 responses to tests, such as ones that stop early.
package rawtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Serve answers one request on each connection with the text that respond returns, and closes
// the connection. It returns the address.
func Serve(t testing.TB, respond func(*http.Request) string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn, respond)
		}
	}()
	return listener.Addr().String()
}

// answer answers one request.
func answer(conn net.Conn, respond func(*http.Request) string) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	// A client that has given up does not read the response.
	_, _ = io.WriteString(conn, respond(req))
}
