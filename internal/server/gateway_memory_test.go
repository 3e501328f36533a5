package server

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

// longBody is large beside the 16 MB of the host.
const longBody = 1 << 20

// rawCaller sends requests on one connection, and reads a response only after it has sent the
// whole request.
type rawCaller struct {
	conn net.Conn
	from *bufio.Reader
}

func (f *fleet) newRawCaller(t *testing.T, g *Gateway) *rawCaller {
	conn, err := net.Dial("tcp", g.Address("callers"))
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, conn.Close()) })
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &rawCaller{conn: conn, from: bufio.NewReader(conn)}
}

// send sends a request with a body, framed by header, and returns the status of the
// response, 0 for none, and its Retry-After.
func (c *rawCaller) send(id, header, body string) (status int, retryAfter string) {
	_, err := fmt.Fprintf(c.conn, "POST /confirm/1 HTTP/1.1\r\nHost: %s\r\nX-Wigeonsail-Attempt-Id: %s\r\nX-Wigeonsail-Key: %s\r\n%s\r\n%s",
		users.Host, id, callerKey, header, body)
	if err != nil {
		return 0, ""
	}
	res, err := http.ReadResponse(c.from, nil)
	if err != nil || res.Body.Close() != nil {
		return 0, ""
	}
	return res.StatusCode, res.Header.Get("Retry-After")
}

// Long bodies that come at once are refused before the host has read them, short ones are
// served meanwhile, and connections whose bodies were refused stay in use.
func TestLongBodiesAreRefusedWithoutMemory(t *testing.T) {
	lengths := map[string]func(body string) (string, string){
		"stated": func(body string) (string, string) { return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body },
		"chunked": func(body string) (string, string) {
			return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	}
	for name, frame := range lengths {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.memoryMB = 16
			f.publish(fleetConfig(1))
			f.startReplica(servicePool, replica.Options{Instance: "i-1", ServiceTime: 500 * time.Millisecond})
			g := f.startReadyHost("h1")
			const calls = 16
			var long, short [calls]int
			var retryAfter [calls]string
			var callers sync.WaitGroup
			for i := range calls {
				caller := f.newRawCaller(t, g)
				callers.Go(func() {
					header, body := frame(strings.Repeat("x", longBody))
					long[i], retryAfter[i] = caller.send(fmt.Sprint("long-", i), header, body)
					short[i], _ = caller.send(fmt.Sprint("short-", i), "Content-Length: 1\r\n", "x")
				})
			}
			callers.Wait()
			served := 0
			for i := range calls {
				if long[i] == http.StatusOK {
					served++
				} else {
					must.Eq(t, http.StatusServiceUnavailable, long[i])
					must.NotEq(t, "", retryAfter[i])
				}
				must.Eq(t, http.StatusOK, short[i])
			}
			must.Between(t, 1, served, calls/2)
			must.Eq(t, calls+served, f.totalRuns())
		})
	}
}

// A caller that asks before it sends its body keeps it.
func TestExpectingCallerIsRefusedWithoutBody(t *testing.T) {
	f := newFleet(t)
	f.memoryMB = 1
	f.publish(fleetConfig(1))
	f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	g := f.startReadyHost("h1")
	status, _ := f.newRawCaller(t, g).send("a", fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", longBody), "")
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Zero(t, f.totalRuns())
}
