package main

import (
	"context"
	"fmt"
)

// hostsCmd holds the commands for hosts.
type hostsCmd struct {
	List  hostsListCmd  `cmd:"" default:"withargs" help:"List the hosts in the failure domains of the queried hosts, and the other domains."`
	Drain hostsDrainCmd `cmd:"" help:"Drain the addressed hosts and stop them."`
	Peers hostsPeersCmd `cmd:"" help:"Show what gateways know of the other hosts: relays, links, ages."`
}

type hostsListCmd struct {
	operatorFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the view of each queried host. It fails if a host did not respond.
func (c hostsListCmd) Run() error {
	answers := c.queryHosts(context.Background())
	if c.JSON {
		return c.printJSON(answers)
	}
	rows := [][]string{{"SEEN BY", "DOMAIN", "HOST", "PEER ADDRESS", "STATE", "HEALTH", "VERSION", "HEARD", "LISTED"}}
	for _, a := range answers {
		if a.hosts == nil {
			continue
		}
		for _, h := range a.hosts.Hosts {
			rows = append(rows, []string{
				a.hosts.Host, h.Domain, h.Name, h.Address, string(h.State), string(h.Health),
				fmt.Sprint(h.Version), spanText(h.HeardS), yesNo(h.Listed),
			})
		}
		for _, d := range a.hosts.Domains {
			rows = append(rows, []string{
				a.hosts.Host, d.Name, "-", "-", domainState(d.Reachable), "-", fmt.Sprint(d.Version), spanText(d.HeardS), "-",
			})
		}
	}
	if err := printTable(rows); err != nil {
		return err
	}
	return unansweredError(answers)
}

// printJSON prints the view of each host that responded.
func (c hostsListCmd) printJSON(answers []hostResponse) error {
	for _, a := range answers {
		if a.hosts == nil {
			continue
		}
		if err := printJSON(a.hosts); err != nil {
			return err
		}
	}
	return unansweredError(answers)
}

// domainState returns the displayed state of a failure domain.
func domainState(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return stateUnreachable
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

type hostsDrainCmd struct {
	operatorFlags
}

// Run requests each addressed host to finish its requests and stop.
func (c hostsDrainCmd) Run() error {
	for _, url := range c.Host {
		client, err := c.client(url)
		if err != nil {
			return err
		}
		if err := client.DrainHost(context.Background()); err != nil {
			return wrapProblem(err)
		}
		fmt.Printf("%s is leaving\n", url)
	}
	return nil
}
