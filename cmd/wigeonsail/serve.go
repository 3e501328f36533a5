package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"

	"github.com/wigeonsail/wigeonsail/internal/server"
	"github.com/wigeonsail/wigeonsail/internal/settings"
)

type serveCmd struct {
	Config string `short:"c" required:"" placeholder:"FILE" help:"Settings of the host (host.toml)."`
}

// Run serves until SIGINT or SIGTERM, then leaves gracefully. A second signal
// does not cut requests in progress.
func (c serveCmd) Run() error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return &usageError{cause: err}
	}
	setUpLog(s.Log)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	srv, err := server.New(s, log.Log)
	if err != nil {
		return &usageError{cause: err}
	}
	srv.Start()
	<-ctx.Done()
	return srv.Shutdown(context.Background())
}

// setUpLog sends log lines to stderr, since stdout is for data.
func setUpLog(s settings.Log) {
	log.SetLevelFromString(s.Level)
	if s.Format == "json" {
		log.SetHandler(json.New(os.Stderr))
		return
	}
	log.SetHandler(text.New(os.Stderr))
}
