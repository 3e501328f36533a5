package main

import "errors"

// loadCmd drives traffic and reports what became of it.
type loadCmd struct {
	Virtual bool `help:"Compare policies on a virtual clock, without processes."`
	JSON    bool `help:"Print JSON on stdout." name:"json"`

	virtualFlags
}

// Run chooses the way of driving.
func (c *loadCmd) Run() error {
	if c.Virtual {
		return c.runVirtual(c.JSON)
	}
	return &usageError{cause: errors.New("load: give --virtual")}
}
