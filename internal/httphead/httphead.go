// Package httphead checks the heads of HTTP/1.1 responses against the grammar of the protocol.
// The reader of net/http accepts more: statuses below 100, blanks in the names of fields, and
// framing that HTTP/1.0 does not have.
package httphead

import (
	"bytes"
	"fmt"
	"net/http"
)

// MalformedError is the error of a response whose head breaks the grammar of HTTP/1.1.
type MalformedError struct {
	// Part is the part of the head, Text what stands there.
	Part, Text string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the response has a malformed %s %q", e.Part, e.Text)
}

// maxErrorText is the length up to which an error quotes a head, in bytes.
const maxErrorText = 64

func malformed(part string, text []byte) error {
	return &MalformedError{Part: part, Text: string(text[:min(len(text), maxErrorText)])}
}

// Check returns a *MalformedError if the head of a response that was read by net/http is not one.
func Check(res *http.Response) error {
	if res.ProtoMajor != 1 {
		return &MalformedError{Part: "version", Text: res.Proto}
	}
	return CheckFields(res.StatusCode, res.Header)
}

// CheckFields returns a *MalformedError if a status or header cannot be that of a response.
func CheckFields(status int, header http.Header) error {
	if status < 100 || status > 599 {
		return &MalformedError{Part: "status", Text: fmt.Sprint(status)}
	}
	for name, values := range header {
		if !isToken([]byte(name)) {
			return malformed("field name", []byte(name))
		}
		for _, value := range values {
			if !isFieldValue([]byte(value)) {
				return malformed("field value", []byte(value))
			}
		}
	}
	return nil
}

// CheckRaw returns a *MalformedError if a whole head as received, with the empty line at its
// end, breaks the grammar.
func CheckRaw(head []byte) error {
	line, rest := cutLine(head)
	minor, err := checkStatusLine(line)
	if err != nil {
		return err
	}
	hasLength, hasCoding := false, false
	for {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return malformed("field", line)
		}
		if !isFieldValue(value) {
			return malformed("field value", value)
		}
		hasLength = hasLength || equalFold(name, "Content-Length")
		hasCoding = hasCoding || equalFold(name, "Transfer-Encoding")
	}
	if hasCoding && (hasLength || minor == 0) {
		return &MalformedError{Part: "framing", Text: "Transfer-Encoding"}
	}
	return nil
}

func equalFold(name []byte, want string) bool { return bytes.EqualFold(name, []byte(want)) }

// cutLine returns the first line without its end, and the rest.
func cutLine(head []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(head, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkStatusLine checks a status line and returns the minor version of the protocol.
func checkStatusLine(line []byte) (minor int, err error) {
	const version, status = len("HTTP/1.1"), len("HTTP/1.1 200")
	switch {
	case !bytes.HasPrefix(line, []byte("HTTP/1.")) || len(line) < status || line[version-1] != '0' && line[version-1] != '1' || line[version] != ' ':
		return 0, malformed("status line", line)
	case line[version+1] < '1' || line[version+1] > '5' || !isDigit(line[version+2]) || !isDigit(line[version+3]):
		return 0, malformed("status", line)
	case len(line) > status && line[status] != ' ' || !isFieldValue(line[status:]):
		return 0, malformed("status line", line)
	}
	return int(line[version-1] - '0'), nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isToken reports whether text is a token, as the names of fields are.
func isToken(text []byte) bool {
	for _, b := range text {
		if !isDigit(b) && (b|0x20 < 'a' || b|0x20 > 'z') && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isFieldValue reports whether text has no control bytes but tabs.
func isFieldValue(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// Transport is an http.RoundTripper that fails for responses whose head is none.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(res); err != nil {
		// Without a read to its end, the connection is not reused.
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the base. http.Client calls it.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
