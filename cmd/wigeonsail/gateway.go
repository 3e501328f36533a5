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
	// settingsEvery is the time between looks for changed settings: the platform
	// may change them without a signal.
	settingsEvery = 2 * time.Second
)

// Run serves until SIGINT or SIGTERM, then leaves gracefully. SIGHUP reads the
// settings again.
func (c gatewayCmd) Run() error {
	s, err := settings.LoadGateway(c.Config)
	if err != nil {
		return &usageError{cause: err}
	}
	out := logging.NewAsyncWriter(os.Stdout)
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
	c.serve(g, stop, reload)
	ctx, cancel := context.WithTimeout(context.Background(), s.Shutdown.Grace.Std()-graceMargin)
	defer cancel()
	err = g.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		log.WithError(err).Warn("host: requests in progress were cut at the end of the grace time")
		return nil
	}
	return err
}

// serve waits for the signal to stop. It takes changed settings on a signal, and
// when it finds the file changed.
func (c gatewayCmd) serve(g *server.Gateway, stop, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	seen := c.modified()
	for {
		select {
		case <-stop:
			return
		case <-reload:
			c.reload(g)
		case <-ticker.C:
			if now := c.modified(); !now.IsZero() && !now.Equal(seen) {
				seen = now
				c.reload(g)
			}
		}
	}
}

// modified is when the file of the settings was last written; zero when that
// cannot be told, as while the file is replaced.
func (c gatewayCmd) modified() time.Time {
	info, err := os.Stat(c.Config)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again. The budget of retries, the seeds and the
// level of the log are taken at once, the rest from the next start on.
func (c gatewayCmd) reload(g *server.Gateway) {
	s, err := settings.LoadGateway(c.Config)
	if err != nil {
		log.WithError(err).Error("host: settings not reloaded")
		return
	}
	if err := logging.SetLevel(s.Log.Level); err != nil {
		log.WithError(err).Error("host: settings not reloaded")
		return
	}
	g.Reload(s)
	log.WithField("log_level", s.Log.Level).Info("host: settings reloaded")
}
