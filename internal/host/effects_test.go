package host

import (
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// TestOutcomeOfRefusalBeforeKeyLookup checks that a host that refuses a try before
// it looks up the key does not report that earlier tries did not run.
func TestOutcomeOfRefusalBeforeKeyLookup(t *testing.T) {
	first := http.Header{port.HeaderFirstTry: {"true"}}
	for _, c := range []struct {
		name string
		call port.CallerRequest
		want model.Outcome
	}{
		{"no key", port.CallerRequest{Method: http.MethodPost}, model.OutcomeNotRun},
		{"key", port.CallerRequest{Method: http.MethodPost, Key: "k"}, model.OutcomeUnknown},
		{"safe method", port.CallerRequest{Method: http.MethodGet, Key: "k"}, model.OutcomeNotRun},
		{"first try", port.CallerRequest{Method: http.MethodPost, Key: "k", Header: first}, model.OutcomeNotRun},
		{"permitted by another host", port.CallerRequest{Method: http.MethodPost, Key: "k", Permitted: true}, model.OutcomeNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := New(Options{})
			var refused *port.RequestError
			must.True(t, errors.As(h.Serve(t.Context(), c.call, nil), &refused))
			must.Eq(t, port.CodeNotReady, refused.Code)
			must.Eq(t, c.want, refused.Outcome)
		})
	}
}
