// Package lease elects the host of a failure domain that may give orders to the
// endpoints of the domain. The lease is a sequence of records on a stream of the
// platform's log. Its fencing number (fencing token) is the offset of the record
// that began the holder's term. Serving requests needs no lease.
package lease

import (
	"encoding/json"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// StreamPrefix is the prefix of the name of a lease stream; the name of the
// failure domain follows.
const StreamPrefix = "lease."

// Record is one entry of a lease stream. It is valid only at the offset that its
// author expected. Of several concurrent authors, therefore, exactly one
// succeeds, and every reader can determine which one from the records alone.
type Record struct {
	// Expected is the only offset at which the record is valid.
	Expected    model.Offset      `json:"expected"`
	Holder      model.HostID      `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Nonce identifies the append that wrote the record.
	Nonce uint64 `json:"nonce"`
	// Term is the offset at which the term of the holder began. It is set in
	// renewals and releases.
	Term model.Offset `json:"term"`
	// Renews means that the record extends the term.
	Renews bool `json:"renews,omitempty"`
	// Released means that the record ends the term early.
	Released bool `json:"released,omitempty"`
	// Duration is how long the lease lasts, counted by the holder from the time
	// before the append.
	Duration time.Duration `json:"duration"`
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

// RecordError means that a record cannot be encoded or decoded.
type RecordError struct {
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return "lease record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// fencingNumber returns the number that endpoints compare to reject the orders
// of earlier holders.
func (r *Record) fencingNumber() model.Offset {
	if r.Renews || r.Released {
		return r.Term
	}
	return r.Expected
}
