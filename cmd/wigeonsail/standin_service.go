package main

import (
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wigeonsail/wigeonsail/internal/standin/service"
)

type standinServiceCmd struct {
	Listen       []string      `required:"" placeholder:"HOST:PORT" help:"Addresses of the replicas; they share one store of effects."`
	Name         string        `default:"service" help:"Name of the service."`
	Delay        time.Duration `default:"5ms" help:"Duration of a call."`
	Deduplicates bool          `help:"Run each idempotency key at most once."`
}

// Run serves all replicas until SIGINT or SIGTERM.
func (c standinServiceCmd) Run() error {
	store := service.NewStore()
	var group errgroup.Group
	for i, address := range c.Listen {
		name := c.Name + "-" + strconv.Itoa(i+1)
		replica := service.New(service.Options{
			Name:         name,
			Delay:        c.Delay,
			Deduplicates: c.Deduplicates,
			Store:        store,
		})
		group.Go(func() error {
			return serveStandin("service "+name, address, replica.Handler())
		})
	}
	return group.Wait()
}
