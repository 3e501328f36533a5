// Package earlysignal receives SIGHUP from the start of a gateway's process on.
// Without a receiver the signal ends the process, and the initialization of all
// packages takes some tens of milliseconds. This package imports little, so that it
// is initialized before most others.
package earlysignal

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// Reload receives SIGHUP if the process runs a gateway.
var Reload = make(chan os.Signal, 1)

// gatewayCommand is the name of the command that reloads its settings on SIGHUP.
const gatewayCommand = "gateway"

func init() {
	if slices.Contains(os.Args[1:], gatewayCommand) {
		signal.Notify(Reload, syscall.SIGHUP)
	}
}
