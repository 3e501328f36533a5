// Command brittany prints the configuration of a regional feed-ordering office:
// four failure domains, twelve advice-model replicas, four order counters and
// ten client accounts.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

//go:generate sh -c "go run . > config.toml"

// The request classes.
const (
	orders    opconfig.ClassName = "orders"
	schedules opconfig.ClassName = "schedules"
	questions opconfig.ClassName = "questions"
	rations   opconfig.ClassName = "rations"
)

const (
	enginesPerDomain = 3
	engineRoom       = 16
	serviceRoom      = 64
)

func main() {
	cfg := config()
	if err := cfg.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	text, err := opconfig.Marshal(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Stdout.Write(text)
}

func config() *opconfig.Config {
	return &opconfig.Config{
		Schema:    opconfig.SchemaVersion,
		Classes:   classes(),
		Accounts:  accounts(),
		Pools:     pools(),
		Endpoints: endpoints(),
		Routes:    routes(),
	}
}

func classes() []opconfig.Class {
	return []opconfig.Class{
		{
			Name: orders, Tier: 0, Protected: true, Headroom: 0.1,
			FirstToken: seconds(2), Deadline: seconds(30), Objective: 0.999,
			MaxQueued: 500, RetryBudget: 0.1,
		},
		{
			Name: schedules, Tier: 1, Floor: 0.05, Idempotent: true,
			FirstToken: seconds(1), Deadline: seconds(10), Objective: 0.99,
			MaxQueued: 500, RetryBudget: 0.2,
		},
		{
			Name: questions, Tier: 2, Floor: 0.1, Idempotent: true,
			FirstToken: milliseconds(1900), BetweenTokens: milliseconds(33), Deadline: seconds(20), Objective: 0.95,
			MaxQueued: 200, RetryBudget: 0.1,
		},
		{
			Name: rations, Tier: 3, Floor: 0.1, Idempotent: true, Preemptible: true,
			FirstToken: seconds(60), BetweenTokens: milliseconds(100), Deadline: seconds(1200), Objective: 0.9,
			MaxQueued: 50, RetryBudget: 0.05,
		},
	}
}

func accounts() []opconfig.Account {
	cooperatives := []string{
		"coop-armor", "coop-cornouaille", "coop-leon", "coop-penthievre",
		"coop-rennes", "coop-tregor", "coop-vannes",
	}
	out := []opconfig.Account{
		account("office-breton", 8),
		account("technicians", 4),
		account("large-breeders", 6),
	}
	for _, name := range cooperatives {
		out = append(out, account(name, 1))
	}
	return out
}

// account returns an account with the digest of a sample key. A real office uses
// the digest that its key service provides.
func account(name string, share int) opconfig.Account {
	return opconfig.Account{
		Name:         opconfig.AccountName(name),
		KeyHashes:    []string{opconfig.HashKey(name + "-sample-key")},
		Share:        share,
		DefaultClass: questions,
		Limits: []opconfig.Limit{
			{Class: rations, RequestsPerSecond: 2 * float64(share), Burst: 10 * share, TokensInFlight: 50000 * share},
		},
	}
}

func pools() []opconfig.Pool {
	return []opconfig.Pool{
		{Name: "advice", Kind: opconfig.KindEngine, Models: []opconfig.ModelName{"ration-32b"}},
		{Name: "counters", Kind: opconfig.KindService},
	}
}

func endpoints() []opconfig.Endpoint {
	var out []opconfig.Endpoint
	for d, domain := range []opconfig.DomainName{"brest", "quimper", "rennes", "vannes"} {
		for i := range enginesPerDomain {
			out = append(out, opconfig.Endpoint{
				Name:    opconfig.EndpointName(fmt.Sprintf("advice-%s-%d", domain, i+1)),
				Pool:    "advice",
				Domain:  domain,
				Address: fmt.Sprintf("10.30.%d.%d:8000", d+1, i+11),
				Room:    engineRoom,
			})
		}
		out = append(out, opconfig.Endpoint{
			Name:    opconfig.EndpointName("counter-" + string(domain)),
			Pool:    "counters",
			Domain:  domain,
			Address: fmt.Sprintf("10.30.%d.5:8080", d+1),
			Room:    serviceRoom,
		})
	}
	return out
}

func routes() []opconfig.Route {
	return []opconfig.Route{
		{Path: "/services/orders/", Methods: []string{"POST"}, Class: orders, Pool: "counters"},
		{Path: "/services/orders/", Methods: []string{"GET"}, Class: schedules, Pool: "counters"},
		{Path: "/v1/chat/completions", Class: questions},
		{Path: "/v1/completions", Class: rations},
	}
}

func seconds(n int) opconfig.Duration {
	return opconfig.Duration(time.Duration(n) * time.Second)
}

func milliseconds(n int) opconfig.Duration {
	return opconfig.Duration(time.Duration(n) * time.Millisecond)
}
