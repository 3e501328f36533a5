package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of all commands.
const (
	exitOK = 0
	// exitFailure means that the command failed.
	exitFailure = 1
	// exitUsage means that the arguments or settings are invalid.
	exitUsage = 2
)

// cli is the command line.
type cli struct {
	Serve      serveCmd      `cmd:"" help:"Run an entry host with its own HTTP API."`
	Gateway    gatewayCmd    `cmd:"" help:"Run an entry host that routes requests for the users' platform."`
	Config     configCmd     `cmd:"" help:"Check, publish and follow the configuration."`
	Hosts      hostsCmd      `cmd:"" help:"List or drain hosts."`
	Endpoints  endpointsCmd  `cmd:"" help:"List, drain or resume endpoints."`
	Quarantine quarantineCmd `cmd:"" help:"List or lift the quarantine of requests that crash endpoints."`
	Explain    explainCmd    `cmd:"" help:"Explain where a gateway would send a request now, and why, without sending it."`
	Report     reportCmd     `cmd:"" help:"Report on service levels."`
	Handover   handoverCmd   `cmd:"" help:"Summarize a shift: changes, versions in force, service-level burn, and what is draining."`
	Load       loadCmd       `cmd:"" help:"Send load to hosts and report the results."`
	Soak       soakCmd       `cmd:"" help:"Run gateway processes under injected faults and check the responses to callers."`
	Demo       demoCmd       `cmd:"" help:"Run a small fleet in one process on embedded stand-ins."`
	Check      checkCmd      `cmd:"" help:"Check the settings of a host without starting it."`
	Completion completionCmd `cmd:"" help:"Print completion for a shell."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
	Standin    standinCmd    `cmd:"" help:"Run a stand-in for an engine, a service or the platform; for trials only."`
}

// usageError is an error caused by invalid arguments or settings.
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

// exitCode prints the error of a command and returns the exit code for it.
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
