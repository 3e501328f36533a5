package duty

import (
	"encoding/json"

	"github.com/wigeonsail/wigeonsail/internal/core/lease"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
)

// Record is one entry of the stream: a record of the lease, or a report of usage that the
// holder is about to send. Either is valid only at the offset that its author expected.
type Record struct {
	Lease  *lease.Record `json:"lease,omitempty"`
	Report *ReportRecord `json:"report,omitempty"`
}

// ReportRecord is a report of usage that is sent with exactly these counts, by this holder
// and by all later ones.
type ReportRecord struct {
	Expected model.Offset `json:"expected"`
	// Term is the fencing number of the holder that wrote it.
	Term   model.Offset `json:"term"`
	Window usage.Window `json:"window"`
	Counts usage.Counts `json:"counts"`
	// Done is the last window of which the author knew that it and all before need no more
	// report.
	Done usage.Window `json:"done"`
}

// Encode returns the JSON form of the record on the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, &RecordError{Cause: err}
	}
	return data, nil
}

// decodeRecord parses the output of Encode.
func decodeRecord(data []byte) (*Record, error) {
	rec := &Record{}
	if err := json.Unmarshal(data, rec); err != nil {
		return nil, &RecordError{Cause: err}
	}
	return rec, nil
}

// Expected returns the only offset at which the record is valid.
func (r *Record) Expected() model.Offset {
	expected, _ := r.expected()
	return expected
}

// expected is like Expected. It returns false for a record of an unknown kind.
func (r *Record) expected() (model.Offset, bool) {
	switch {
	case r.Lease != nil:
		return r.Lease.Expected, true
	case r.Report != nil:
		return r.Report.Expected, true
	default:
		return 0, false
	}
}

// RecordError means that a record cannot be encoded or decoded.
type RecordError struct {
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return "duty record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }
