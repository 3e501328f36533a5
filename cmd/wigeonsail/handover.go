package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/report"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// errHandoverIncomplete is returned for a hand-over with missing parts.
var errHandoverIncomplete = errors.New("some parts of the hand-over are missing; see the lines above")

type handoverCmd struct {
	operatorFlags
	Hours float64 `default:"8" help:"Length of the shift in hours, up to 24."`
	JSON  bool    `help:"Print JSON."`
}

// Run prints the hand-over. It fails after printing if parts are missing.
func (c handoverCmd) Run() error {
	shift := time.Duration(c.Hours * float64(time.Hour))
	if shift <= 0 || shift > burn.Retention {
		return &usageError{cause: fmt.Errorf("hours %v is not over 0 and up to %v", c.Hours, burn.Retention.Hours())}
	}
	h := c.collect(context.Background(), shift)
	write := h.WriteText
	if c.JSON {
		write = h.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if len(h.Problems) > 0 || len(h.Burn.Missing) > 0 {
		return errHandoverIncomplete
	}
	return nil
}

// collect fetches all parts of the hand-over. A part that cannot be fetched is
// listed as a problem and does not affect the others.
func (c handoverCmd) collect(ctx context.Context, shift time.Duration) *report.Handover {
	now := time.Now()
	h := &report.Handover{Since: now.Add(-shift), At: now}
	c.addChanges(ctx, h)
	c.addVersions(ctx, h)
	c.addEndpoints(ctx, h)
	b, err := c.gatherBurn(ctx, shift)
	addProblem(h, "service levels", err)
	h.Burn = b
	return h
}

// addProblem adds an error to the problems of the hand-over; nil is ignored.
func addProblem(h *report.Handover, part string, err error) {
	if err != nil {
		h.Problems = append(h.Problems, fmt.Sprintf("%s: %v", part, err))
	}
}

// addChanges adds the versions accepted during the shift and the differences that
// they add up to.
func (c handoverCmd) addChanges(ctx context.Context, h *report.Handover) {
	history, err := c.configHistory(ctx)
	if err != nil {
		addProblem(h, "changes", err)
		return
	}
	base := uint64(0)
	for _, v := range history {
		if v.At.Before(h.Since) {
			base = v.Version
			continue
		}
		h.Changes = append(h.Changes, report.AcceptedVersion{
			Version: model.Version(v.Version), Author: v.Author, Note: v.Note, At: v.At,
		})
	}
	if len(h.Changes) > 0 {
		h.Differences, err = c.differences(ctx, base)
		addProblem(h, "differences", err)
	}
}

// differences returns the changes from the base to the version in force. Without a
// base everything is new, and it returns nothing.
func (c handoverCmd) differences(ctx context.Context, base uint64) ([]string, error) {
	if base == 0 {
		return nil, nil
	}
	before, err := c.fetchConfig(ctx, base)
	if err != nil {
		return nil, err
	}
	after, err := c.fetchConfig(ctx, 0)
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, change := range opconfig.Diff(before, after) {
		lines = append(lines, change.String())
	}
	return lines, nil
}

// fetchConfig fetches and parses a version; 0 is the version in force.
func (c handoverCmd) fetchConfig(ctx context.Context, version uint64) (*opconfig.Config, error) {
	cfg, err := c.getConfig(ctx, version)
	if err != nil {
		return nil, err
	}
	return opconfig.Parse([]byte(cfg.Body))
}

// addVersions adds the versions in force by host and failure domain, and the hosts
// that are leaving.
func (c handoverCmd) addVersions(ctx context.Context, h *report.Handover) {
	answers := c.queryHosts(ctx)
	addProblem(h, "hosts", unansweredError(answers))
	for _, p := range versionStatuses(answers) {
		h.InForce = append(h.InForce, report.VersionStatus{
			Domain: model.DomainName(p.Domain), Host: model.HostID(p.Host), State: p.State,
			Version: model.Version(p.Version), Problem: p.Problem,
		})
		if p.State == "leaving" {
			h.Draining = append(h.Draining, report.Draining{Domain: model.DomainName(p.Domain), Kind: "host", Name: p.Host})
		}
	}
}

// addEndpoints adds the endpoints that are leaving and those without a wanted
// model.
func (c handoverCmd) addEndpoints(ctx context.Context, h *report.Handover) {
	endpoints, err := c.endpoints(ctx)
	if err != nil {
		addProblem(h, "endpoints", err)
		return
	}
	for i := range endpoints {
		addEndpoint(h, &endpoints[i])
	}
}

// addEndpoint adds an endpoint if it is leaving or without a wanted model.
func addEndpoint(h *report.Handover, e *operatorapi.Endpoint) {
	if e.Leaving {
		h.Draining = append(h.Draining, report.Draining{
			Domain: model.DomainName(e.Domain), Kind: "endpoint", Name: e.Name, By: e.LeavingBy, InFlight: e.InFlight,
		})
	}
	// A host receives the models of endpoints in its own failure domain only.
	if len(e.Models) == 0 {
		return
	}
	var missing []string
	for _, name := range e.WantedModels {
		if !slices.Contains(e.Models, name) {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		h.Orders = append(h.Orders, report.OpenOrder{
			Domain: model.DomainName(e.Domain), Endpoint: model.EndpointName(e.Name), Missing: missing,
		})
	}
}
