package main

import "time"

// loadCmd sends load to hosts, or simulates it, and reports the results.
type loadCmd struct {
	Virtual  bool          `help:"Simulate the load on a virtual clock instead, and compare policies."`
	JSON     bool          `help:"Print JSON on stdout." name:"json"`
	Seed     uint64        `default:"1" help:"Seed of arrivals, sizes and endpoints."`
	Duration time.Duration `default:"10s" help:"Time during which requests arrive."`

	virtualFlags
	realFlags
}

// Run runs a simulation or sends real requests.
func (c *loadCmd) Run() error {
	if c.Virtual {
		return c.runVirtual(c.Seed, c.Duration, c.JSON)
	}
	return c.runReal(c.Seed, c.Duration, c.JSON)
}
