package main

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/platform"
)

type standinPlatformCmd struct {
	Listen        string           `help:"Address to listen on, as host:port." required:""`
	AppendRate    float64          `help:"Appends a second that the log takes." default:"400"`
	AppendBurst   int              `help:"Appends that may come at once." default:"100"`
	RetainRecords int              `help:"Records that each stream keeps." default:"100000"`
	RetainAge     time.Duration    `help:"How long each stream keeps a record." default:"1h"`
	ListLag       time.Duration    `help:"How late the host list shows changes." default:"1s"`
	ListExpiry    time.Duration    `help:"How long the host list keeps a host that does not renew." default:"15s"`
	WeightRate    float64          `help:"Calls a second that the weight store takes." default:"2"`
	WeightBurst   int              `help:"Weight store calls that may come at once." default:"4"`
	Weights       map[string]int64 `help:"Sizes of models and adapters in bytes, as name=bytes." placeholder:"NAME=BYTES"`
}

// Run serves until interrupted.
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
