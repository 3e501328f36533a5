// Package callerhttp serves callers over HTTP: the OpenAI-compatible calls by
// the ogen server, plain services by a net/http handler, and health.
package callerhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/api/callerapi"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Options configures a Server.
type Options struct {
	// Router serves the requests.
	Router port.Router
	// Metrics serves /metrics; nil for none.
	Metrics http.Handler
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxHeader is the largest request header in bytes.
	MaxHeader int
	// HeaderTimeout bounds reading a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds an idle connection.
	IdleTimeout time.Duration
}

// Server is the caller side of a host.
type Server struct {
	http *http.Server
}

// New builds the caller side.
func New(opts Options) (*Server, error) {
	completions := &apiHandler{router: opts.Router}
	api, err := callerapi.NewServer(completions, completions, completions,
		callerapi.WithErrorHandler(writeAPIError),
		callerapi.WithMiddleware(keepRawBody),
		callerapi.WithNotFound(writeNotFound),
		callerapi.WithMethodNotAllowed(writeMethodNotAllowed),
	)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	mux.Handle(servicesPrefix, &serviceHandler{router: opts.Router, maxBody: opts.MaxBody})
	mux.HandleFunc("GET /healthz", writeHealthy)
	mux.Handle("GET /readyz", readyHandler{router: opts.Router})
	if opts.Metrics != nil {
		mux.Handle("GET /metrics", opts.Metrics)
	}
	mux.HandleFunc("/", writeNotFound)
	return &Server{http: &http.Server{
		Handler:           withRequestID(http.MaxBytesHandler(mux, opts.MaxBody)),
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    opts.MaxHeader,
	}}, nil
}

// Handler returns the handler that the server serves.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve takes connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops taking connections and waits until all requests have ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

func writeHealthy(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte("ok\n"))
}

type readyHandler struct{ router port.Router }

// ServeHTTP answers 200 when the host takes requests, else 503.
func (h readyHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !h.router.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte("not ready\n"))
		return
	}
	w.Write([]byte("ready\n"))
}
