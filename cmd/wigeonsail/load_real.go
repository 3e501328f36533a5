package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/demo"
	"github.com/wigeonsail/wigeonsail/internal/load"
	"github.com/wigeonsail/wigeonsail/internal/logging"
	"github.com/wigeonsail/wigeonsail/internal/settings"
)

// realFlags are the flags of `load` against real hosts.
type realFlags struct {
	Target        []string           `placeholder:"URL" help:"Hosts to send load to; by default a demo is started and used."`
	Key           string             `default:"demo-key" env:"WIGEONSAIL_KEY" help:"Key of the client account."`
	Model         string             `default:"draft" help:"Model of chat calls."`
	Rate          float64            `default:"50" help:"Requests per second."`
	Tokens        int                `default:"40" help:"Mean number of tokens per response."`
	Burst         float64            `default:"1" help:"Factor of the rate during bursts of 2 s every 10 s."`
	CompareDirect string             `placeholder:"URL" help:"Also send the same requests directly to this engine and print the added latency. 'demo' stands for one of the demo's engines."`
	Class         map[string]float64 `placeholder:"NAME=WEIGHT" help:"Classes of the chat calls and their weights; by default the account's default class. A demo that this command starts has its own mix, except with --compare-direct."`
	Rounds        int                `default:"3" help:"Rounds of the comparison of --compare-direct."`
	HostPID       int                `name:"host-pid" help:"With --compare-direct: process ID of the host, to measure its CPU time per token."`
}

// Interval and length of bursts, if the factor of the rate is not 1.
const (
	burstEvery  = 10 * time.Second
	burstLength = 2 * time.Second
)

const chatPath = "/v1/chat/completions"

// runReal sends load to the target hosts, or to those of a demo if there are none.
func (f *realFlags) runReal(seed uint64, duration time.Duration, asJSON bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if len(f.Target) > 0 {
		return f.runLoad(ctx, f.plan(seed, duration, f.chatMix()), asJSON)
	}
	if err := logging.Setup(os.Stderr, settings.Log{Level: "warn", Format: "text"}); err != nil {
		return &usageError{cause: err}
	}
	d, err := demo.Start(ctx, log.Log)
	if err != nil {
		return err
	}
	for _, h := range d.Hosts() {
		f.Target = append(f.Target, "http://"+h.CallerAddr)
	}
	if f.CompareDirect == "demo" {
		f.Target, f.CompareDirect = f.Target[:1], "http://"+d.EngineAddr()
	}
	err = f.runLoad(ctx, f.plan(seed, duration, f.demoMix()), asJSON)
	return errors.Join(err, d.Close(context.Background()))
}

// plan returns the load plan for a mix of requests. A comparison uses chat calls
// only.
func (f *realFlags) plan(seed uint64, duration time.Duration, mix []load.MixEntry) load.Plan {
	if f.CompareDirect != "" {
		mix = f.chatMix()
	}
	return load.Plan{
		Seed:        seed,
		Rate:        f.Rate,
		Duration:    duration,
		BurstFactor: f.Burst,
		BurstEvery:  burstEvery,
		BurstLength: burstLength,
		Mix:         mix,
	}
}

// chatMix returns chat calls with the classes and weights of the flags.
func (f *realFlags) chatMix() []load.MixEntry {
	chat := load.MixEntry{Kind: load.KindStream, Path: chatPath, Model: model.ModelName(f.Model), Weight: 1, Tokens: f.Tokens}
	if len(f.Class) == 0 {
		return []load.MixEntry{chat}
	}
	var mix []load.MixEntry
	for _, name := range slices.Sorted(maps.Keys(f.Class)) {
		chat.Class, chat.Weight = model.ClassName(name), f.Class[name]
		mix = append(mix, chat)
	}
	return mix
}

// demoMix returns the mix of requests for the classes of the demo.
func (f *realFlags) demoMix() []load.MixEntry {
	name := model.ModelName(f.Model)
	return []load.MixEntry{
		{Class: demo.Questions, Kind: load.KindStream, Path: chatPath, Model: name, Weight: 6, Tokens: f.Tokens / 2},
		{Class: demo.Drafts, Kind: load.KindWhole, Path: chatPath, Model: name, Weight: 2, Tokens: 4 * f.Tokens},
		{Class: demo.Confirmations, Kind: load.KindService, Path: demo.AppointmentsPath + "fixtures", Weight: 1},
		{Class: demo.Orders, Kind: load.KindService, Path: demo.OrdersPath + "place", Weight: 1},
	}
}

// runLoad runs the plan against the targets and prints the results.
func (f *realFlags) runLoad(ctx context.Context, plan load.Plan, asJSON bool) error {
	if f.CompareDirect != "" {
		return f.runComparison(ctx, plan, asJSON)
	}
	targets := make([]load.Target, 0, len(f.Target))
	for _, url := range f.Target {
		targets = append(targets, load.Target{URL: url, Key: f.Key})
	}
	results := load.Run(ctx, plan, targets)
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	return printResults(resultRow{name: "hosts", results: results})
}

// runComparison runs the plan against an engine directly and through a host, and
// prints the added latency.
func (f *realFlags) runComparison(ctx context.Context, plan load.Plan, asJSON bool) error {
	result, err := load.Compare(ctx, load.CompareOptions{
		Plan:    plan,
		Direct:  load.Target{URL: f.CompareDirect, Key: f.Key},
		Host:    load.Target{URL: f.Target[0], Key: f.Key},
		Rounds:  f.Rounds,
		HostPID: f.HostPID,
	})
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	if err := printResults(resultRow{"direct", result.Direct}, resultRow{"host", result.Host}); err != nil {
		return err
	}
	fmt.Printf("added to first token: p50 %.3f ms, p99 %.3f ms\n", result.AddedFirstTokenP50, result.AddedFirstTokenP99)
	fmt.Printf("added between tokens: p50 %.3f ms, p99 %.3f ms\n", result.AddedBetweenP50, result.AddedBetweenP99)
	if f.HostPID > 0 {
		fmt.Printf("CPU time per token: %.1f us\n", result.Host.CPUMicrosPerToken)
	}
	return nil
}

// resultRow is a row of the table of results, with the name of its target.
type resultRow struct {
	name    string
	results load.Results
}

func printResults(rows ...resultRow) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TARGET\tREQUESTS\tREFUSED\tFAILED\tTRUNCATED\tTOKENS\tPEAK OPEN\tFIRST P50\tFIRST P99\tBETWEEN P50\tBETWEEN P99")
	for _, r := range rows {
		f := r.results
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f ms\t%.2f ms\t%.2f ms\t%.2f ms\n", r.name, f.Requests, f.Refused, f.Failed,
			f.Truncated, f.Tokens, f.PeakInFlight, f.FirstTokenP50, f.FirstTokenP99, f.BetweenP50, f.BetweenP99)
	}
	return w.Flush()
}
