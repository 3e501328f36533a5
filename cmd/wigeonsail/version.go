package main

import "fmt"

// version is the version of the program. Release builds set it with the linker
// flag -X.
var version = "0.1.0-dev"

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("wigeonsail", version)
	return nil
}
