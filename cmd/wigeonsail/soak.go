package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/soak"
)

// soakCmd runs gateway processes under injected faults.
type soakCmd struct {
	Seed      uint64        `default:"1" help:"Seed of the first run."`
	Runs      int           `default:"1" help:"Number of runs, one after another, with consecutive seeds."`
	Duration  time.Duration `default:"10s" help:"Time during which a run injects faults."`
	Hosts     int           `default:"3" help:"Number of gateway processes."`
	Dir       string        `help:"Directory for settings and logs; a temporary one by default."`
	OldBinary string        `help:"Program of an older build, with which some of the processes begin; they are replaced in turn." type:"existingfile"`
	OldShare  float64       `default:"1" help:"Share of the processes that begin with the older build."`
	Together  int           `name:"old-together" default:"1" help:"Number of processes that are replaced at a time."`
	NoFaults  bool          `help:"Replace processes, but inject no other faults."`
	RollBack  bool          `help:"Go back to the older build in the second half of a run."`
	Quiet     bool          `help:"Do not print a line for each fault."`
}

var errGuaranteeViolated = errors.New("soak: a guarantee was violated")

// Run runs all seeds and prints a JSON line with the report of each. It keeps the
// logs if a guarantee was violated.
func (c soakCmd) Run() error {
	if c.Runs < 1 || c.Hosts < 1 || c.Duration <= 0 {
		return &usageError{cause: errors.New("soak: --runs, --hosts and --duration must be above 0")}
	}
	if c.OldShare <= 0 || c.OldShare > 1 {
		return &usageError{cause: errors.New("soak: --old-share must be above 0 and at most 1")}
	}
	if c.Together < 1 {
		return &usageError{cause: errors.New("soak: --old-together must be above 0")}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir := c.Dir
	if dir == "" {
		made, err := os.MkdirTemp("", "wigeonsail-soak-")
		if err != nil {
			return err
		}
		dir = made
	}
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	broken := false
	for i := range c.Runs {
		report, err := c.runSeed(ctx, binary, dir, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		broken = broken || len(report.Violations) > 0
	}
	if broken {
		return fmt.Errorf("%w; logs are in %s", errGuaranteeViolated, dir)
	}
	if c.Dir == "" {
		return os.RemoveAll(dir)
	}
	return nil
}

// runSeed runs one seed in its own directory and prints the report.
func (c soakCmd) runSeed(ctx context.Context, binary, dir string, seed uint64) (soak.Report, error) {
	opts := soak.DefaultOptions()
	opts.Seed, opts.Duration, opts.Hosts, opts.Binary = seed, c.Duration, c.Hosts, binary
	opts.OldBinary, opts.OldShare, opts.RollBack = c.OldBinary, c.OldShare, c.RollBack
	opts.Together, opts.NoFaults = c.Together, c.NoFaults
	opts.Dir = filepath.Join(dir, strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return soak.Report{}, err
	}
	if !c.Quiet {
		opts.Trace = os.Stderr
	}
	report, err := soak.Run(ctx, opts)
	if err != nil {
		return report, err
	}
	return report, json.NewEncoder(os.Stdout).Encode(report)
}
