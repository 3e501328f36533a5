// Package operatorhttp serves operators over HTTP, on a separate listener. It
// authenticates operators by their tokens and attributes every change to the name
// of an operator.
package operatorhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/internal/settings"
)

// maxBodyBytes bounds the body of a request; configurations are the largest ones.
const maxBodyBytes = 16 << 20

// Options configures a Server.
type Options struct {
	// Operators serves the requests.
	Operators port.OperatorService
	// Tokens are the operators' tokens.
	Tokens []settings.Token
	// Extra are additional handlers by pattern, which require the same tokens.
	Extra map[string]http.Handler
	// HeaderTimeout bounds reading a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds an idle connection.
	IdleTimeout time.Duration
	Log         log.Interface
}

// Server is a host's HTTP server for operators.
type Server struct {
	http *http.Server
}

// New returns a Server. It fails with a *TokenError if the hash of a token is
// invalid.
func New(opts Options) (*Server, error) {
	auth, err := newAuthenticator(opts.Tokens, opts.Log)
	if err != nil {
		return nil, err
	}
	api, err := operatorapi.NewServer(&handler{operators: opts.Operators, log: opts.Log}, auth,
		operatorapi.WithErrorHandler(func(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
			writeProblem(w, problemOf(err))
		}))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/", api)
	for pattern, extra := range opts.Extra {
		mux.Handle(pattern, auth.requireToken(extra))
	}
	return &Server{http: &http.Server{
		Handler:           http.MaxBytesHandler(mux, maxBodyBytes),
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
	}}, nil
}

// Handler returns the handler of all requests.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits until all requests have ended or
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
