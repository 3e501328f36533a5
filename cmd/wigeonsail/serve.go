package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/logging"
	"github.com/wigeonsail/wigeonsail/internal/server"
	"github.com/wigeonsail/wigeonsail/internal/settings"
)

type serveCmd struct {
	Config string `short:"c" required:"" placeholder:"FILE" help:"Settings of the host (host.toml)."`
}

// Run serves until SIGINT, SIGTERM or a request to leave, then shuts down
// gracefully. A second signal does not abort requests in progress.
func (c serveCmd) Run() error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return &usageError{cause: err}
	}
	if err := logging.Setup(os.Stderr, s.Log); err != nil {
		return &usageError{cause: err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	srv, err := server.New(s, log.Log)
	if err != nil {
		return &usageError{cause: err}
	}
	srv.Start()
	select {
	case <-ctx.Done():
	case <-srv.LeaveRequested():
	}
	return srv.Shutdown(context.Background())
}
