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

// maxConnections bounds the connections that a run keeps to one target.
const maxConnections = 4096

// streamBufferBytes is the read buffer of a streamed answer.
const streamBufferBytes = 4 << 10

// Target is where requests go.
type Target struct {
	// URL is the root, for example "http://127.0.0.1:8080".
	URL string
	// Key is the client account's key.
	Key string
}

// client sends requests and measures their answers.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxConnections,
		DisableCompression:  true,
	}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// StatusError is an answer other than 200.
type StatusError struct {
	Status int
	// Code is the fixed name of the error; empty where the answer has none.
	Code string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d %s", e.Status, e.Code) }

// maxProblemBytes bounds an error body.
const maxProblemBytes = 64 << 10

// statusError reads the error that a host answered with.
func statusError(res *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxProblemBytes))
	if err != nil {
		return err
	}
	var problem struct {
		Code string `json:"code"`
	}
	// An answer without a code is counted by its status.
	_ = json.Unmarshal(data, &problem)
	return &StatusError{Status: res.StatusCode, Code: problem.Code}
}

// TruncatedError is a streamed answer without its end mark.
type TruncatedError struct{ Tokens int }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream ended after %d tokens without an end mark", e.Tokens)
}

// send sends one request and notes the times of its answer.
func (c *client) send(ctx context.Context, target Target, a arrival, notes *notes) error {
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
		return statusError(res)
	}
	if a.mix.Kind == KindStream {
		return readStream(res.Body, started, notes)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	notes.first(time.Since(started))
	return nil
}

func newRequest(ctx context.Context, target Target, a arrival) (*http.Request, error) {
	body := serviceBody(a)
	if a.mix.Kind != KindService {
		body = chatBody(a)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.URL+a.mix.Path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+target.Key)
	if a.mix.Class != "" {
		req.Header.Set("X-Wigeonsail-Class", string(a.mix.Class))
	}
	return req, nil
}

func chatBody(a arrival) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"load %d"}]}`,
		a.mix.Model, a.mix.Kind == KindStream, a.tokens, a.number)
}

func serviceBody(a arrival) string { return fmt.Sprintf(`{"number":%d}`, a.number) }

var (
	eventPrefix = []byte("data: ")
	endMark     = []byte("data: [DONE]")
)

func readStream(body io.Reader, started time.Time, notes *notes) error {
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
		case bytes.HasPrefix(line, endMark):
			return nil
		case !bytes.HasPrefix(line, eventPrefix):
			continue
		}
		now := time.Now()
		if tokens == 0 {
			notes.first(now.Sub(started))
		} else {
			notes.between(now.Sub(last))
		}
		last = now
		tokens++
	}
}
