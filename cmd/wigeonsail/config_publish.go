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
	Note      string `help:"Word to the next shift."`
	PublishID string `help:"Publish id of an earlier try whose answer was lost. The same id yields one version."`
	JSON      bool   `help:"Print JSON."`
}

// Run publishes the file. Hosts are tried in turn under one publish id, so
// that a lost answer never leads to a second version.
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
		return fmt.Errorf("%w\nto settle it, publish again with --publish-id %s", err, c.PublishID)
	}
	return c.report(res)
}

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
		last = explain(err)
		fmt.Fprintf(os.Stderr, "no acceptance through %s: %v\n", url, last)
	}
	return nil, last
}

func (c configPublishCmd) report(res operatorapi.PublishConfigRes) error {
	switch r := res.(type) {
	case *operatorapi.ConfigVersion:
		if c.JSON {
			return printJSON(r)
		}
		fmt.Printf("version %d is accepted\n", r.Version)
		return nil
	case *operatorapi.Conflict:
		return conflictError(r)
	default:
		return fmt.Errorf("unexpected answer %T", res)
	}
}

// conflictError tells who was first, and what the two differ in.
func conflictError(c *operatorapi.Conflict) error {
	text := fmt.Sprintf("conflict: version %d of %s came first at %s: %s",
		c.Current.Version, c.Current.Author, c.Current.At.Format(timeFormat), c.Current.Note)
	if c.Current.Version == 0 {
		text = "conflict: no version is in force yet; the first has base 0"
	}
	for _, change := range c.Changes {
		text += "\n  your file would lead to: " + change
	}
	return &conflict{text: text}
}

// conflict is a publication that another operator overtook.
type conflict struct{ text string }

// Error implements error.
func (e *conflict) Error() string { return e.text }
