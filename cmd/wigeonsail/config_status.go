package main

import (
	"context"
	"fmt"
	"time"
)

// configPlace is a host or a failure domain with the version in force there.
type configPlace struct {
	Domain string `json:"domain"`
	// Host is empty for a domain that is known by its digest only.
	Host     string  `json:"host,omitempty"`
	State    string  `json:"state"`
	Version  uint64  `json:"version"`
	InForceS float64 `json:"in_force_s,omitempty"`
	HeardS   float64 `json:"heard_s"`
	Problem  string  `json:"problem,omitempty"`
	// Log is the asked host's view of the platform's log.
	Log string `json:"log,omitempty"`
}

// stateCutOff marks domains whose digests have become old.
const stateCutOff = "cut off"

// places merges the views of the hosts that answered. A failure domain is
// listed by its digest where no host of it was asked.
func places(answers []hostAnswer) []configPlace {
	var out []configPlace
	asked := make(map[string]bool)
	for _, a := range answers {
		if a.hosts == nil || asked[a.hosts.Domain] {
			continue
		}
		asked[a.hosts.Domain] = true
		for _, h := range a.hosts.Hosts {
			place := configPlace{
				Domain: h.Domain, Host: h.Name, State: string(h.State), Version: h.Version,
				InForceS: h.VersionS, HeardS: h.HeardS,
			}
			if h.Health != "live" {
				place.State = string(h.Health)
			}
			if h.Name == a.hosts.Host {
				place.Problem = a.hosts.Config.Problem.Or("")
				place.Log = logText(a.hosts.Config.LogReachable)
			}
			out = append(out, place)
		}
	}
	return append(out, digests(answers, asked)...)
}

func logText(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "out of reach"
}

func digests(answers []hostAnswer, asked map[string]bool) []configPlace {
	var out []configPlace
	for _, a := range answers {
		if a.hosts == nil {
			continue
		}
		for _, d := range a.hosts.Domains {
			if asked[d.Name] {
				continue
			}
			asked[d.Name] = true
			place := configPlace{Domain: d.Name, State: "reachable", Version: d.Version, HeardS: d.HeardS}
			if !d.Reachable {
				place.State = stateCutOff
			}
			out = append(out, place)
		}
	}
	return out
}

type configStatusCmd struct {
	operatorFlags
	JSON bool `help:"Print JSON."`
}

// Run prints a row for each host of the asked hosts' failure domains and for
// each other domain. It fails when an asked host did not answer.
func (c configStatusCmd) Run() error {
	answers := c.askHosts(context.Background())
	found := places(answers)
	if c.JSON {
		if err := printJSON(found); err != nil {
			return err
		}
		return noAnswer(answers)
	}
	rows := [][]string{{"DOMAIN", "HOST", "STATE", "VERSION", "IN FORCE FOR", "HEARD", "LOG", "PROBLEM"}}
	for _, p := range found {
		rows = append(rows, []string{
			p.Domain, orDash(p.Host), p.State, fmt.Sprint(p.Version),
			orDash(spanOrEmpty(p.InForceS)), spanText(p.HeardS), orDash(p.Log), orDash(p.Problem),
		})
	}
	if err := printTable(rows); err != nil {
		return err
	}
	return noAnswer(answers)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func spanOrEmpty(seconds float64) string {
	if seconds == 0 {
		return ""
	}
	return spanText(seconds)
}

type configWaitCmd struct {
	operatorFlags
	Version uint64        `required:"" help:"Version that is to be in force."`
	Timeout time.Duration `default:"30s" help:"How long to wait."`
}

// waitEvery is the time between two looks.
const waitEvery = 100 * time.Millisecond

// Run waits until every host that is not leaving or gone, and every failure
// domain, cut off or not, has the version or a later one.
func (c configWaitCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	ticker := time.NewTicker(waitEvery)
	defer ticker.Stop()
	for {
		answers := c.askHosts(ctx)
		behind := behindOf(places(answers), c.Version)
		if len(behind) == 0 && noAnswer(answers) == nil {
			fmt.Printf("version %d is in force everywhere\n", c.Version)
			return nil
		}
		select {
		case <-ctx.Done():
			return &waitError{version: c.Version, behind: behind, cause: noAnswer(answers)}
		case <-ticker.C:
		}
	}
}

func behindOf(found []configPlace, version uint64) []configPlace {
	var behind []configPlace
	for _, p := range found {
		if p.Version < version && p.State != "leaving" && p.State != "gone" {
			behind = append(behind, p)
		}
	}
	return behind
}

// waitError names where a version is not in force.
type waitError struct {
	version uint64
	behind  []configPlace
	cause   error
}

// Error implements error.
func (e *waitError) Error() string {
	text := fmt.Sprintf("version %d is not in force everywhere", e.version)
	for _, p := range e.behind {
		text += fmt.Sprintf("\n  domain %s host %s: version %d, %s", p.Domain, orDash(p.Host), p.Version, p.State)
	}
	if e.cause != nil {
		text += "\n" + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *waitError) Unwrap() error { return e.cause }
