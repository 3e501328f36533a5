package main

import (
	"fmt"
	"net"

	"github.com/wigeonsail/wigeonsail/internal/standin/cut"
)

type standinCutCmd struct {
	Listen string `help:"Address to relay from, as host:port." required:""`
	To     string `help:"Address to relay to, as host:port." required:""`
	Admin  string `help:"Address of the control API, as host:port." required:""`
}

// Run relays until SIGINT or SIGTERM. It prints the address of the control API.
func (c *standinCutCmd) Run() error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return &usageError{fmt.Errorf("--listen: %w", err)}
	}
	relay := cut.New(c.To)
	served := make(chan error, 1)
	go func() { served <- relay.Serve(listener) }()
	err = serveStandin("cut", c.Admin, relay.AdminHandler())
	listener.Close()
	relay.Close()
	if err != nil {
		return err
	}
	return <-served
}
