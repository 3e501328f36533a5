package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// The exit codes of every command.
const (
	exitOK = 0
	// exitFailure means that the command ran and did not succeed.
	exitFailure = 1
	// exitUsage means that the arguments or settings are wrong.
	exitUsage = 2
)

// cli is the command line. Each command lives in a file of its own.
type cli struct {
	Serve      serveCmd      `cmd:"" help:"Run an entry host."`
	Gateway    gatewayCmd    `cmd:"" help:"Run an entry host on the users' platform."`
	Config     configCmd     `cmd:"" help:"Check, publish and follow the configuration."`
	Hosts      hostsCmd      `cmd:"" help:"List hosts, or let them leave."`
	Endpoints  endpointsCmd  `cmd:"" help:"List endpoints, drain them or take them back."`
	Report     reportCmd     `cmd:"" help:"Report on service levels."`
	Handover   handoverCmd   `cmd:"" help:"Tell the next shift what changed, what is in force, what burns and what drains."`
	Load       loadCmd       `cmd:"" help:"Drive traffic and report what became of it."`
	Soak       soakCmd       `cmd:"" help:"Run gateway processes under faults and check what callers get."`
	Demo       demoCmd       `cmd:"" help:"Run a small fleet in one process on embedded stand-ins."`
	Check      checkCmd      `cmd:"" help:"Check the settings of a host without starting it."`
	Completion completionCmd `cmd:"" help:"Print completion for a shell."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
	Standin    standinCmd    `cmd:"" help:"Run a stand-in for what surrounds the hosts; for trials only."`
}

// usageError marks errors that the user mends by other arguments or settings.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }
func (e *usageError) Unwrap() error { return e.cause }

// run parses the arguments, runs the command and returns its exit code.
func run(args []string) int {
	var root cli
	parser, err := kong.New(&root,
		kong.Name("wigeonsail"),
		kong.Description("Routes language-model traffic with service levels and priorities.\n\nExit codes: 0 done, 1 failed, 2 wrong arguments or settings."),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, "wigeonsail:", err)
		return exitFailure
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "wigeonsail:", err)
		return exitUsage
	}
	return exitCode(ctx.Run())
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "wigeonsail:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}
