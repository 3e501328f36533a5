package main

import (
	"fmt"

	"github.com/wigeonsail/wigeonsail/internal/settings"
)

type checkCmd struct {
	Config  string `short:"c" required:"" placeholder:"FILE" help:"Settings of a host (host.toml)."`
	Gateway bool   `help:"The file holds the settings of a gateway (gateway.toml)."`
}

// Run validates the settings without starting a host.
func (c checkCmd) Run() error {
	if c.Gateway {
		return c.checkGateway()
	}
	s, err := settings.Load(c.Config)
	if err != nil {
		return &usageError{cause: err}
	}
	fmt.Printf("%s: good: host %s in failure domain %s\n", c.Config, s.Host, s.Domain)
	return nil
}

func (c checkCmd) checkGateway() error {
	s, err := settings.LoadGateway(c.Config)
	if err != nil {
		return &usageError{cause: err}
	}
	fmt.Printf("%s: good: host %s in failure domain %s\n", c.Config, s.Host, s.Domain)
	return nil
}
