package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Handover is the report for the hand-over from one shift to the next.
type Handover struct {
	// Since and At are the start and the end of the shift.
	Since time.Time `json:"since"`
	At    time.Time `json:"at"`
	// Changes lists the versions of the configuration accepted during the shift,
	// oldest first.
	Changes []AcceptedVersion `json:"changes"`
	// Differences lists the combined effect of these changes, as lines of text
	// for operators.
	Differences []string `json:"differences"`
	// InForce lists the version in force at each host or failure domain.
	InForce []VersionStatus `json:"in_force"`
	// Burn is the service-level burn report of the shift; nil if no host
	// answered.
	Burn *Burn `json:"burn"`
	// Draining lists the endpoints and hosts that are being drained.
	Draining []Draining `json:"draining"`
	// Orders lists the endpoints that have not yet loaded all models that the
	// configuration assigns to them.
	Orders []OpenOrder `json:"orders"`
	// Problems lists the queries that failed, whose data is missing here.
	Problems []string `json:"problems"`
}

// AcceptedVersion is an accepted version of the configuration.
type AcceptedVersion struct {
	Version model.Version `json:"version"`
	Author  string        `json:"author"`
	Note    string        `json:"note"`
	At      time.Time     `json:"at"`
}

// VersionStatus is the version in force at a host or in a failure domain.
type VersionStatus struct {
	Domain model.DomainName `json:"domain"`
	// Host is empty if the status is from the digest of a failure domain rather
	// than from a host.
	Host    model.HostID  `json:"host,omitempty"`
	State   string        `json:"state"`
	Version model.Version `json:"version"`
	Problem string        `json:"problem,omitempty"`
}

// Draining is a host or an endpoint that is being drained.
type Draining struct {
	Domain model.DomainName `json:"domain"`
	// Name names the host or the endpoint; Kind is "host" or "endpoint".
	Name string `json:"name"`
	Kind string `json:"kind"`
	// By lists the sources of the drain, which are "config", "report", "list" and
	// "peer"; empty for a host.
	By []string `json:"by,omitempty"`
	// InFlight is the number of requests in flight at the endpoint from the host
	// that was queried.
	InFlight int `json:"in_flight"`
}

// OpenOrder is an endpoint that does not report all models assigned to it.
type OpenOrder struct {
	Domain   model.DomainName   `json:"domain"`
	Endpoint model.EndpointName `json:"endpoint"`
	Missing  []string           `json:"missing"`
}

// BurningClasses returns the summaries, by class and failure domain, that have
// exceeded their error budget during the shift or have an alert firing.
func (h *Handover) BurningClasses() []burn.Summary {
	if h.Burn == nil {
		return nil
	}
	var out []burn.Summary
	for i := range h.Burn.Classes {
		s := &h.Burn.Classes[i]
		if s.BudgetLeft < 0 || s.Firing() {
			out = append(out, *s)
		}
	}
	return out
}

// WriteJSON writes the hand-over as a JSON document.
func (h *Handover) WriteJSON(w io.Writer) error { return writeJSON(w, h) }

// WriteText writes the hand-over for a terminal.
func (h *Handover) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Hand-over of %s to %s\n", h.Since.UTC().Format(time.RFC3339), h.At.UTC().Format(time.RFC3339))
	for _, p := range h.Problems {
		fmt.Fprintf(&text, "Not known: %s\n", p)
	}
	h.writeChanges(&text)
	h.writeInForce(&text)
	h.writeBurning(&text)
	h.writeDraining(&text)
	h.writeOrders(&text)
	if _, err := io.WriteString(w, text.String()); err != nil {
		return &Error{Part: "text", Cause: err}
	}
	return nil
}

func (h *Handover) writeChanges(w io.Writer) {
	if !writeHeading(w, "Changed", len(h.Changes)) {
		return
	}
	t := newTable(w, "VERSION", "AT", "BY", "NOTE")
	for _, c := range h.Changes {
		t.row(fmt.Sprint(c.Version), c.At.UTC().Format(time.RFC3339), c.Author, c.Note)
	}
	t.flush()
	if len(h.Differences) > 0 {
		fmt.Fprintln(w, "\nIn all:")
	}
	for _, d := range h.Differences {
		fmt.Fprintln(w, "  "+d)
	}
}

func (h *Handover) writeInForce(w io.Writer) {
	if !writeHeading(w, "In force", len(h.InForce)) {
		return
	}
	t := newTable(w, "DOMAIN", "HOST", "STATE", "VERSION", "PROBLEM")
	for _, p := range h.InForce {
		t.row(string(p.Domain), orDash(string(p.Host)), p.State, fmt.Sprint(p.Version), orDash(p.Problem))
	}
	t.flush()
}

func (h *Handover) writeBurning(w io.Writer) {
	burning := h.BurningClasses()
	if h.Burn != nil {
		writeMissing(w, h.Burn.Missing)
	}
	if !writeHeading(w, "Burning", len(burning)) {
		return
	}
	t := newTable(w, "CLASS", "DOMAIN", "OBJECTIVE", "ATTAINED", "BUDGET LEFT", "FIRING")
	for i := range burning {
		s := &burning[i]
		t.row(string(s.Class), formatDomain(s.Domain), formatPercent(s.Objective), formatPercent(s.Attainment), formatPercent(s.BudgetLeft), formatFiring(s))
	}
	t.flush()
}

func (h *Handover) writeDraining(w io.Writer) {
	if !writeHeading(w, "Draining", len(h.Draining)) {
		return
	}
	t := newTable(w, "DOMAIN", "KIND", "NAME", "BY", "IN FLIGHT")
	for _, d := range h.Draining {
		t.row(string(d.Domain), d.Kind, d.Name, orDash(strings.Join(d.By, ",")), fmt.Sprint(d.InFlight))
	}
	t.flush()
}

func (h *Handover) writeOrders(w io.Writer) {
	if !writeHeading(w, "Open orders", len(h.Orders)) {
		return
	}
	t := newTable(w, "DOMAIN", "ENDPOINT", "NOT YET LOADED")
	for _, o := range h.Orders {
		t.row(string(o.Domain), string(o.Endpoint), strings.Join(o.Missing, ","))
	}
	t.flush()
}

// writeHeading writes the heading of a section with n entries, and reports
// whether there are any.
func writeHeading(w io.Writer, title string, n int) bool {
	if n == 0 {
		fmt.Fprintf(w, "\n%s: nothing\n", title)
		return false
	}
	fmt.Fprintf(w, "\n%s:\n", title)
	return true
}

// orDash returns text, or "-" if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
