// Package seedtest fixes the seed of randomized tests, so that every run gives
// the same verdict. It is for the TestMain of packages that use rapid.
package seedtest

import (
	"flag"
	"maps"
)

// seed is the one of all randomized tests.
const seed = "20261204"

// Fix parses the flags of a test binary and sets those of rapid: the seed, the
// number of checks of a property, and others by name.
func Fix(checks string, others map[string]string) {
	flag.Parse()
	flags := map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"}
	maps.Copy(flags, others)
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
