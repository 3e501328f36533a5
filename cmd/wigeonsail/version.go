package main

import (
	"fmt"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/buildinfo"
)

// version is the version of the program. Release builds set it with the linker
// flag -X.
var version = "0.1.0-dev"

type versionCmd struct{}

// Run prints the version, the commit, and the version of the messages between hosts.
func (versionCmd) Run() error {
	_, err := fmt.Printf("wigeonsail %s, commit %s, protocol %s\n", version, buildinfo.Commit(), peer.Version())
	return err
}
