// Package weighthttp is an HTTP client of the platform's weight store. Every call
// has a timeout, and errors state whether the failed call may have taken effect.
package weighthttp

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/adapter/weighthttp/wire"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/httphead"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	defaultTimeout  = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	// maxIdleConns is enough for one host's calls.
	maxIdleConns = 4
)

// Options configures a Store.
type Options struct {
	// URL is the root of the platform's services, for example
	// "http://127.0.0.1:8500".
	URL string
	// Host is the name of this host, which is sent with every call.
	Host model.HostID
	// Timeout bounds one call. Zero means 2 s.
	Timeout time.Duration
}

// Store implements port.WeightStore. It is safe for concurrent use.
type Store struct {
	root    string
	host    model.HostID
	timeout time.Duration
	client  *http.Client
}

var _ port.WeightStore = (*Store)(nil)

// New returns a Store. It opens no connection yet.
func New(opts Options) *Store {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Store{
		root:    strings.TrimRight(opts.URL, "/"),
		host:    opts.Host,
		timeout: opts.Timeout,
		client:  &http.Client{Transport: httphead.Transport{Base: transport}},
	}
}

// Close closes the idle connections.
func (s *Store) Close() { s.client.CloseIdleConnections() }

// Stat implements port.WeightStore. Its error is a *port.PlatformError.
func (s *Store) Stat(ctx context.Context, name model.ModelName) (int64, error) {
	var res wire.WeightResponse
	err := s.get(ctx, call{op: "stat", path: wire.WeightsPath + escapeSegments(string(name)), into: &res})
	return res.Bytes, err
}

// escapeSegments escapes each path segment of a name that contains slashes.
func escapeSegments(name string) string {
	segments := strings.Split(name, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/")
}
