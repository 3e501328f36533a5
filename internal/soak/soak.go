package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Duration is the time with faults. What follows takes some seconds more.
	Duration time.Duration
	// Hosts is the number of gateway processes, Services and Engines that of the
	// endpoints, Clients that of callers for each host.
	Hosts, Services, Engines, CallersPerHost int
	// Binary is the program whose gateway is run.
	Binary string
	// Dir is an empty directory for settings and logs.
	Dir string
	// Trace takes a line for each fault; nil for none.
	Trace io.Writer
}

// DefaultOptions is a run of the usual size.
func DefaultOptions() Options {
	return Options{Seed: 1, Duration: 10 * time.Second, Hosts: 3, Services: 3, Engines: 3, CallersPerHost: 4}
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// Answered, Refused and Failed count answers, refusals that promise that
	// nothing ran, and the rest.
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Faults   int `json:"faults"`
	// Broken describes each promise that was broken.
	Violations []string `json:"broken"`
}

const (
	// settle is the time without faults after which all must be served again: a
	// paused host, a silent link and a store that was away are found within it.
	recoveryTime = 4 * time.Second
	// checkEvery is the time between checks while faults come.
	checkInterval = 500 * time.Millisecond
)

// Run plays one seed. It fails when the environment cannot be set up; promises
// that are broken stand in the report.
func Run(ctx context.Context, opts Options) (Report, error) {
	w, err := newEnvironment(opts)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	if err := w.start(ctx); err != nil {
		return Report{}, err
	}
	callers := newCallers(w)
	callers.start(ctx)
	faults := newFaultInjector(w, rand.New(rand.NewPCG(opts.Seed, 1)))
	checks := &checker{env: w, callers: callers, faults: faults}
	checks.runWithFaults(ctx, opts.Duration)
	faults.endAll()
	sleep(ctx, recoveryTime)
	callers.stop()
	checks.checkAll()
	checks.checkRecovery(ctx)
	return checks.report(), ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// trace writes a line on what the soak does.
func (w *environment) trace(format string, args ...any) {
	if w.opts.Trace == nil {
		return
	}
	line := fmt.Sprintf(format, args...)
	// The trace only helps to read a run.
	_, _ = fmt.Fprintf(w.opts.Trace, "seed %d %6.3fs %s\n", w.opts.Seed, time.Since(w.startedAt).Seconds(), line)
}
