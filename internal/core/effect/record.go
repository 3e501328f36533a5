package effect

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// recordSchema is the schema version of the batches that this release reads and
// writes.
const recordSchema = 1

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	// KindClaim claims a key, that is, requests the permit to send its request.
	KindClaim Kind = "claim"
	// KindOutcome records the result of the request.
	KindOutcome Kind = "outcome"
	// KindRelease releases a claim whose request provably did not run.
	KindRelease Kind = "release"
	// KindTimestamp carries only a time. In a partition with little traffic it
	// shows how far back the log still holds the partition's records.
	KindTimestamp Kind = "mark"
)

// Record is one entry of a partition's stream.
type Record struct {
	Kind   Kind   `json:"kind"`
	Key    Key    `json:"key"`
	Digest Digest `json:"digest"`
	// Host, Incarnation and Nonce identify the claim. For a ticket, Nonce is
	// the ticket's serial number.
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"incarnation"`
	Nonce       uint64            `json:"nonce"`
	// Domain is the host's failure domain.
	Domain model.DomainName `json:"domain,omitempty"`
	// Generation is the number of releases of the key before this claim.
	Generation uint32 `json:"generation,omitempty"`
	// UnixMilli is when the record was made, by the host's clock.
	UnixMilli int64 `json:"unix_ms"`
	// Ticket reports whether the key is a ticket, which needs no claim.
	Ticket bool `json:"ticket,omitempty"`
	// Restored reports, in a timestamp record, that the host has seen the log
	// being restored from a copy, which may have lost records.
	Restored bool `json:"restored,omitempty"`
	// Result is the result of the request; set in outcome records only.
	Result *Result `json:"result,omitempty"`
}

// Time returns the time at which the record was made, by its host's clock.
func (r Record) Time() time.Time { return time.UnixMilli(r.UnixMilli) }

// owner returns the claim or ticket use that the record is about.
func (r Record) owner() Owner {
	return Owner{HostRef: HostRef{Host: r.Host, Incarnation: r.Incarnation}, Nonce: r.Nonce}
}

// Result is the result of a request.
type Result struct {
	// Outcome states whether the request may have taken effect.
	Outcome model.Outcome `json:"outcome"`
	// Status is the HTTP status of the response; 0 if there was none.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated reports that the response was too large to be stored; Body is
	// empty.
	Truncated bool `json:"truncated,omitempty"`
}

// HostRef identifies one incarnation of a host.
type HostRef struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Owner identifies one claim, or one use of a ticket.
type Owner struct {
	HostRef
	Nonce uint64
}

// Position is the position of a record in its partition's stream.
type Position struct {
	Offset model.Offset
	// Index is the index in the batch at Offset.
	Index int
}

// SchemaError reports that a batch on the log was written by an incompatible
// release or is corrupt. No claim that follows it in the partition can be decided.
type SchemaError struct {
	// Schema is the batch's schema version; 0 if it could not be read.
	Schema int
	// Cause is the underlying error; nil for an unknown schema version.
	Cause error
}

// Error implements error.
func (e *SchemaError) Error() string {
	if e.Cause != nil {
		return "cannot decode a batch of effect records: " + e.Cause.Error()
	}
	return fmt.Sprintf("batch of effect records has schema %d; this release supports %d", e.Schema, recordSchema)
}

// Unwrap returns the cause.
func (e *SchemaError) Unwrap() error { return e.Cause }

type batch struct {
	Schema  int               `json:"schema"`
	Entries []json.RawMessage `json:"entries"`
}

// EncodeRecord encodes one entry of a batch.
func EncodeRecord(rec Record) ([]byte, error) { return json.Marshal(rec) }

// EncodeBatch encodes a batch of encoded records as the content of one log
// record.
func EncodeBatch(entries [][]byte) ([]byte, error) {
	b := batch{Schema: recordSchema, Entries: make([]json.RawMessage, len(entries))}
	for i, entry := range entries {
		b.Entries[i] = entry
	}
	return json.Marshal(b)
}

// DecodeBatch decodes the records in the content of one log record. Errors are
// *SchemaError.
func DecodeBatch(data []byte) ([]Record, error) {
	var b batch
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, &SchemaError{Cause: err}
	}
	if b.Schema != recordSchema {
		return nil, &SchemaError{Schema: b.Schema}
	}
	records := make([]Record, len(b.Entries))
	for i, entry := range b.Entries {
		if err := json.Unmarshal(entry, &records[i]); err != nil {
			return nil, &SchemaError{Schema: b.Schema, Cause: err}
		}
	}
	return records, nil
}
