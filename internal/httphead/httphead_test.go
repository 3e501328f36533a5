package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

func TestCheckRaw(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		head  string
		valid bool
	}{
		{ok + "\r\n", true},
		{"HTTP/1.1 200\r\n\r\n", true},
		{"HTTP/1.0 503 \r\nA: b\r\n\r\n", true},
		{"HTTP/1.1 200 OK\nA:b\n\n", true},
		{ok + "A: \tb c\xff\r\n\r\n", true},
		{ok + "Transfer-Encoding: chunked\r\n\r\n", true},
		{"HTTP/1.1 000 OK\r\n\r\n", false},
		{"HTTP/1.1 099 OK\r\n\r\n", false},
		{"HTTP/1.1 600 OK\r\n\r\n", false},
		{"HTTP/1.1 2000 OK\r\n\r\n", false},
		{"HTTP/1.1 +20 OK\r\n\r\n", false},
		{"HTTP/1.1  200 OK\r\n\r\n", false},
		{"HTTP/2.0 200 OK\r\n\r\n", false},
		{"HTTP/1.2 200 OK\r\n\r\n", false},
		{"http/1.1 200 OK\r\n\r\n", false},
		{"HTTP/1.1 200 O\x00K\r\n\r\n", false},
		{ok + "A b: c\r\n\r\n", false},
		{ok + "A : c\r\n\r\n", false},
		{ok + " A: c\r\n\r\n", false},
		{ok + "A\x01: c\r\n\r\n", false},
		{ok + "A\tb: c\r\n\r\n", false},
		{ok + ": c\r\n\r\n", false},
		{ok + "A\r\n\r\n", false},
		{ok + "A: b\r\n c\r\n\r\n", false},
		{ok + "A: b\rc\r\n\r\n", false},
		{ok + "A: b\x7f\r\n\r\n", false},
		{ok + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", false},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	} {
		err := CheckRaw([]byte(c.head))
		must.Eq(t, c.valid, err == nil, must.Sprintf("%q: %v", c.head, err))
	}
}

// grammar is a head by RFC 9112, section 2.1, with line ends of section 2.2. coding and length
// find the fields that state the length of the body.
var (
	grammar = regexp.MustCompile(`(?s-m)^HTTP/1\.[01] [1-5][0-9]{2}(?: [\t\x20-\x7e\x{80}-\x{ff}]*)?\r?\n(?:[!#$%&'*+\-.^_\x60|~0-9A-Za-z]+:[\t\x20-\x7e\x{80}-\x{ff}]*\r?\n)*\r?\n$`)
	coding  = regexp.MustCompile(`(?i)\nTransfer-Encoding:`)
	length  = regexp.MustCompile(`(?i)\nContent-Length:`)
	end     = regexp.MustCompile(`\n\r?\n`)
)

// isHead reports whether a text is a head, by the grammar.
func isHead(head []byte) bool {
	// The expressions match characters, so each byte becomes one.
	text := make([]rune, len(head))
	for i, b := range head {
		text[i] = rune(b)
	}
	s := string(text)
	ambiguous := coding.MatchString(s) && (length.MatchString(s) || bytes.HasPrefix(head, []byte("HTTP/1.0")))
	return grammar.MatchString(s) && !ambiguous
}

// The check accepts what the grammar does, and what it accepts net/http reads.
func FuzzCheckRaw(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b", "HTTP/1.1 000 OK", "HTTP/1.1 200 OK\r\nA b: c", "HTTP/1.0 200\nTransfer-Encoding: chunked",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked", "HTTP/1.1 200 OK\r\n\x00: a", "HTTP/1.1 200 OK\r\nA: \xff\x7f",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head := append(bytes.Clone(data), "\r\n\r\n"...)
		head = head[:end.FindIndex(head)[1]]
		err := CheckRaw(head)
		if isHead(head) != (err == nil) {
			t.Fatalf("%q: %v", head, err)
		}
		var failure *MalformedError
		if err != nil && !errors.As(err, &failure) {
			t.Fatalf("%q: %v", head, err)
		}
		if res, readErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil); err == nil && readErr == nil {
			_ = res.Body.Close()
			must.NoError(t, Check(res))
		}
	})
}

// A client of net/http with the transport gets an error for such a response, and no connection is reused.
func TestTransportRejectsMalformedHeads(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			must.NoError(t, err)
			_, _ = conn.Write([]byte(text))
			_ = conn.Close()
		}))
		client := &http.Client{Transport: Transport{Base: &http.Transport{}}}
		res, err := client.Get(server.URL)
		if err == nil {
			_ = res.Body.Close()
		}
		var failure *MalformedError
		must.True(t, errors.As(err, &failure), must.Sprint(err))
		client.CloseIdleConnections()
		server.Close()
	}
}
