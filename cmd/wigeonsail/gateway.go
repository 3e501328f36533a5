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

	"github.com/wigeonsail/wigeonsail/internal/earlysignal"
	"github.com/wigeonsail/wigeonsail/internal/logging"
	"github.com/wigeonsail/wigeonsail/internal/server"
	"github.com/wigeonsail/wigeonsail/internal/settings"
)

type gatewayCmd struct {
	Config string `short:"c" required:"" placeholder:"FILE" help:"Settings of the host (gateway.toml)."`
}

const (
	// memoryLimitRatio is the memory limit of the Go runtime as a share of the
	// memory in the settings. The rest is for kernel buffers and the program itself.
	memoryLimitRatio = 0.6
	// graceMargin is reserved at the end of the grace time, after which the platform
	// kills the process, to close what is still open.
	graceMargin = 300 * time.Millisecond
	// settingsPollInterval is the time between checks for changed settings, which
	// the platform may change without sending a signal.
	settingsPollInterval = 2 * time.Second
)

// Run serves until SIGINT or SIGTERM, then shuts down gracefully. SIGHUP reloads
// the settings.
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
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Limits.Memory<<20)))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	g, err := server.NewGateway(s, log.Log)
	if err != nil {
		return &usageError{cause: err}
	}
	g.Start()
	c.serve(g, stop, earlysignal.Reload)
	ctx, cancel := context.WithTimeout(context.Background(), s.Shutdown.Grace.Std()-graceMargin)
	defer cancel()
	err = g.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		log.WithError(err).Warn("host: aborted requests in progress at the end of the grace time")
		return nil
	}
	return err
}

// serve waits for the stop signal. It reloads the settings on the reload signal
// and when the file has changed.
func (c gatewayCmd) serve(g *server.Gateway, stop, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	seen := c.modTime()
	for {
		select {
		case <-stop:
			return
		case <-reload:
			c.reload(g)
		case <-ticker.C:
			if now := c.modTime(); !now.IsZero() && !now.Equal(seen) {
				seen = now
				c.reload(g)
			}
		}
	}
}

// modTime returns the modification time of the settings file; zero if it cannot be
// read, for example while the file is being replaced.
func (c gatewayCmd) modTime() time.Time {
	info, err := os.Stat(c.Config)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again. The retry budget, the seeds and the log level
// take effect at once, all others at the next start.
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
