package opconfig_test

import (
	"errors"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

func TestExamplesValidateAndRoundTrip(t *testing.T) {
	for _, name := range []string{"silbato", "brittany"} {
		text, err := os.ReadFile("examples/" + name + "/config.toml")
		must.NoError(t, err)
		cfg, err := opconfig.Parse(text)
		must.NoError(t, err)
		must.NoError(t, cfg.Validate())
		again, err := opconfig.Marshal(cfg)
		must.NoError(t, err)
		must.Eq(t, string(text), string(again))
	}
}

func TestValidateRejectsEachInvalidField(t *testing.T) {
	cases := map[string]func(*opconfig.Config){
		"schema":                         func(c *opconfig.Config) { c.Schema = 2 },
		`class "orders": first_token`:    func(c *opconfig.Config) { c.Classes[0].FirstToken = 0 },
		`class "orders": deadline`:       func(c *opconfig.Config) { c.Classes[0].Deadline = 1 },
		`class "orders": tier`:           func(c *opconfig.Config) { c.Classes[0].Tier = 16 },
		`class "orders": objective`:      func(c *opconfig.Config) { c.Classes[0].Objective = 1 },
		`class "orders": preemptible`:    func(c *opconfig.Config) { c.Classes[0].Preemptible = true },
		`class "orders": max_queued`:     func(c *opconfig.Config) { c.Classes[0].MaxQueued = 0 },
		`class "schedules": name`:        func(c *opconfig.Config) { c.Classes[0].Name = "schedules" },
		`account "office-breton": share`: func(c *opconfig.Config) { c.Accounts[0].Share = 0 },
		`account "technicians": key_hashes`: func(c *opconfig.Config) {
			c.Accounts[1].KeyHashes = c.Accounts[0].KeyHashes
		},
		`pool "advice": models`:              func(c *opconfig.Config) { c.Pools[0].Models = nil },
		`pool "counters": kind`:              func(c *opconfig.Config) { c.Pools[1].Kind = "counter" },
		`endpoint "advice-brest-1": address`: func(c *opconfig.Config) { c.Endpoints[0].Address = "10.0.0.1" },
		`endpoint "advice-brest-1": domain`:  func(c *opconfig.Config) { c.Endpoints[0].Domain = "" },
		`endpoint "advice-brest-1": room`:    func(c *opconfig.Config) { c.Endpoints[0].Room = 0 },
		`route "services": path`:             func(c *opconfig.Config) { c.Routes[0].Path = "services" },
		`route "/services/orders/": pool`:    func(c *opconfig.Config) { c.Routes[0].Pool = "counter" },
	}
	text, err := os.ReadFile("examples/brittany/config.toml")
	must.NoError(t, err)
	for field, breakIt := range cases {
		cfg, err := opconfig.Parse(text)
		must.NoError(t, err)
		breakIt(cfg)
		var invalid *opconfig.ValidationError
		must.True(t, errors.As(cfg.Validate(), &invalid), must.Sprint(field))
		must.Eq(t, field, invalid.Fields[0].Field)
	}
}
