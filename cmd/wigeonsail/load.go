package main

import "time"

// loadCmd drives traffic and reports what became of it.
type loadCmd struct {
	JSON     bool          `help:"Print JSON on stdout." name:"json"`
	Seed     uint64        `default:"1" help:"Seed of arrivals, sizes and endpoints."`
	Duration time.Duration `default:"10s" help:"Time during which requests arrive."`

	realFlags
}

// Run chooses the way of driving.
func (c *loadCmd) Run() error { return c.runReal(c.Seed, c.Duration, c.JSON) }
