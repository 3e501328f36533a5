// Package report prints what operators read: the service-level burn report
// and the hand-over between shifts.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Error is a report that could not be written.
type Error struct {
	// Part names what failed, for example "plot".
	Part  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("report %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// BurnInput is what a burn report is made of.
type BurnInput struct {
	// Gathered holds the counts of all hosts that answered.
	Gathered burn.Aggregate
	// At is the end of the window.
	At     time.Time
	Window time.Duration
}

// Burn is the service-level burn report.
type Burn struct {
	At       time.Time      `json:"at"`
	Window   time.Duration  `json:"window_ns"`
	Answered []model.HostID `json:"answered"`
	// Missing lists the hosts that did not answer. While there are any, all
	// counts are too low.
	Missing []burn.Missing `json:"missing"`
	Classes []burn.Summary `json:"classes"`

	snapshot burn.Snapshot
}

// NewBurn computes the report.
func NewBurn(in BurnInput) *Burn {
	return &Burn{
		At:       in.At.UTC(),
		Window:   in.Window,
		Answered: append([]model.HostID{}, in.Gathered.Answered...),
		Missing:  append([]burn.Missing{}, in.Gathered.Missing...),
		Classes:  burn.Summarize(in.Gathered.Snapshot, in.At, in.Window),
		snapshot: in.Gathered.Snapshot,
	}
}

// WriteJSON writes the report as one JSON document.
func (b *Burn) WriteJSON(w io.Writer) error {
	return writeJSON(w, b)
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return &Error{Part: "json", Cause: err}
	}
	return nil
}
