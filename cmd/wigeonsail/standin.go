package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
)

// standinCmd holds the commands for stand-ins of engines, services and the
// platform. They are for trials and scenarios, not for production.
type standinCmd struct {
	Engine   standinEngineCmd   `cmd:"" help:"Run a stand-in for a model engine."`
	Service  standinServiceCmd  `cmd:"" help:"Run a stand-in for a plain service."`
	Platform standinPlatformCmd `cmd:"" help:"Run a stand-in for the platform's log, host list and weight store."`
	Users    standinUsersCmd    `cmd:"" help:"Run stand-ins for the store and the endpoints of the users' platform."`
	Cut      standinCutCmd      `cmd:"" help:"Run a TCP relay whose link can be cut or stalled."`
}

// standinShutdownTimeout bounds the wait for requests in progress at shutdown. It
// also bounds the time to read a header.
const standinShutdownTimeout = 2 * time.Second

// serveStandin serves handler on address until SIGINT or SIGTERM. It prints the
// actual address on stdout.
func serveStandin(name, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &usageError{fmt.Errorf("--listen: %w", err)}
	}
	log.Infof("standin: %s listens on %s", name, listener.Addr())
	fmt.Println(listener.Addr())
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: standinShutdownTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.Background(), standinShutdownTimeout)
	defer cancel()
	if err := server.Shutdown(closing); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
