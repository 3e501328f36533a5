package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/gateway"
)

// quarantineCmd shows and ends the quarantine of requests that crash endpoints.
type quarantineCmd struct {
	List quarantineListCmd `cmd:"" help:"List the requests and parts of prompts that a gateway refuses because endpoints crash under them."`
	Lift quarantineLiftCmd `cmd:"" help:"Send a request, or requests with a part of a prompt, to endpoints again, at all hosts."`
}

type quarantineListCmd struct {
	Metrics []string `required:"" placeholder:"URL" help:"Metrics address of a gateway, for example http://127.0.0.1:9464. Repeat it for several."`
	JSON    bool     `help:"Print JSON."`
}

// Run prints the suspects of each gateway. It fails if one did not respond.
func (c quarantineListCmd) Run() error {
	for _, url := range c.Metrics {
		status, err := fetchPeers(context.Background(), url)
		if err != nil {
			return fmt.Errorf("%s: %w", url, err)
		}
		if c.JSON {
			err = printJSON(status.Suspects)
		} else {
			err = printSuspects(status)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// printSuspects prints the suspects of a gateway as text.
func printSuspects(s gateway.PeerStatus) error {
	rows := [][]string{{"HOST", "SUSPECT", "STATE", "CRASHES", "LAST CRASH", "SOURCE"}}
	slices.SortFunc(s.Suspects, func(a, b gateway.SuspectView) int { return cmp.Compare(a.Age, b.Age) })
	for _, v := range s.Suspects {
		state := "suspended"
		if v.Quarantined {
			state = "quarantined"
		}
		rows = append(rows, []string{string(s.Host), v.Suspect.String(), state, fmt.Sprint(v.Crashes), fmt.Sprintf("%.1f s ago", v.Age), v.Source})
	}
	return printTable(rows)
}

type quarantineLiftCmd struct {
	Suspect string `arg:"" help:"The suspect, as the list shows it."`
	Metrics string `required:"" placeholder:"URL" help:"Metrics address of a gateway, for example http://127.0.0.1:9464. It tells the other hosts."`
}

// Run lifts a suspect. It fails if the gateway does not know it.
func (c quarantineLiftCmd) Run() error {
	suspect, err := quarantine.ParseSuspect(c.Suspect)
	if err != nil {
		return &usageError{cause: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), peersTimeout)
	defer cancel()
	res, err := callGateway(ctx, http.MethodDelete, c.Metrics, "/suspects/"+suspect.String())
	if err != nil {
		return err
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNoContent:
		fmt.Println("lifted", suspect)
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("%s: nothing is known of %s", c.Metrics, suspect)
	default:
		return fmt.Errorf("%s: status %s", c.Metrics, res.Status)
	}
}
