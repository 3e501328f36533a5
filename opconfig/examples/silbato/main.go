// Command silbato prints the configuration of a referee office: four failure
// domains, twenty drafting-model replicas, four appointment services and ten
// client accounts.
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
	confirmations opconfig.ClassName = "confirmations"
	assignments   opconfig.ClassName = "assignments"
	questions     opconfig.ClassName = "questions"
	explanations  opconfig.ClassName = "explanations"
	drafts        opconfig.ClassName = "drafts"
)

const (
	enginesPerDomain = 5
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
			Name: confirmations, Tier: 0, Protected: true, Headroom: 0.1,
			FirstToken: seconds(2), Deadline: seconds(30), Objective: 0.999,
			MaxQueued: 500, RetryBudget: 0.1,
		},
		{
			Name: assignments, Tier: 1, Floor: 0.05, Idempotent: true,
			FirstToken: seconds(1), Deadline: seconds(10), Objective: 0.99,
			MaxQueued: 500, RetryBudget: 0.2,
		},
		{
			Name: questions, Tier: 2, Floor: 0.1, Idempotent: true,
			FirstToken: milliseconds(1900), BetweenTokens: milliseconds(33), Deadline: seconds(20), Objective: 0.95,
			MaxQueued: 200, RetryBudget: 0.1,
		},
		{
			Name: explanations, Tier: 3, Floor: 0.1, Idempotent: true,
			FirstToken: seconds(5), BetweenTokens: milliseconds(50), Deadline: seconds(120), Objective: 0.95,
			MaxQueued: 100, RetryBudget: 0.1,
		},
		{
			Name: drafts, Tier: 4, Floor: 0.1, Idempotent: true, Preemptible: true,
			FirstToken: seconds(60), BetweenTokens: milliseconds(100), Deadline: seconds(1800), Objective: 0.9,
			MaxQueued: 50, RetryBudget: 0.1,
		},
	}
}

func accounts() []opconfig.Account {
	clubs := []string{
		"club-aurora", "club-bantay", "club-corona", "club-delta", "club-estrella",
		"club-faro", "club-gavilan", "club-horizonte",
	}
	out := []opconfig.Account{
		account("league-office", 8),
		account("appointers", 8),
	}
	for _, club := range clubs {
		out = append(out, account(club, 1))
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
			{Class: drafts, RequestsPerSecond: 2 * float64(share), Burst: 10 * share, TokensInFlight: 50000 * share},
		},
	}
}

func pools() []opconfig.Pool {
	return []opconfig.Pool{
		{Name: "drafting", Kind: opconfig.KindEngine, Models: []opconfig.ModelName{"roster-70b"}, ChecksFencing: true},
		{Name: "appointments", Kind: opconfig.KindService},
	}
}

func endpoints() []opconfig.Endpoint {
	var out []opconfig.Endpoint
	for d, domain := range []opconfig.DomainName{"north", "south", "east", "west"} {
		for i := range enginesPerDomain {
			out = append(out, opconfig.Endpoint{
				Name:    opconfig.EndpointName(fmt.Sprintf("drafting-%s-%d", domain, i+1)),
				Pool:    "drafting",
				Domain:  domain,
				Address: fmt.Sprintf("10.20.%d.%d:8000", d+1, i+11),
				Room:    engineRoom,
			})
		}
		out = append(out, opconfig.Endpoint{
			Name:    opconfig.EndpointName("appointments-" + string(domain)),
			Pool:    "appointments",
			Domain:  domain,
			Address: fmt.Sprintf("10.20.%d.5:8080", d+1),
			Room:    serviceRoom,
		})
	}
	return out
}

func routes() []opconfig.Route {
	return []opconfig.Route{
		{Path: "/services/appointments/", Methods: []string{"POST"}, Class: confirmations, Pool: "appointments"},
		{Path: "/services/appointments/", Methods: []string{"GET"}, Class: assignments, Pool: "appointments"},
		{Path: "/v1/chat/completions", Class: questions},
		{Path: "/v1/completions", Class: drafts},
	}
}

func seconds(n int) opconfig.Duration {
	return opconfig.Duration(time.Duration(n) * time.Second)
}

func milliseconds(n int) opconfig.Duration {
	return opconfig.Duration(time.Duration(n) * time.Millisecond)
}
