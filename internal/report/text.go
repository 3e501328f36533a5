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

// allDomains stands for the sum over the failure domains.
const allDomains = "all"

// WriteText writes the report for a terminal.
func (b *Burn) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Service-level burn over %s until %s, from %d hosts\n", shortSpan(b.Window), b.At.Format(time.RFC3339), len(b.Answered))
	writeMissing(&text, b.Missing)
	if len(b.Classes) == 0 {
		text.WriteString("\nNo requests in this time.\n")
	} else {
		b.writeLevels(&text)
		b.writeAlerts(&text)
		b.writeWork(&text)
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return &Error{Part: "text", Cause: err}
	}
	return nil
}

func writeMissing(w io.Writer, missing []burn.Missing) {
	for _, m := range missing {
		fmt.Fprintf(w, "No answer from %s: %s. All counts are too low.\n", m.Name(), m.Reason)
	}
}

func (b *Burn) writeLevels(w io.Writer) {
	fmt.Fprintln(w)
	t := newTable(w, "CLASS", "DOMAIN", "OBJECTIVE", "ATTAINED", "BUDGET LEFT", "REQUESTS", "GOOD", "LATE", "REFUSED", "FAILED", "UNKNOWN", "LOST", "FIRING")
	for i := range b.Classes {
		s := &b.Classes[i]
		c := &s.Counts
		t.row(string(s.Class), domainText(s.Domain), percent(s.Objective), percent(s.Attainment), percent(s.BudgetLeft),
			number(c.Total), number(c.Good), number(c.Late), number(c.Refused), number(c.Failed), number(c.Unknown), number(c.Lost), firing(s))
	}
	t.flush()
}

func (b *Burn) writeAlerts(w io.Writer) {
	head := []string{"CLASS", "DOMAIN"}
	for _, p := range burn.AlertRules {
		head = append(head, "BURN "+shortSpan(p.Short), "BURN "+shortSpan(p.Long), "FIRES FROM")
	}
	fmt.Fprintln(w)
	t := newTable(w, head...)
	for i := range b.Classes {
		s := &b.Classes[i]
		cells := []string{string(s.Class), domainText(s.Domain)}
		for _, a := range s.Alerts {
			cells = append(cells, rate(a.ShortBurn), rate(a.LongBurn), rate(a.Rate))
		}
		t.row(cells...)
	}
	t.flush()
}

func (b *Burn) writeWork(w io.Writer) {
	head := []string{"CLASS", "DOMAIN", "GOOD/S", "GOOD TOKENS/S", "WASTED"}
	for cause := range burn.WasteCauses() {
		head = append(head, strings.ToUpper(cause.String()))
	}
	fmt.Fprintln(w)
	t := newTable(w, append(head, "LIMITED", "CANCELED")...)
	for i := range b.Classes {
		s := &b.Classes[i]
		cells := []string{string(s.Class), domainText(s.Domain), rate(s.GoodPerSecond), rate(s.GoodTokensPerSecond), percent(s.WastedShare)}
		for cause := range burn.WasteCauses() {
			cells = append(cells, number(s.Counts.Wasted[cause]))
		}
		t.row(append(cells, number(s.Counts.Limited), number(s.Counts.Canceled))...)
	}
	t.flush()
}

// table aligns columns for a terminal.
type table struct{ w *tabwriter.Writer }

// newTable starts a table.
func newTable(w io.Writer, head ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, cellPadding, ' ', 0)}
	t.row(head...)
	return t
}

func (t *table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

// flush writes the table. Its writer keeps the first error.
func (t *table) flush() { _ = t.w.Flush() }

func domainText(d model.DomainName) string {
	if d == "" {
		return allDomains
	}
	return string(d)
}

func firing(s *burn.Summary) string {
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

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }
func rate(v float64) string        { return fmt.Sprintf("%.2f", v) }
func number(n uint64) string       { return fmt.Sprint(n) }

// shortSpan writes 1h0m0s as 1h.
func shortSpan(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
