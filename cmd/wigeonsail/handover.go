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

// errHandoverIncomplete makes a hand-over fail that lacks answers.
var errHandoverIncomplete = errors.New("some questions got no answer; see the lines above")

type handoverCmd struct {
	operatorFlags
	Hours float64 `default:"8" help:"Length of the shift in hours, up to 24."`
	JSON  bool    `help:"Print JSON."`
}

// Run prints the hand-over. It fails after printing when answers are missing.
func (c handoverCmd) Run() error {
	shift := time.Duration(c.Hours * float64(time.Hour))
	if shift <= 0 || shift > burn.Kept {
		return &usageError{cause: fmt.Errorf("hours %v is not over 0 and up to %v", c.Hours, burn.Kept.Hours())}
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

// collect asks for all parts. A part without an answer is a problem of the
// hand-over and leaves the others whole.
func (c handoverCmd) collect(ctx context.Context, shift time.Duration) *report.Handover {
	now := time.Now()
	h := &report.Handover{Since: now.Add(-shift), At: now}
	c.addChanges(ctx, h)
	c.addPlaces(ctx, h)
	c.addEndpoints(ctx, h)
	b, err := c.gather(ctx, shift)
	addProblem(h, "service levels", err)
	h.Burn = b
	return h
}

func addProblem(h *report.Handover, part string, err error) {
	if err != nil {
		h.Problems = append(h.Problems, fmt.Sprintf("%s: %v", part, err))
	}
}

// addChanges lists the versions of the shift and what they come to.
func (c handoverCmd) addChanges(ctx context.Context, h *report.Handover) {
	client, err := c.first()
	if err != nil {
		addProblem(h, "changes", err)
		return
	}
	history, err := client.GetConfigHistory(ctx)
	if err != nil {
		addProblem(h, "changes", explain(err))
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

// differences compares the base with the version in force. Without a base
// everything is new, and nothing is listed.
func (c handoverCmd) differences(ctx context.Context, base uint64) ([]string, error) {
	if base == 0 {
		return nil, nil
	}
	before, err := c.parsed(ctx, base)
	if err != nil {
		return nil, err
	}
	after, err := c.parsed(ctx, 0)
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, change := range opconfig.Diff(before, after) {
		lines = append(lines, change.String())
	}
	return lines, nil
}

func (c handoverCmd) parsed(ctx context.Context, version uint64) (*opconfig.Config, error) {
	cfg, err := c.get(ctx, version)
	if err != nil {
		return nil, err
	}
	return opconfig.Parse([]byte(cfg.Body))
}

// addPlaces tells which version is in force where, and which hosts leave.
func (c handoverCmd) addPlaces(ctx context.Context, h *report.Handover) {
	answers := c.askHosts(ctx)
	addProblem(h, "hosts", noAnswer(answers))
	for _, p := range places(answers) {
		h.InForce = append(h.InForce, report.VersionStatus{
			Domain: model.DomainName(p.Domain), Host: model.HostID(p.Host), State: p.State,
			Version: model.Version(p.Version), Problem: p.Problem,
		})
		if p.State == "leaving" {
			h.Draining = append(h.Draining, report.Draining{Domain: model.DomainName(p.Domain), Kind: "host", Name: p.Host})
		}
	}
}

// addEndpoints lists the endpoints that leave and those that lack a model.
func (c handoverCmd) addEndpoints(ctx context.Context, h *report.Handover) {
	client, err := c.first()
	if err != nil {
		addProblem(h, "endpoints", err)
		return
	}
	endpoints, err := client.GetEndpoints(ctx)
	if err != nil {
		addProblem(h, "endpoints", explain(err))
		return
	}
	for i := range endpoints {
		addEndpoint(h, &endpoints[i])
	}
}

func addEndpoint(h *report.Handover, e *operatorapi.Endpoint) {
	if e.Leaving {
		h.Draining = append(h.Draining, report.Draining{
			Domain: model.DomainName(e.Domain), Kind: "endpoint", Name: e.Name, By: e.LeavingBy, InFlight: e.InFlight,
		})
	}
	// A host sees the models of its own domain's endpoints only.
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
