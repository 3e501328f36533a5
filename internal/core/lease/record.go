// Package lease decides which host of a failure domain may give orders to its
// endpoints. The lease stands on a stream of the platform's log; its fencing
// number is the offset of the record that began the term. Serving requests
// needs no lease.
package lease

import (
	"encoding/json"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// StreamPrefix begins the name of a domain's lease stream; the failure domain
// follows.
const StreamPrefix = "lease."

// Record is one entry of a lease stream. It is valid only at the offset that
// its author expected, so that of several authors one wins, and every reader
// knows which from the record alone.
type Record struct {
	// Expected is the offset at which the record is valid.
	Expected    model.Offset      `json:"expected"`
	Holder      model.HostID      `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Nonce identifies the append.
	Nonce uint64 `json:"nonce"`
	// Term is the offset at which the holder's term began; it is set in
	// renewals and releases.
	Term model.Offset `json:"term"`
	// Renews says that the record goes on with the term.
	Renews bool `json:"renews,omitempty"`
	// Released ends the term early.
	Released bool `json:"released,omitempty"`
	// Duration is how long the lease lasts, from before the append.
	Duration time.Duration `json:"duration"`
}

// Encode returns the record as it stands on the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, &RecordError{Cause: err}
	}
	return data, nil
}

func decode(data []byte) (*Record, error) {
	rec := &Record{}
	if err := json.Unmarshal(data, rec); err != nil {
		return nil, &RecordError{Cause: err}
	}
	return rec, nil
}

// RecordError means that a record cannot be written or read.
type RecordError struct {
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return "lease record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// fencing returns the number that endpoints compare.
func (r *Record) fencing() model.Offset {
	if r.Renews || r.Released {
		return r.Term
	}
	return r.Expected
}
