package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
)

// endpointsCmd holds the commands for endpoints.
type endpointsCmd struct {
	List   endpointsListCmd   `cmd:"" default:"withargs" help:"List the endpoints with their wanted and reported models."`
	Drain  endpointsDrainCmd  `cmd:"" help:"Publish an endpoint as leaving, so that hosts in all failure domains send it no new requests."`
	Resume endpointsResumeCmd `cmd:"" help:"Undo the drain of an endpoint, so that it receives new requests again."`
}

type endpointsListCmd struct {
	operatorFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the endpoints as seen by the first host that responds.
func (c endpointsListCmd) Run() error {
	endpoints, err := c.endpoints(context.Background())
	if err != nil {
		return err
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

// leavingText returns whether an endpoint is leaving and what marked it so.
func leavingText(e *operatorapi.Endpoint) string {
	if !e.Leaving {
		return "no"
	}
	return "by " + strings.Join(e.LeavingBy, ",")
}

// endpointDrainFlags are the arguments of drain and resume.
type endpointDrainFlags struct {
	Name string `arg:"" help:"Name of the endpoint."`
	operatorFlags
	Note      string `help:"Note for the next shift."`
	PublishID string `help:"Publish ID of an earlier attempt whose response was lost."`
}

// publishLeaving publishes a version of the configuration in which the endpoint is
// marked as leaving or not.
func (c endpointDrainFlags) publishLeaving(leaving bool) error {
	if c.PublishID == "" {
		c.PublishID = newPublishID()
	}
	req := &operatorapi.Drain{PublishID: c.PublishID, Leaving: leaving}
	if c.Note != "" {
		req.Note = operatorapi.NewOptString(c.Note)
	}
	// The publish ID makes the call safe to repeat.
	res, err := askFirst(c.operatorFlags, func(client *operatorapi.Client) (operatorapi.DrainEndpointRes, error) {
		return client.DrainEndpoint(context.Background(), req, operatorapi.DrainEndpointParams{Name: c.Name})
	})
	if err != nil {
		return fmt.Errorf("%w\nit may have been accepted; to make sure, try again with --publish-id %s", err, c.PublishID)
	}
	switch r := res.(type) {
	case *operatorapi.ConfigVersion:
		fmt.Printf("version %d is accepted\n", r.Version)
		return nil
	case *operatorapi.Conflict:
		return newConflictError(r)
	default:
		return fmt.Errorf("unexpected response %T", res)
	}
}

type endpointsDrainCmd struct{ endpointDrainFlags }

// Run marks the endpoint as leaving.
func (c endpointsDrainCmd) Run() error { return c.publishLeaving(true) }

type endpointsResumeCmd struct{ endpointDrainFlags }

// Run marks the endpoint as not leaving.
func (c endpointsResumeCmd) Run() error { return c.publishLeaving(false) }
