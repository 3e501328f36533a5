package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
)

// endpointsCmd groups the commands for endpoints.
type endpointsCmd struct {
	List   endpointsListCmd   `cmd:"" default:"withargs" help:"List the endpoints with what is wanted and seen of them."`
	Drain  endpointsDrainCmd  `cmd:"" help:"Give an endpoint no new work in any failure domain."`
	Resume endpointsResumeCmd `cmd:"" help:"Take a drained endpoint back."`
}

type endpointsListCmd struct {
	operatorFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the first host's view.
func (c endpointsListCmd) Run() error {
	client, err := c.first()
	if err != nil {
		return err
	}
	endpoints, err := client.GetEndpoints(context.Background())
	if err != nil {
		return explain(err)
	}
	if c.JSON {
		return printJSON(endpoints)
	}
	rows := [][]string{{"DOMAIN", "ENDPOINT", "POOL", "KIND", "ADDRESS", "LEAVING", "IN FLIGHT", "WANTED", "SEEN"}}
	for _, e := range endpoints {
		rows = append(rows, []string{
			e.Domain, e.Name, e.Pool, e.Kind, e.Address, leavingText(&e), fmt.Sprint(e.InFlight),
			orDash(strings.Join(e.WantedModels, ",")), orDash(strings.Join(e.Models, ",")),
		})
	}
	return printTable(rows)
}

func leavingText(e *operatorapi.Endpoint) string {
	if !e.Leaving {
		return "no"
	}
	return "by " + strings.Join(e.LeavingBy, ",")
}

// endpointMark is what drain and resume share.
type endpointMark struct {
	Name string `arg:"" help:"Name of the endpoint."`
	operatorFlags
	Note      string `help:"Word to the next shift."`
	PublishID string `help:"Publish id of an earlier try whose answer was lost."`
}

func (c endpointMark) publish(leaving bool) error {
	client, err := c.first()
	if err != nil {
		return err
	}
	if c.PublishID == "" {
		c.PublishID = newPublishID()
	}
	req := &operatorapi.Drain{PublishID: c.PublishID, Leaving: leaving}
	if c.Note != "" {
		req.Note = operatorapi.NewOptString(c.Note)
	}
	res, err := client.DrainEndpoint(context.Background(), req, operatorapi.DrainEndpointParams{Name: c.Name})
	if err != nil {
		return fmt.Errorf("%w\nto settle it, try again with --publish-id %s", explain(err), c.PublishID)
	}
	switch r := res.(type) {
	case *operatorapi.ConfigVersion:
		fmt.Printf("version %d is accepted\n", r.Version)
		return nil
	case *operatorapi.Conflict:
		return conflictError(r)
	default:
		return fmt.Errorf("unexpected answer %T", res)
	}
}

type endpointsDrainCmd struct{ endpointMark }

// Run publishes the endpoint as leaving.
func (c endpointsDrainCmd) Run() error { return c.publish(true) }

type endpointsResumeCmd struct{ endpointMark }

// Run publishes the endpoint as back.
func (c endpointsResumeCmd) Run() error { return c.publish(false) }
