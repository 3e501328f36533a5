package main

import "fmt"

// version is the release; releases set it by the linker.
var version = "0.1.0-dev"

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("wigeonsail", version)
	return nil
}
