package main

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/platform"
)

type standinPlatformCmd struct {
	Listen        string           `help:"Address to listen on, as host:port." required:""`
	AppendRate    float64          `help:"Appends per second that the log accepts." default:"400"`
	AppendBurst   int              `help:"Appends that the log accepts in a burst." default:"100"`
	RetainRecords int              `help:"Records that each stream retains." default:"100000"`
	RetainAge     time.Duration    `help:"How long each stream retains a record." default:"1h"`
	ListLag       time.Duration    `help:"Delay until the host list shows changes." default:"1s"`
	ListExpiry    time.Duration    `help:"How long the host list keeps an entry that is not renewed." default:"15s"`
	WeightRate    float64          `help:"Calls per second that the weight store accepts." default:"2"`
	WeightBurst   int              `help:"Calls that the weight store accepts in a burst." default:"4"`
	Weights       map[string]int64 `help:"Sizes of models and adapters in bytes, as name=bytes." placeholder:"NAME=BYTES"`
}

// Run serves until SIGINT or SIGTERM.
func (c *standinPlatformCmd) Run() error {
	return serveStandin("platform", c.Listen, platform.New(platform.Options{
		AppendsPerSecond:     c.AppendRate,
		AppendBurst:          c.AppendBurst,
		RetainRecords:        c.RetainRecords,
		RetainAge:            c.RetainAge,
		ListLag:              c.ListLag,
		ListExpiry:           c.ListExpiry,
		WeightCallsPerSecond: c.WeightRate,
		WeightCallBurst:      c.WeightBurst,
		Weights:              c.Weights,
	}))
}
