package main

import (
	"context"
	"fmt"
	"os"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
)

type configPublishCmd struct {
	File string `arg:"" help:"Configuration in TOML; - for stdin."`
	operatorFlags
	Base      uint64 `required:"" help:"Version that the file was made from; 0 for the first configuration."`
	Note      string `help:"Note for the next shift."`
	PublishID string `help:"Publish ID of an earlier attempt whose response was lost. One ID yields at most one version."`
	JSON      bool   `help:"Print JSON."`
}

// Run publishes the file. It tries the hosts in turn with one publish ID, so that
// a lost response never leads to a second version.
func (c configPublishCmd) Run() error {
	text, _, err := readConfig(c.File)
	if err != nil {
		return err
	}
	if c.PublishID == "" {
		c.PublishID = newPublishID()
	}
	req := &operatorapi.Publication{PublishID: c.PublishID, Base: c.Base, Body: string(text)}
	if c.Note != "" {
		req.Note = operatorapi.NewOptString(c.Note)
	}
	res, err := c.publish(req)
	if err != nil {
		return fmt.Errorf("%w\nit may have been accepted; to make sure, publish again with --publish-id %s", err, c.PublishID)
	}
	return c.report(res)
}

// publish sends the publication to one host after the other until one responds.
func (c configPublishCmd) publish(req *operatorapi.Publication) (operatorapi.PublishConfigRes, error) {
	var last error
	for _, url := range c.Host {
		client, err := c.client(url)
		if err != nil {
			return nil, err
		}
		res, err := client.PublishConfig(context.Background(), req)
		if err == nil {
			return res, nil
		}
		last = wrapProblem(err)
		fmt.Fprintf(os.Stderr, "publishing through %s failed: %v\n", url, last)
	}
	return nil, last
}

// report prints the accepted version, or returns the conflict as an error.
func (c configPublishCmd) report(res operatorapi.PublishConfigRes) error {
	switch r := res.(type) {
	case *operatorapi.ConfigVersion:
		if c.JSON {
			return printJSON(r)
		}
		fmt.Printf("version %d is accepted\n", r.Version)
		return nil
	case *operatorapi.Conflict:
		return newConflictError(r)
	default:
		return fmt.Errorf("unexpected response %T", res)
	}
}

// newConflictError returns an error that names the version in force, its author
// and the differences between it and the file.
func newConflictError(c *operatorapi.Conflict) error {
	text := fmt.Sprintf("conflict: version %d of %s came first at %s: %s",
		c.Current.Version, c.Current.Author, c.Current.At.Format(timeFormat), c.Current.Note)
	if c.Current.Version == 0 {
		text = "conflict: no version is in force yet; the first has base 0"
	}
	for _, change := range c.Changes {
		text += "\n  your file would change: " + change
	}
	return &publishConflictError{text: text}
}

// publishConflictError is returned if another operator published first.
type publishConflictError struct{ text string }

// Error implements error.
func (e *publishConflictError) Error() string { return e.text }
