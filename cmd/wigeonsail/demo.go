package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/demo"
	"github.com/wigeonsail/wigeonsail/internal/logging"
	"github.com/wigeonsail/wigeonsail/internal/settings"
)

// errSampleFailed is returned if a request of `demo --once` failed.
var errSampleFailed = errors.New("a request failed")

type demoCmd struct {
	Once     bool   `help:"Send one request of each class, print a JSON line for each and exit."`
	LogLevel string `default:"warn" enum:"debug,info,warn,error" help:"Minimum level of log lines."`
}

// Run runs the demo until SIGINT or SIGTERM, or sends one request of each class.
func (c demoCmd) Run() error {
	if err := logging.Setup(os.Stderr, settings.Log{Level: c.LogLevel, Format: "text"}); err != nil {
		return &usageError{cause: err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := demo.Start(ctx, log.Log)
	if err != nil {
		return err
	}
	if c.Once {
		failed := printSamples(d.Once(ctx))
		return errors.Join(failed, d.Close(context.Background()))
	}
	printAddresses(d.Hosts())
	<-ctx.Done()
	return d.Close(context.Background())
}

// printSamples prints a JSON line for each request. It returns an error if one
// failed.
func printSamples(samples []demo.Sample) error {
	var failed error
	out := json.NewEncoder(os.Stdout)
	for _, s := range samples {
		if err := out.Encode(s); err != nil {
			return err
		}
		if s.Error != "" {
			failed = errSampleFailed
		}
	}
	return failed
}

// printAddresses prints the addresses of the hosts and example commands.
func printAddresses(hosts []demo.Host) {
	for _, h := range hosts {
		fmt.Printf("%s\t%s\thttp://%s\n", h.Domain, h.ID, h.CallerAddr)
	}
	fmt.Printf("operators: export WIGEONSAIL_HOST=http://%s WIGEONSAIL_TOKEN=%s; wigeonsail hosts\n",
		hosts[0].OperatorAddr, demo.OperatorToken)
	fmt.Printf("try: curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		hosts[0].CallerAddr, demo.Key, demo.Model)
}
