package demo

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

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Sample is the result of one request.
type Sample struct {
	Class   model.ClassName `json:"class"`
	Outcome string          `json:"outcome"`
	// Endpoint is the name of the replica that answered.
	Endpoint string `json:"endpoint"`
	// FirstTokenMS and TotalMS are the times to the first byte and to the end of
	// the answer in milliseconds.
	FirstTokenMS float64 `json:"first_token_ms"`
	TotalMS      float64 `json:"total_ms"`
	// Error is the error text; empty if the request succeeded.
	Error string `json:"error,omitempty"`
}

// sampleTimeout bounds the time of one sample request.
const sampleTimeout = 30 * time.Second

// Once sends one request of each class, each to a different host, and returns
// the results.
func (d *Demo) Once(ctx context.Context) []Sample {
	base := func(n int) string { return "http://" + d.hostInfos[n%len(d.hostInfos)].CallerAddr }
	return []Sample{
		sendSample(ctx, Confirmations, base(0)+AppointmentsPath+"fixtures/12", `{"referee":"R. Santos","fixture":12}`),
		sendSample(ctx, Orders, base(1)+OrdersPath+"place", `{"farm":"Kergoat","tonnes":12}`),
		sendSample(ctx, Questions, base(2)+"/v1/chat/completions", chatBody("who referees fixture 12?", true)),
		sendSample(ctx, Drafts, base(3)+"/v1/chat/completions", chatBody("draft the season roster", false)),
	}
}

func chatBody(text string, stream bool) string {
	content, _ := json.Marshal(text)
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%s}]}`, Model, stream, content)
}

// sendSample sends one request and returns its result. The outcome is unknown
// unless the whole answer was received.
func sendSample(ctx context.Context, class model.ClassName, url, body string) Sample {
	s := Sample{Class: class, Outcome: model.OutcomeUnknown.String()}
	if err := s.send(ctx, url, body); err != nil {
		s.Error = err.Error()
	}
	return s
}

// send sends the request and fills in the result.
func (s *Sample) send(ctx context.Context, url, body string) error {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Wigeonsail-Class", string(s.Class))
	started := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	reader := bufio.NewReader(res.Body)
	if _, err := reader.Peek(1); err != nil {
		return err
	}
	s.FirstTokenMS = milliseconds(time.Since(started))
	data, err := io.ReadAll(reader)
	s.TotalMS = milliseconds(time.Since(started))
	if err != nil {
		return err
	}
	return s.parseResponse(res, data)
}

// parseResponse sets the outcome and the endpoint from a complete answer. It
// returns an error if the status is not 200 or a stream was truncated.
func (s *Sample) parseResponse(res *http.Response, data []byte) error {
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("host answered with HTTP status %d: %s", res.StatusCode, bytes.TrimSpace(data))
	}
	streamed := strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	if streamed && !bytes.HasSuffix(data, []byte("data: [DONE]\n\n")) {
		return fmt.Errorf("stream ended without the [DONE] event")
	}
	first, _, _ := bytes.Cut(bytes.TrimPrefix(data, []byte("data: ")), []byte("\n"))
	var answer struct {
		ID      string `json:"id"`
		Service string `json:"service"`
	}
	if err := json.Unmarshal(first, &answer); err != nil {
		return fmt.Errorf("decoding the answer: %w", err)
	}
	s.Endpoint = answer.ID + answer.Service
	s.Outcome = model.OutcomeRan.String()
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
