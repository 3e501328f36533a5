package server

import (
	"net"
	"net/http"

	"github.com/wigeonsail/wigeonsail/internal/adapter/operatorhttp"
)

// listenOperators creates the server of the operator API and opens its listener.
func (s *Server) listenOperators() error {
	operators, err := operatorhttp.New(operatorhttp.Options{
		Operators:     s.host,
		Tokens:        s.settings.Operators,
		Extra:         map[string]http.Handler{"GET " + operatorhttp.BurnPath: operatorhttp.BurnHandler(s.host)},
		HeaderTimeout: s.settings.Limits.HeaderTimeout.Std(),
		IdleTimeout:   s.settings.Limits.IdleTimeout.Std(),
		Log:           s.log,
	})
	if err != nil {
		return err
	}
	s.operators = operators
	s.operatorListener, err = net.Listen("tcp", s.settings.Listen.Operators)
	if err != nil {
		return &ListenError{Key: "operators", Cause: err}
	}
	return nil
}

// OperatorAddress returns the address that the host serves operators on, as
// host:port.
func (s *Server) OperatorAddress() string { return s.operatorListener.Addr().String() }
