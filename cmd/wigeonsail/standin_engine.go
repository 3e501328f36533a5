package main

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/standin/engine"
)

type standinEngineCmd struct {
	Listen        string        `required:"" placeholder:"HOST:PORT" help:"Address to listen on."`
	Name          string        `default:"engine" help:"Name of the replica."`
	Model         []string      `default:"draft" help:"Models loaded at the start."`
	Slots         int           `default:"16" help:"Requests that run concurrently."`
	FirstToken    time.Duration `default:"20ms" help:"Time to the first token."`
	BetweenTokens time.Duration `default:"5ms" help:"Time between tokens."`
	Tokens        int           `default:"20" help:"Tokens of a response to a request without max_tokens."`
	ReportLag     time.Duration `default:"500ms" help:"Age of load reports."`
	Resume        bool          `default:"true" negatable:"" help:"Support resuming interrupted streams."`
	CheckFencing  bool          `help:"Refuse orders with a stale fencing number."`
}

// Run serves until SIGINT or SIGTERM.
func (c standinEngineCmd) Run() error {
	models := make([]model.ModelName, 0, len(c.Model))
	for _, name := range c.Model {
		models = append(models, model.ModelName(name))
	}
	e := engine.New(engine.Options{
		Name:           c.Name,
		Models:         models,
		Slots:          c.Slots,
		FirstToken:     c.FirstToken,
		BetweenTokens:  c.BetweenTokens,
		DefaultTokens:  c.Tokens,
		ReportInterval: c.ReportLag,
		CanResume:      c.Resume,
		ChecksFencing:  c.CheckFencing,
	})
	return serveStandin("engine "+c.Name, c.Listen, e.Handler())
}
