package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/logging"
	"github.com/wigeonsail/wigeonsail/internal/server"
	"github.com/wigeonsail/wigeonsail/internal/settings"
)

type gatewayCmd struct {
	Config string `short:"c" required:"" placeholder:"FILE" help:"Settings of the host (gateway.toml)."`
}

const (
	// memoryPart is the part of the machine's memory that the Go runtime aims to
	// stay below; the rest is for the kernel's buffers and the program itself.
	memoryPart = 0.6
	// graceMargin is the time before the platform kills a leaving host in which
	// it closes what is left.
	graceMargin = 300 * time.Millisecond
)

// Run serves until SIGINT or SIGTERM, then leaves gracefully. SIGHUP reads the
// settings again.
func (c gatewayCmd) Run() error {
	s, err := settings.LoadGateway(c.Config)
	if err != nil {
		return &usageError{cause: err}
	}
	out := logging.NewAsync(os.Stdout)
	defer out.Close()
	if err := logging.Setup(out, s.Log); err != nil {
		return &usageError{cause: err}
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(s.Limits.Memory<<20)))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	g, err := server.NewGateway(s, log.Log)
	if err != nil {
		return &usageError{cause: err}
	}
	g.Start()
	for waiting := true; waiting; {
		select {
		case <-stop:
			waiting = false
		case <-reload:
			c.reload()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Shutdown.Grace.Std()-graceMargin)
	defer cancel()
	err = g.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		log.WithError(err).Warn("host: requests in progress were cut at the end of the grace time")
		return nil
	}
	return err
}

// reload checks the settings again. What changed is used from the next start
// on, apart from the level of the log.
func (c gatewayCmd) reload() {
	s, err := settings.LoadGateway(c.Config)
	if err != nil {
		log.WithError(err).Error("host: settings not reloaded")
		return
	}
	level, err := log.ParseLevel(s.Log.Level)
	if err != nil {
		log.WithError(err).Error("host: settings not reloaded")
		return
	}
	log.SetLevel(level)
	log.WithField("log_level", s.Log.Level).Info("host: settings reloaded")
}
