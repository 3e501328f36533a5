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
)

// virtualFlags are the flags of `load --virtual`.
type virtualFlags struct {
	Overload    float64       `default:"1" help:"Offered load against the capacity."`
	DigestDelay time.Duration `default:"200ms" help:"Age of the hosts' digests of each other."`
}

func (f *virtualFlags) runVirtual(seed uint64, duration time.Duration, asJSON bool) error {
	if f.Overload <= 0 || duration <= 0 || f.DigestDelay < 0 {
		return &usageError{cause: errors.New("load: --overload and --duration must be above 0, --digest-delay at least 0")}
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

// printVirtual writes the report as a table. The column ALLOWED is the part of
// the class that the capacity left by higher tiers would have served.
func printVirtual(report virtual.Report) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tCLASS\tTIER\tOFFERED\tATTAINED\tALLOWED\tSHED\tPREEMPTED\tLONGEST WAIT")
	for _, name := range slices.Sorted(maps.Keys(report.Policies)) {
		p := report.Policies[name]
		classes := slices.SortedFunc(maps.Keys(p.Classes), cmp.Compare)
		for _, class := range classes {
			c := p.Classes[class]
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.4f\t%.4f\t%d\t%d\t%.1fs\n",
				name, class, c.Tier, c.Offered, c.Attained, c.Allowed, c.Shed, c.Preempted, c.LongestWait)
		}
		fmt.Fprintf(w, "%s\tgoodput %.0f tokens/s\twasted %.4f\n", name, p.Goodput, p.Wasted)
	}
	return w.Flush()
}
