package platform

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/adapter/weighthttp/wire"
	"github.com/wigeonsail/wigeonsail/internal/clock"
)

// Paths of the stand-in's admin endpoints, which the real platform doesn't
// have.
const (
	// FaultsPath returns (GET) or changes (POST) the injected faults.
	FaultsPath = "/admin/faults"
	// StatsPath returns the Stats.
	StatsPath = "/admin/stats"
	// HostsPath, followed by the name of a host or endpoint, sets its entry in
	// the host list (PUT), as an operator would.
	HostsPath = "/admin/hosts/"
)

// Server serves the platform's services.
type Server struct {
	opts        Options
	streams     *streams
	hosts       *hosts
	faults      *faults
	appendLimit *rate.Limiter
	weightLimit *rate.Limiter
	mux         *http.ServeMux
}

// New returns a Server with an empty log and an empty host list.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:        opts,
		streams:     newStreams(opts),
		hosts:       newHosts(opts.ListExpiry),
		faults:      newFaults(opts.ListLag),
		appendLimit: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.AppendBurst),
		weightLimit: rate.NewLimiter(rate.Limit(opts.WeightCallsPerSecond), opts.WeightCallBurst),
		mux:         http.NewServeMux(),
	}
	s.route()
	return s
}

func (s *Server) route() {
	s.handleWithFaults("POST /v1/log-append", s.appendRecords)
	s.handleWithFaults("GET /v1/log-read", s.readRecords)
	s.handleWithFaults("GET /v1/log-newest", s.listNewest)
	s.handleWithFaults("GET "+wire.WeightsPath+"{name...}", s.getWeights)
	s.mux.HandleFunc("GET "+FaultsPath, s.getFaults)
	s.mux.HandleFunc("POST "+FaultsPath, s.setFaults)
	s.mux.HandleFunc("GET "+StatsPath, s.getStats)
	s.mux.HandleFunc("PUT "+HostsPath+"{name}", s.putHost)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// handleWithFaults registers a handler of a platform service, to which the
// injected faults apply.
func (s *Server) handleWithFaults(pattern string, handle http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.setEraHeader(w)
		if s.injectFaults(w, r) {
			s.setEraHeader(w)
			handle(w, r)
		}
	})
}

// injectFaults delays the call by the injected delay, if any, and then applies
// checkAvailable. It reports whether to execute the call.
func (s *Server) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	state, _ := s.faults.snapshot()
	if delay := state.Slow.Std(); delay > 0 && !clock.Sleep(r.Context(), delay) {
		return false
	}
	return s.checkAvailable(w, r)
}

// checkAvailable reports whether the platform can serve the call. It closes the
// connection of a partitioned host without a response, and responds with status
// 503 during an outage.
func (s *Server) checkAvailable(w http.ResponseWriter, r *http.Request) bool {
	state, _ := s.faults.snapshot()
	if state.isPartitioned(r.Header.Get(wire.HostHeader)) {
		closeConnection()
	}
	if !state.Outage {
		return true
	}
	writeError(w, http.StatusServiceUnavailable, wire.ErrorResponse{
		Code: wire.CodeUnavailable, Message: "the platform is out of order", NotApplied: true,
	})
	return false
}

// eraHeader holds the era of the log, in all responses.
const eraHeader = "Store-Era"

func (s *Server) setEraHeader(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(s.streams.currentEra(), 10))
}

// closeConnection aborts the handler and closes the connection without a
// response.
func closeConnection() { panic(http.ErrAbortHandler) }
