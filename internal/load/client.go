package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxIdleConns bounds the idle connections that a run keeps to one target.
const maxIdleConns = 4096

// streamBufferBytes is the size of the read buffer of a streamed answer.
const streamBufferBytes = 4 << 10

// Target is a server that requests are sent to.
type Target struct {
	// URL is the base URL without a path, for example "http://127.0.0.1:8080".
	URL string
	// Key is the client account's key.
	Key string
}

// client sends requests and measures the times of their answers.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// StatusError is returned for an answer with a status other than 200.
type StatusError struct {
	Status int
	// Code is the error code in the body; empty if the body has none.
	Code string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("server answered with HTTP status %d %s", e.Status, e.Code)
}

// maxErrorBodyBytes bounds the part of an error body that is read.
const maxErrorBodyBytes = 64 << 10

// readStatusError reads the error code from an answer and returns it as a
// *StatusError.
func readStatusError(res *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
	if err != nil {
		return err
	}
	var problem struct {
		Code string `json:"code"`
	}
	// A body that is not JSON leaves the code empty; the status is kept.
	_ = json.Unmarshal(data, &problem)
	return &StatusError{Status: res.StatusCode, Code: problem.Code}
}

// TruncatedError is returned for a streamed answer that ended without the
// "[DONE]" event.
type TruncatedError struct{ Tokens int }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream ended after %d tokens without the [DONE] event", e.Tokens)
}

// send sends one request, reads its whole answer and records the times of its
// tokens in t. An answer that is not streamed counts as one token.
func (c *client) send(ctx context.Context, target Target, a arrival, t *timings) error {
	req, err := newRequest(ctx, target, a)
	if err != nil {
		return err
	}
	started := time.Now()
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readStatusError(res)
	}
	if a.entry.Kind == KindStream {
		return readStream(res.Body, started, t)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	t.recordFirstToken(time.Since(started))
	return nil
}

func newRequest(ctx context.Context, target Target, a arrival) (*http.Request, error) {
	body := serviceBody(a)
	if a.entry.Kind != KindService {
		body = chatBody(a)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.URL+a.entry.Path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+target.Key)
	if a.entry.Class != "" {
		req.Header.Set("X-Wigeonsail-Class", string(a.entry.Class))
	}
	return req, nil
}

func chatBody(a arrival) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"load %d"}]}`,
		a.entry.Model, a.entry.Kind == KindStream, a.tokens, a.number)
}

func serviceBody(a arrival) string { return fmt.Sprintf(`{"number":%d}`, a.number) }

var (
	eventPrefix = []byte("data: ")
	doneEvent   = []byte("data: [DONE]")
)

// readStream reads a streamed answer up to the "[DONE]" event. It counts each
// other event as one token.
func readStream(body io.Reader, started time.Time, t *timings) error {
	reader := bufio.NewReaderSize(body, streamBufferBytes)
	last := started
	tokens := 0
	for {
		line, err := reader.ReadSlice('\n')
		if err == io.EOF {
			return &TruncatedError{Tokens: tokens}
		}
		if err != nil {
			return err
		}
		switch {
		case bytes.HasPrefix(line, doneEvent):
			return nil
		case !bytes.HasPrefix(line, eventPrefix):
			continue
		}
		now := time.Now()
		if tokens == 0 {
			t.recordFirstToken(now.Sub(started))
		} else {
			t.recordGap(now.Sub(last))
		}
		last = now
		tokens++
	}
}
