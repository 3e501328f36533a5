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
	// Duration is the time during which faults are injected. The checks of the
	// recovery take some seconds more.
	Duration time.Duration
	// Hosts is the number of gateway processes, Services and Engines the
	// numbers of endpoints, and CallersPerHost the number of callers for each
	// host.
	Hosts, Services, Engines, CallersPerHost int
	// Binary is the path of the program whose gateway command is run.
	Binary string
	// OldBinary is the path of the program of an older build, with which a share OldShare of the
	// hosts begins; they are replaced in turn, Together at a time (0 for one). With RollBack
	// they go back to it after that.
	OldBinary string
	OldShare  float64
	Together  int
	RollBack  bool
	// NoFaults injects no faults other than these replacements.
	NoFaults bool
	// Dir is an empty directory for the hosts' settings and logs.
	Dir string
	// Trace receives a line for each fault and violation; nil for no trace.
	Trace io.Writer
}

// DefaultOptions returns the options of a run of the usual size, without Binary
// and Dir.
func DefaultOptions() Options {
	return Options{Seed: 1, Duration: 10 * time.Second, Hosts: 3, Services: 3, Engines: 3, CallersPerHost: 4}
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// Answered counts complete responses with status 200, Refused the refusals
	// that guarantee that the request was not executed, and Failed all others.
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Faults   int `json:"faults"`
	// Violations describes each violation of a guarantee.
	Violations []string `json:"broken"`
}

const (
	// recoveryTime is the time after the last fault within which all routes
	// must be served again. It suffices to detect a paused host, a stalled link
	// and the return of the store.
	recoveryTime = 4 * time.Second
	// checkInterval is the time between checks while faults are injected.
	checkInterval = 500 * time.Millisecond
)

// Run runs the soak with one seed. It returns an error if the environment can't
// be set up or ctx is done early. Violations are listed in the report.
func Run(ctx context.Context, opts Options) (Report, error) {
	env, err := newEnvironment(opts)
	if err != nil {
		return Report{}, err
	}
	defer env.close()
	if err := env.start(ctx); err != nil {
		return Report{}, err
	}
	callers := newCallers(env)
	callers.start(ctx)
	faults := newFaultInjector(env, rand.New(rand.NewPCG(opts.Seed, 1)), rand.New(rand.NewPCG(opts.Seed, 2)), rand.New(rand.NewPCG(opts.Seed, 3)))
	checks := &checker{environment: env, callers: callers, faults: faults}
	checks.runWithFaults(ctx, opts.Duration)
	faults.endAll()
	for end := time.Now().Add(recoveryTime); time.Now().Before(end) && ctx.Err() == nil; {
		faults.restartEnded(time.Now())
		sleep(ctx, checkInterval/10)
	}
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

// trace writes a line to the trace, with the seed and the time since the start.
func (env *environment) trace(format string, args ...any) {
	if env.opts.Trace == nil {
		return
	}
	line := fmt.Sprintf(format, args...)
	// A write error is ignored: the trace is only a reading aid.
	_, _ = fmt.Fprintf(env.opts.Trace, "seed %d %6.3fs %s\n", env.opts.Seed, time.Since(env.startedAt).Seconds(), line)
}
