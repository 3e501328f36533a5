package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/virtual"
	"github.com/wigeonsail/wigeonsail/internal/virtual/fleet"
)

// virtualFlags are the flags of `load --virtual`.
type virtualFlags struct {
	Overload    float64       `default:"1" help:"With --virtual: offered load relative to the capacity."`
	DigestDelay time.Duration `default:"200ms" help:"With --virtual: age of the digests that hosts have of each other."`
	Engines     int           `help:"With --virtual: simulate gateways in front of this many engines of a large model, with surges, and compare how hosts share load information."`
}

func (f *virtualFlags) runVirtual(seed uint64, duration time.Duration, asJSON bool) error {
	if f.Engines < 0 {
		return &usageError{cause: errors.New("load: --engines must be at least 0")}
	}
	if f.Overload <= 0 || duration <= 0 || f.DigestDelay < 0 {
		return &usageError{cause: errors.New("load: --overload and --duration must be above 0, --digest-delay at least 0")}
	}
	if f.Engines > 0 {
		return f.runFleet(seed, duration, asJSON)
	}
	report := virtual.Compare(virtual.Options{
		Seed:        seed,
		Overload:    f.Overload,
		DigestDelay: f.DigestDelay,
		Duration:    duration,
	})
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return printVirtual(report)
}

// runFleet simulates gateways with each method of sharing load information and
// prints the reports.
func (f *virtualFlags) runFleet(seed uint64, duration time.Duration, asJSON bool) error {
	opts := fleet.Brittany(f.Engines)
	opts.Seed = seed
	opts.Duration = duration
	reports := fleet.Compare(opts)
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(reports)
	}
	return printFleet(reports)
}

// printFleet prints the reports as a table. LEFT counts the requests that callers
// abandoned. WORTH is the worth of the responses relative to timely responses to
// all requests. MEDIAN and P95 are times to the first event. ERROR is the median
// ratio of actual to expected times. The last line of a policy has the tokens of
// shared prefixes, in thousands, that were prefilled again ("read again") and
// that were fetched from another engine's cache ("moved"), and how evenly the load
// was spread over the engines.
func printFleet(reports map[string]fleet.Report) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tCLASS\tOFFERED\tIN TIME\tLATE\tLEFT\tREFUSED\tWORTH\tMEDIAN\tP95\tERROR")
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		r := reports[name]
		for _, class := range slices.SortedFunc(maps.Keys(r.Classes), cmp.Compare) {
			c := r.Classes[class]
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.0fms\t%.0fms\t%.2f\n",
				name, class, c.Offered, c.InTime, c.Late, c.Abandoned, c.Refused, c.Worth, c.MedianMS, c.P95MS, c.ActualToExpected)
		}
		fmt.Fprintf(w, "%s\tworth %.3f\tread again %dk\tmoved %dk\trejected %d\tbusiest tenth %.2f\tidle while queued %.2f\n",
			name, r.Worth, r.RepeatedPrefillK, r.FetchedK, r.Rejected, r.Spread.BusiestTenth, r.Spread.IdleWhileQueued)
	}
	return w.Flush()
}

// printVirtual prints the report as a table. ALLOWED is the share of the
// class's work that the capacity left by higher tiers could have served.
func printVirtual(report virtual.Report) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tCLASS\tTIER\tOFFERED\tATTAINED\tALLOWED\tSHED\tPREEMPTED\tLONGEST WAIT")
	for _, name := range slices.Sorted(maps.Keys(report.Policies)) {
		p := report.Policies[name]
		classes := slices.SortedFunc(maps.Keys(p.Classes), cmp.Compare)
		for _, class := range classes {
			c := p.Classes[class]
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.4f\t%.4f\t%d\t%d\t%.1fs\n",
				name, class, c.Tier, c.Offered, c.Attained, c.ServableShare, c.Shed, c.Preempted, c.LongestWait)
		}
		fmt.Fprintf(w, "%s\tgoodput %.0f tokens/s\twasted %.4f\n", name, p.Goodput, p.Wasted)
	}
	return w.Flush()
}
