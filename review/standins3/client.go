//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client has received.
type answer struct {
	id              string
	sentAt, endedAt time.Time
	// status is 0 if the channel was closed without an answer.
	status int
	signed bool
	body   string
	// whole reports that the answer has its end.
	whole bool
	err   error
	// kept reports that the channel had carried a request before.
	kept bool
	// retryAfter is how long the client is asked to wait.
	retryAfter time.Duration
}

// isServed reports whether the client has received a whole success.
func (a answer) isServed() bool { return a.status == http.StatusOK && a.signed && a.whole }

// client is a caller with one channel, which it keeps open.
type client struct {
	rec     *recorder
	address string
	conn    net.Conn
	in      *bufio.Reader
	kept    bool
}

// call is a request of a client.
type call struct {
	method, path, id, prompt string
	// resumes and lastEvent are set to resume a stream.
	resumes, lastEvent string
	deadline           time.Duration
}

// send sends a request on the client's channel, and opens it if there is none.
func (c *client) send(k call) (a answer) {
	a = answer{id: k.id, sentAt: time.Now(), kept: c.kept}
	defer func() {
		a.endedAt = time.Now()
		c.rec.printf("client: %s answered: status %d, signed %t, whole %t, %d bytes, %v", k.id, a.status, a.signed, a.whole, len(a.body), a.err)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.in, a.kept = conn, bufio.NewReader(conn), false
	}
	// No two requests are alike.
	body := `{"text":"` + k.id + `"}`
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Wigeonsail-Attempt-Id: %s\r\nX-Wigeonsail-Deadline-Ms: %d\r\nX-Wigeonsail-Key: %s\r\n",
		k.method, k.path, routeHost, k.id, k.deadline.Milliseconds(), clientKey)
	if k.prompt != "" {
		fmt.Fprintf(&head, "X-Wigeonsail-Model: m\r\nX-Wigeonsail-Token-Usage: 1460,80\r\nX-Wigeonsail-Prompt-Prefix: %s\r\n", k.prompt)
	}
	if k.resumes != "" {
		fmt.Fprintf(&head, "Resumes: %s\r\nLast-Event-Id: %s\r\n", k.resumes, k.lastEvent)
	}
	if k.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	if k.method == http.MethodPost {
		head.WriteString(body)
	}
	c.rec.printf("client: sends %s %s %s to %s", k.id, k.method, k.path, c.address)
	_ = c.conn.SetDeadline(time.Now().Add(k.deadline + 2*time.Second))
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		a.err = err
		c.close()
		return a
	}
	res, err := http.ReadResponse(c.in, &http.Request{Method: k.method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status = res.StatusCode
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.signed = res.Header.Get("X-Wigeonsail-Response-Signature") == signature(k.id) && res.Header.Get("X-Wigeonsail-Attempt-Id") == k.id
	text, err := io.ReadAll(res.Body)
	a.body, a.err, a.whole = string(text), err, err == nil
	c.kept = true
	if err != nil || res.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.in, c.kept = nil, nil, false
}
