package main

import (
	"context"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/opconfig"
	"github.com/wigeonsail/wigeonsail/platform"
)

func init() { scenarioCommands["publish"] = cmdPublish }

// cmdPublish appends the first configuration to the platform's log before any host
// runs: publish PLATFORM-URL FILE
func cmdPublish(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: publish PLATFORM-URL FILE")
	}
	cfg, err := opconfig.Parse([]byte(ts.ReadFile(args[1])))
	ts.Check(err)
	ts.Check(cfg.Validate())
	body, err := opconfig.Marshal(cfg)
	ts.Check(err)
	record := configstate.Record{
		Schema:    configstate.RecordSchema,
		PublishID: "scenario",
		Version:   1,
		Author:    "scenario",
		At:        time.Now(),
		Body:      body,
	}
	data, err := record.Encode()
	ts.Check(err)
	client := platform.NewStore(platform.StoreOptions{URL: args[0], Host: "operator"})
	defer client.Close()
	ok := poll(func() bool {
		_, err := client.Append(context.Background(), configstate.Stream, data)
		return err == nil
	})
	if !ok {
		ts.Fatalf("the log accepted no record within %s", scenarioTimeout)
	}
}
