package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/gateway"
)

// hostsPeersCmd shows what gateways know of the other hosts.
type hostsPeersCmd struct {
	Metrics []string `required:"" placeholder:"URL" help:"Metrics address of a gateway, for example http://127.0.0.1:9464. Repeat it for several."`
	JSON    bool     `help:"Print JSON."`
}

// peersTimeout bounds a call to a host.
const peersTimeout = 5 * time.Second

// Run prints the view of each gateway. It fails if one did not respond.
func (c hostsPeersCmd) Run() error {
	for _, url := range c.Metrics {
		status, err := fetchPeers(context.Background(), url)
		if err != nil {
			return fmt.Errorf("%s: %w", url, err)
		}
		if c.JSON {
			err = printJSON(status)
		} else {
			err = printPeers(status)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// fetchPeers fetches the view of a gateway.
func fetchPeers(ctx context.Context, url string) (gateway.PeerStatus, error) {
	var status gateway.PeerStatus
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	res, err := callGateway(ctx, http.MethodGet, url, "/peers")
	if err != nil {
		return status, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return status, fmt.Errorf("status %s", res.Status)
	}
	return status, json.NewDecoder(res.Body).Decode(&status)
}

// callGateway calls a path on the metrics address of a gateway.
func callGateway(ctx context.Context, method, url, path string) (*http.Response, error) {
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(url, "/")+path, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}

// printPeers prints the view of a gateway as text.
func printPeers(s gateway.PeerStatus) error {
	fmt.Printf("%s in %s: build %s, relay %s, reads the lists %s, list of era %d read %.1f s ago, configuration %d, %d hosts in the fleet\n",
		s.Host, s.Domain, s.Build, yesNo(s.Relay), yesNo(s.Reading), s.Era, s.ListAge, s.Version, s.FleetHosts)
	fmt.Printf("relays of the domain: %s; totals go to: %s\n", listText(s.LocalRelays), listText(s.Receivers))
	rows := [][]string{{"DOMAIN", "HOST", "PEER ADDRESS", "LINKED", "LIVE", "HEARD", "AGE", "VERSION", "BUILD"}}
	for _, p := range s.Peers {
		rows = append(rows, []string{
			string(p.Domain), string(p.Host), p.Address, yesNo(p.Linked), yesNo(p.Live), p.Path, fmt.Sprintf("%.1f s", p.Age), fmt.Sprint(p.Version), buildText(p.Build),
		})
	}
	return printTable(rows)
}

// buildText returns the build that a host has stated.
func buildText(b *model.Build) string {
	if b == nil {
		return model.Build{}.String()
	}
	return b.String()
}

// listText returns the items separated by commas, or "none".
func listText(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}
