package main

import (
	"context"
	"fmt"
)

// hostsCmd groups the commands for hosts.
type hostsCmd struct {
	List  hostsListCmd  `cmd:"" default:"withargs" help:"List the hosts of the asked hosts' failure domains, and the other domains."`
	Drain hostsDrainCmd `cmd:"" help:"Let the addressed hosts leave."`
}

type hostsListCmd struct {
	operatorFlags
	JSON bool `help:"Print JSON."`
}

// Run prints each asked host's view. It fails when a host did not answer.
func (c hostsListCmd) Run() error {
	answers := c.askHosts(context.Background())
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
	return noAnswer(answers)
}

func (c hostsListCmd) printJSON(answers []hostAnswer) error {
	for _, a := range answers {
		if a.hosts == nil {
			continue
		}
		if err := printJSON(a.hosts); err != nil {
			return err
		}
	}
	return noAnswer(answers)
}

func domainState(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return stateCutOff
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

// Run tells each addressed host to finish its requests and stop.
func (c hostsDrainCmd) Run() error {
	for _, url := range c.Host {
		client, err := c.client(url)
		if err != nil {
			return err
		}
		if err := client.DrainHost(context.Background()); err != nil {
			return explain(err)
		}
		fmt.Printf("%s is leaving\n", url)
	}
	return nil
}
