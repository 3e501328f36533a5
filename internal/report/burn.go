// Package report writes reports for operators: the service-level burn report
// and the hand-over between shifts, as text, JSON or HTML.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Error is returned if a report cannot be written.
type Error struct {
	// Part names the part or format that failed, for example "plot".
	Part  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("writing report %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// BurnInput is the input of a burn report.
type BurnInput struct {
	// Aggregate has the counts of all hosts that answered.
	Aggregate burn.Aggregate
	// At is the end of the reported window, and Window its length.
	At     time.Time
	Window time.Duration
}

// Burn is the service-level burn report. At is the end of the window.
type Burn struct {
	At       time.Time      `json:"at"`
	Window   time.Duration  `json:"window_ns"`
	Answered []model.HostID `json:"answered"`
	// Missing lists the hosts that did not answer. If there are any, all counts
	// are too low.
	Missing []burn.Missing `json:"missing"`
	Classes []burn.Summary `json:"classes"`

	snapshot burn.Snapshot
}

// NewBurn computes the report of a window.
func NewBurn(in BurnInput) *Burn {
	return &Burn{
		At:       in.At.UTC(),
		Window:   in.Window,
		Answered: append([]model.HostID{}, in.Aggregate.Answered...),
		Missing:  append([]burn.Missing{}, in.Aggregate.Missing...),
		Classes:  burn.Summarize(in.Aggregate.Snapshot, in.At, in.Window),
		snapshot: in.Aggregate.Snapshot,
	}
}

// WriteJSON writes the report as a JSON document.
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
