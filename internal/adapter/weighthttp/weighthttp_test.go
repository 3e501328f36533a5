package weighthttp

import (
	"errors"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 2 * time.Second

// start runs a stand-in of the platform and returns a Store for host h1.
func start(t *testing.T, opts platform.Options) *Store {
	t.Helper()
	server := httptest.NewServer(platform.New(opts))
	s := New(Options{URL: server.URL, Host: "h1", Timeout: testTimeout})
	t.Cleanup(func() {
		s.Close()
		server.Close()
	})
	return s
}

func TestStatReturnsSize(t *testing.T) {
	s := start(t, platform.Options{Weights: map[string]int64{"org/m": 9}})
	size, err := s.Stat(t.Context(), "org/m")
	must.NoError(t, err)
	must.Eq(t, 9, size)
}

func TestRateLimitErrorHasRetryAfter(t *testing.T) {
	s := start(t, platform.Options{WeightCallsPerSecond: 0.5, WeightCallBurst: 1})
	_, err := s.Stat(t.Context(), "m")
	must.NoError(t, err)
	_, err = s.Stat(t.Context(), "m")
	var platformErr *port.PlatformError
	must.True(t, errors.As(err, &platformErr))
	must.Eq(t, model.OutcomeNotRun, platformErr.Outcome)
	must.Between(t, time.Second, platformErr.RetryAfter, 2*time.Second)
}

func TestUnreachableStoreIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	s := New(Options{URL: "http://" + listener.Addr().String(), Host: "h1", Timeout: testTimeout})
	_, err = s.Stat(t.Context(), "m")
	var platformErr *port.PlatformError
	must.True(t, errors.As(err, &platformErr))
	must.Eq(t, model.OutcomeNotRun, platformErr.Outcome)
}
