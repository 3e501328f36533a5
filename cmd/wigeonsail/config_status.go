package main

import (
	"context"
	"fmt"
	"time"
)

// versionStatus is the version in force on a host or in a failure domain.
type versionStatus struct {
	Domain string `json:"domain"`
	// Host is empty for a domain of which only the digest is known.
	Host    string `json:"host,omitempty"`
	State   string `json:"state"`
	Version uint64 `json:"version"`
	// InForceS is how long the version has been in force, HeardS the time since the
	// last message from the host or domain, both in seconds.
	InForceS float64 `json:"in_force_s,omitempty"`
	HeardS   float64 `json:"heard_s"`
	// Problem is why the queried host stopped following the configuration, if it
	// did.
	Problem string `json:"problem,omitempty"`
	// Log is the state of the platform's log as seen by the queried host.
	Log string `json:"log,omitempty"`
}

// stateUnreachable is the state of domains whose digests are outdated.
const stateUnreachable = "cut off"

// versionStatuses merges the views of the hosts that responded. It lists all hosts
// of their failure domains, and one entry for each other domain, from its digest.
func versionStatuses(answers []hostResponse) []versionStatus {
	var out []versionStatus
	listed := make(map[string]bool)
	for _, a := range answers {
		if a.hosts == nil || listed[a.hosts.Domain] {
			continue
		}
		listed[a.hosts.Domain] = true
		for _, h := range a.hosts.Hosts {
			status := versionStatus{
				Domain: h.Domain, Host: h.Name, State: string(h.State), Version: h.Version,
				InForceS: h.VersionS, HeardS: h.HeardS,
			}
			if h.Health != "live" {
				status.State = string(h.Health)
			}
			if h.Name == a.hosts.Host {
				status.Problem = a.hosts.Config.Problem.Or("")
				status.Log = logText(a.hosts.Config.LogReachable)
			}
			out = append(out, status)
		}
	}
	return append(out, domainStatuses(answers, listed)...)
}

// logText returns the displayed state of the platform's log.
func logText(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "out of reach"
}

// domainStatuses returns one entry, from its digest, for each domain that is not
// in listed. It adds these domains to listed.
func domainStatuses(answers []hostResponse, listed map[string]bool) []versionStatus {
	var out []versionStatus
	for _, a := range answers {
		if a.hosts == nil {
			continue
		}
		for _, d := range a.hosts.Domains {
			if listed[d.Name] {
				continue
			}
			listed[d.Name] = true
			status := versionStatus{Domain: d.Name, State: "reachable", Version: d.Version, HeardS: d.HeardS}
			if !d.Reachable {
				status.State = stateUnreachable
			}
			out = append(out, status)
		}
	}
	return out
}

type configStatusCmd struct {
	operatorFlags
	JSON bool `help:"Print JSON."`
}

// Run prints a row for each host in the failure domains of the queried hosts and
// for each other domain. It fails if a queried host did not respond.
func (c configStatusCmd) Run() error {
	answers := c.queryHosts(context.Background())
	found := versionStatuses(answers)
	if c.JSON {
		if err := printJSON(found); err != nil {
			return err
		}
		return unansweredError(answers)
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
	return unansweredError(answers)
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// spanOrEmpty returns seconds as a time span; empty for 0.
func spanOrEmpty(seconds float64) string {
	if seconds == 0 {
		return ""
	}
	return spanText(seconds)
}

type configWaitCmd struct {
	operatorFlags
	Version uint64        `required:"" help:"Version to wait for; a later one counts as well."`
	Timeout time.Duration `default:"30s" help:"How long to wait."`
}

// waitPollInterval is the time between two queries of the hosts.
const waitPollInterval = 100 * time.Millisecond

// Run waits until every host that is not leaving or gone, and every failure
// domain, even an unreachable one, has the version or a later one.
func (c configWaitCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for {
		answers := c.queryHosts(ctx)
		behind := statusesBehind(versionStatuses(answers), c.Version)
		if len(behind) == 0 && unansweredError(answers) == nil {
			fmt.Printf("version %d is in force everywhere\n", c.Version)
			return nil
		}
		select {
		case <-ctx.Done():
			return &waitError{version: c.Version, behind: behind, cause: unansweredError(answers)}
		case <-ticker.C:
		}
	}
}

// statusesBehind returns the entries with an older version, without hosts that are
// leaving or gone.
func statusesBehind(found []versionStatus, version uint64) []versionStatus {
	var behind []versionStatus
	for _, p := range found {
		if p.Version < version && p.State != "leaving" && p.State != "gone" {
			behind = append(behind, p)
		}
	}
	return behind
}

// waitError lists where a version is not in force.
type waitError struct {
	version uint64
	behind  []versionStatus
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
