package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Handover tells the next shift what the last one leaves behind.
type Handover struct {
	// Since and At bound the shift.
	Since time.Time `json:"since"`
	At    time.Time `json:"at"`
	// Changes are the versions accepted in that time, oldest first.
	Changes []AcceptedChange `json:"changes"`
	// Differences are what these changes come to, in operators' words.
	Differences []string `json:"differences"`
	// InForce tells which version is in force where.
	InForce []VersionPlace `json:"in_force"`
	// Burn is the report on service levels over the shift; nil when no host
	// answered.
	Burn *Burn `json:"burn"`
	// Draining are the endpoints and hosts that are leaving.
	Draining []Draining `json:"draining"`
	// Orders are the endpoints that have not yet loaded what the
	// configuration wants.
	Orders []OpenOrder `json:"orders"`
	// Problems are the questions that got no answer.
	Problems []string `json:"problems"`
}

// AcceptedChange is an accepted version of the configuration.
type AcceptedChange struct {
	Version model.Version `json:"version"`
	Author  string        `json:"author"`
	Note    string        `json:"note"`
	At      time.Time     `json:"at"`
}

// VersionPlace is the version in force at a host or in a failure domain.
type VersionPlace struct {
	Domain model.DomainName `json:"domain"`
	// Host is empty for a failure domain that is known by its digest only.
	Host    model.HostID  `json:"host,omitempty"`
	State   string        `json:"state"`
	Version model.Version `json:"version"`
	Problem string        `json:"problem,omitempty"`
}

// Draining is a host or an endpoint that is leaving.
type Draining struct {
	Domain model.DomainName `json:"domain"`
	// Name names the host or the endpoint; Kind is "host" or "endpoint".
	Name string `json:"name"`
	Kind string `json:"kind"`
	// By names who says so.
	By []string `json:"by,omitempty"`
	// InFlight is the work of the asked host that the endpoint still does.
	InFlight int `json:"in_flight"`
}

// OpenOrder is an endpoint that does not report all models it is to have.
type OpenOrder struct {
	Domain   model.DomainName   `json:"domain"`
	Endpoint model.EndpointName `json:"endpoint"`
	Missing  []string           `json:"missing"`
}

// Burning returns the classes and failure domains that have overspent their
// error budget over the shift or have an alert firing.
func (h *Handover) Burning() []burn.Summary {
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

// WriteJSON writes the hand-over as one JSON document.
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
	if !section(w, "Changed", len(h.Changes)) {
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
	if !section(w, "In force", len(h.InForce)) {
		return
	}
	t := newTable(w, "DOMAIN", "HOST", "STATE", "VERSION", "PROBLEM")
	for _, p := range h.InForce {
		t.row(string(p.Domain), orDash(string(p.Host)), p.State, fmt.Sprint(p.Version), orDash(p.Problem))
	}
	t.flush()
}

func (h *Handover) writeBurning(w io.Writer) {
	burning := h.Burning()
	if h.Burn != nil {
		writeMissing(w, h.Burn.Missing)
	}
	if !section(w, "Burning", len(burning)) {
		return
	}
	t := newTable(w, "CLASS", "DOMAIN", "OBJECTIVE", "ATTAINED", "BUDGET LEFT", "FIRING")
	for i := range burning {
		s := &burning[i]
		t.row(string(s.Class), domainText(s.Domain), percent(s.Objective), percent(s.Attainment), percent(s.BudgetLeft), firing(s))
	}
	t.flush()
}

func (h *Handover) writeDraining(w io.Writer) {
	if !section(w, "Draining", len(h.Draining)) {
		return
	}
	t := newTable(w, "DOMAIN", "KIND", "NAME", "BY", "IN FLIGHT")
	for _, d := range h.Draining {
		t.row(string(d.Domain), d.Kind, d.Name, orDash(strings.Join(d.By, ",")), fmt.Sprint(d.InFlight))
	}
	t.flush()
}

func (h *Handover) writeOrders(w io.Writer) {
	if !section(w, "Open orders", len(h.Orders)) {
		return
	}
	t := newTable(w, "DOMAIN", "ENDPOINT", "NOT YET LOADED")
	for _, o := range h.Orders {
		t.row(string(o.Domain), string(o.Endpoint), strings.Join(o.Missing, ","))
	}
	t.flush()
}

// section writes a heading and tells whether there is anything below it.
func section(w io.Writer, title string, n int) bool {
	if n == 0 {
		fmt.Fprintf(w, "\n%s: nothing\n", title)
		return false
	}
	fmt.Fprintf(w, "\n%s:\n", title)
	return true
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
