package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// cellPadding is the space between two columns of a table, in characters.
const cellPadding = 2

// allDomains is printed as the failure domain of a sum over all of them.
const allDomains = "all"

// WriteText writes the report for a terminal.
func (b *Burn) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Service-level burn over %s until %s, from %d hosts\n", formatDuration(b.Window), b.At.Format(time.RFC3339), len(b.Answered))
	writeMissing(&text, b.Missing)
	if len(b.Classes) == 0 {
		text.WriteString("\nNo requests in this time.\n")
	} else {
		b.writeServiceLevels(&text)
		b.writeAlerts(&text)
		b.writeGoodput(&text)
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return &Error{Part: "text", Cause: err}
	}
	return nil
}

// writeMissing writes a line for each host that did not answer.
func writeMissing(w io.Writer, missing []burn.Missing) {
	for _, m := range missing {
		fmt.Fprintf(w, "No answer from %s: %s. All counts are too low.\n", m.Name(), m.Reason)
	}
}

// writeServiceLevels writes the table of objectives, error budgets and counts.
func (b *Burn) writeServiceLevels(w io.Writer) {
	fmt.Fprintln(w)
	t := newTable(w, "CLASS", "DOMAIN", "OBJECTIVE", "ATTAINED", "BUDGET LEFT", "REQUESTS", "GOOD", "LATE", "REFUSED", "FAILED", "UNKNOWN", "LOST", "FIRING")
	for i := range b.Classes {
		s := &b.Classes[i]
		c := &s.Counts
		t.row(string(s.Class), formatDomain(s.Domain), formatPercent(s.Objective), formatPercent(s.Attainment), formatPercent(s.BudgetLeft),
			formatCount(c.Total), formatCount(c.Good), formatCount(c.Late), formatCount(c.Refused), formatCount(c.Failed), formatCount(c.Unknown), formatCount(c.Lost), formatFiring(s))
	}
	t.flush()
}

// writeAlerts writes the table of burn rates with the rates that alerts fire at.
func (b *Burn) writeAlerts(w io.Writer) {
	head := []string{"CLASS", "DOMAIN"}
	for _, p := range burn.AlertRules {
		head = append(head, "BURN "+formatDuration(p.Short), "BURN "+formatDuration(p.Long), "FIRES FROM")
	}
	fmt.Fprintln(w)
	t := newTable(w, head...)
	for i := range b.Classes {
		s := &b.Classes[i]
		cells := []string{string(s.Class), formatDomain(s.Domain)}
		for _, a := range s.Alerts {
			cells = append(cells, formatRate(a.ShortBurn), formatRate(a.LongBurn), formatRate(a.Rate))
		}
		t.row(cells...)
	}
	t.flush()
}

// writeGoodput writes the table of goodput, and of wasted tokens by cause.
func (b *Burn) writeGoodput(w io.Writer) {
	head := []string{"CLASS", "DOMAIN", "GOOD/S", "GOOD TOKENS/S", "WASTED"}
	for cause := range burn.WasteCauses() {
		head = append(head, strings.ToUpper(cause.String()))
	}
	fmt.Fprintln(w)
	t := newTable(w, append(head, "LIMITED", "CANCELED")...)
	for i := range b.Classes {
		s := &b.Classes[i]
		cells := []string{string(s.Class), formatDomain(s.Domain), formatRate(s.GoodPerSecond), formatRate(s.GoodTokensPerSecond), formatPercent(s.WastedShare)}
		for cause := range burn.WasteCauses() {
			cells = append(cells, formatCount(s.Counts.Wasted[cause]))
		}
		t.row(append(cells, formatCount(s.Counts.Limited), formatCount(s.Counts.Canceled))...)
	}
	t.flush()
}

// table writes a table with aligned columns for a terminal.
type table struct{ w *tabwriter.Writer }

// newTable returns a table with the given column heads. It has to be flushed.
func newTable(w io.Writer, head ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, cellPadding, ' ', 0)}
	t.row(head...)
	return t
}

func (t *table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

// flush writes the table. Errors are ignored: the tables are written to a
// strings.Builder, which never fails.
func (t *table) flush() { _ = t.w.Flush() }

func formatDomain(d model.DomainName) string {
	if d == "" {
		return allDomains
	}
	return string(d)
}

// formatFiring returns the names of the firing alerts, or "-" if there are none.
func formatFiring(s *burn.Summary) string {
	var names []string
	for _, a := range s.Alerts {
		if a.Firing {
			names = append(names, a.Name)
		}
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}

// formatPercent formats a share from 0 to 1 in percent.
func formatPercent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func formatRate(v float64) string { return fmt.Sprintf("%.2f", v) }
func formatCount(n uint64) string { return fmt.Sprint(n) }

// formatDuration formats a duration without trailing zero units: 1h, not 1h0m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
