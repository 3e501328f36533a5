package endpointhttp_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/adapter/endpointhttp"
)

// serveRaw serves connections with a function and returns the address.
func serveRaw(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// reply writes a response with a body, and the request's ID if it is not empty.
func reply(conn net.Conn, id, body string) {
	header := ""
	if id != "" {
		header = "X-Request-Id: " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// get sends a request with an ID and returns the body of the response.
func get(client *http.Client, address, id string) (string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return "", err
	}
	req.Header.Set(endpointhttp.HeaderRequestID, id)
	res, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// The endpoint sends the second copy of a response when the next request has arrived
// on the same connection. The next caller must not get it.
func TestLateCopyOfResponseIsNotDelivered(t *testing.T) {
	address := serveRaw(t, func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		last := ""
		for {
			req, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			id := req.Header.Get(endpointhttp.HeaderRequestID)
			if last != "" {
				reply(conn, last, "answer to "+last)
			}
			reply(conn, id, "answer to "+id)
			last = id
		}
	})
	client := &http.Client{Transport: endpointhttp.NewTransport()}
	defer client.CloseIdleConnections()
	for i := range 6 {
		id := fmt.Sprint("r", i)
		body, err := get(client, address, id)
		var mismatch *endpointhttp.MismatchError
		if err != nil {
			must.True(t, errors.As(err, &mismatch), must.Sprint(err))
			continue
		}
		must.Eq(t, "answer to "+id, body)
	}
}

// The connections of an endpoint that returns request IDs are reused. Those of one
// that does not are not, since a late copy could not be recognized.
func TestConnectionsAreReusedOnlyWithRequestIDs(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		connections := make(chan struct{}, 10)
		address := serveRaw(t, func(conn net.Conn) {
			connections <- struct{}{}
			requests := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				id := req.Header.Get(endpointhttp.HeaderRequestID)
				if !echoes {
					id = ""
				}
				reply(conn, id, strings.Repeat("x", 10))
				if req.Close {
					return
				}
			}
		})
		client := &http.Client{Transport: endpointhttp.NewTransport()}
		for i := range 4 {
			_, err := get(client, address, fmt.Sprint(i))
			must.NoError(t, err)
		}
		client.CloseIdleConnections()
		want := 4
		if echoes {
			// The first response shows that the endpoint returns IDs.
			want = 2
		}
		must.Eq(t, want, len(connections))
	}
}

// The endpoint refuses a request, serves another one on the connection, and sends the refusal once
// more when the next attempt of the first request has arrived. That attempt was not refused.
func TestLateCopyOfARefusalIsNoResponseToTheNextAttempt(t *testing.T) {
	var mu sync.Mutex
	attempts := 0
	refusal := "HTTP/1.1 503 Full\r\nX-Request-Id: a\r\nContent-Length: 0\r\n\r\n"
	address := serveRaw(t, func(conn net.Conn) {
		requests, refused := bufio.NewReader(conn), false
		for {
			req, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			id := req.Header.Get(endpointhttp.HeaderRequestID)
			mu.Lock()
			isFirst := id == "a" && attempts == 0
			if id == "a" {
				attempts++
			}
			mu.Unlock()
			switch {
			case isFirst:
				refused = true
				_, _ = io.WriteString(conn, refusal)
			case id == "a" && refused:
				_, _ = io.WriteString(conn, refusal)
			default:
				reply(conn, id, "x")
			}
			if req.Close {
				return
			}
		}
	})
	client := &http.Client{Transport: endpointhttp.NewTransport()}
	defer client.CloseIdleConnections()
	for i, c := range []struct {
		id, attempt string
		status      int
	}{{"first", "1", 200}, {"a", "1", 503}, {"b", "1", 200}, {"a", "2", 200}} {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		must.NoError(t, err)
		req.Header.Set(endpointhttp.HeaderRequestID, c.id)
		req.Header.Set(endpointhttp.HeaderAttempt, c.attempt)
		res, err := client.Do(req)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		must.NoError(t, err)
		must.NoError(t, res.Body.Close())
		must.Eq(t, c.status, res.StatusCode, must.Sprint("request ", i))
	}
}
