package platform

import (
	"net/http"

	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/adapter/weighthttp/wire"
	"github.com/wigeonsail/wigeonsail/internal/clock"
)

// The paths of the stand-in's own switches.
const (
	// FaultsPath shows and, by POST, changes the faults.
	FaultsPath = "/admin/faults"
	// StatsPath shows the counts of the platform's work.
	StatsPath = "/admin/stats"
	// HostsPath is followed by the name of a host or endpoint; PUT writes its
	// entry as an operator would.
	HostsPath = "/admin/hosts/"
)

// Server serves the platform's services.
type Server struct {
	opts    Options
	streams *streams
	hosts   *hosts
	faults  *faults
	appends *rate.Limiter
	stats   *rate.Limiter
	mux     *http.ServeMux
}

// New returns a Server with an empty log and host list.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:    opts,
		streams: newStreams(opts),
		hosts:   newHosts(opts.ListExpiry),
		faults:  newFaults(opts.ListLag),
		appends: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.AppendBurst),
		stats:   rate.NewLimiter(rate.Limit(opts.StatsPerSecond), opts.StatBurst),
		mux:     http.NewServeMux(),
	}
	s.route()
	return s
}

func (s *Server) route() {
	s.service("POST /v1/log-append", s.appendRecords)
	s.service("GET /v1/log-read", s.readRecords)
	s.service("GET /v1/log-newest", s.listNewest)
	s.service("GET "+wire.WeightsPath+"{name...}", s.statWeights)
	s.mux.HandleFunc("GET "+FaultsPath, s.showFaults)
	s.mux.HandleFunc("POST "+FaultsPath, s.changeFaults)
	s.mux.HandleFunc("GET "+StatsPath, s.showStats)
	s.mux.HandleFunc("PUT "+HostsPath+"{name}", s.putHost)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// service serves a call under the faults that are switched on.
func (s *Server) service(pattern string, handle http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if s.passFaults(w, r) {
			handle(w, r)
		}
	})
}

// passFaults delays or refuses the call, and reports whether it goes on.
func (s *Server) passFaults(w http.ResponseWriter, r *http.Request) bool {
	state, _ := s.faults.snapshot()
	if delay := state.Slow.Std(); delay > 0 && !clock.Sleep(r.Context(), delay) {
		return false
	}
	return s.isServed(w, r)
}

// isServed cuts or refuses the call, or reports that it goes on.
func (s *Server) isServed(w http.ResponseWriter, r *http.Request) bool {
	state, _ := s.faults.snapshot()
	if state.cuts(r.Header.Get(wire.HostHeader)) {
		closeConnection()
	}
	if !state.Outage {
		return true
	}
	refuse(w, http.StatusServiceUnavailable, wire.ErrorResponse{
		Code: wire.CodeUnavailable, Message: "the platform is out of order", NotApplied: true,
	})
	return false
}

// closeConnection ends the handler and closes the connection without an
// answer.
func closeConnection() { panic(http.ErrAbortHandler) }
