// Package seedtest fixes the seed of randomized tests, so that every run gives
// the same result. Packages that use rapid call it from TestMain.
package seedtest

import (
	"flag"
	"maps"
)

// seed is the rapid seed of all randomized tests.
const seed = "20261204"

// SetFlags parses the flags of the test binary and overrides the flags of
// rapid: the fixed seed, the number of checks per property, and the flags in
// others, by name. It panics if a flag is unknown or its value invalid.
func SetFlags(checks string, others map[string]string) {
	flag.Parse()
	flags := map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"}
	maps.Copy(flags, others)
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
