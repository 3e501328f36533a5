package effect

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// recordSchema is the schema version of batches on the log.
const recordSchema = 1

// Kind tells the records of a partition apart.
type Kind string

// The kinds of records.
const (
	// KindClaim asks for the right to send a key's request.
	KindClaim Kind = "claim"
	// KindOutcome tells how the request ended.
	KindOutcome Kind = "outcome"
	// KindRelease gives up a claim whose request was proved not run.
	KindRelease Kind = "release"
	// KindMark carries only a time. It shows how far back a partition that
	// has little traffic is kept.
	KindMark Kind = "mark"
)

// Record is one entry of a partition's stream.
type Record struct {
	Kind   Kind   `json:"kind"`
	Key    Key    `json:"key"`
	Digest Digest `json:"digest"`
	// Host, Incarnation and Nonce identify the claim. For a ticket, Nonce is
	// its serial.
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"incarnation"`
	Nonce       uint64            `json:"nonce"`
	// Domain is the host's failure domain.
	Domain model.DomainName `json:"domain,omitempty"`
	// Generation counts the releases of the key before this claim.
	Generation uint32 `json:"generation,omitempty"`
	// UnixMilli is when the record was made, by the host's clock.
	UnixMilli int64 `json:"unix_ms"`
	// Ticket says that the key is a ticket, which needs no claim.
	Ticket bool `json:"ticket,omitempty"`
	// Result is the end of the request, in an outcome record.
	Result *Result `json:"result,omitempty"`
}

// Time returns when the record was made.
func (r Record) Time() time.Time { return time.UnixMilli(r.UnixMilli) }

func (r Record) owner() Owner {
	return Owner{HostRef: HostRef{Host: r.Host, Incarnation: r.Incarnation}, Nonce: r.Nonce}
}

// Result is the end of a request.
type Result struct {
	// Outcome is what is known of the request's effect.
	Outcome model.Outcome `json:"outcome"`
	// Status is the HTTP status of the answer; 0 when there was none.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated says that the answer was too large to be kept. Body is empty.
	Truncated bool `json:"truncated,omitempty"`
}

// HostRef names one incarnation of a host.
type HostRef struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Owner names one claim, or one use of a ticket.
type Owner struct {
	HostRef
	Nonce uint64
}

// Place is where a record stands in its partition's stream.
type Place struct {
	Offset model.Offset
	// Index is the position in the batch at Offset.
	Index int
}

// SchemaError tells that a batch on the log was written by another release or
// is damaged. Nothing that follows it in the partition can be decided.
type SchemaError struct {
	// Schema is the batch's schema version; 0 when it could not be read.
	Schema int
	// Cause is the underlying error; nil for an unknown schema version.
	Cause error
}

// Error implements error.
func (e *SchemaError) Error() string {
	if e.Cause != nil {
		return "unreadable batch of effect records: " + e.Cause.Error()
	}
	return fmt.Sprintf("batch of effect records has schema %d; this release knows %d", e.Schema, recordSchema)
}

// Unwrap returns the cause.
func (e *SchemaError) Unwrap() error { return e.Cause }

type batch struct {
	Schema  int               `json:"schema"`
	Entries []json.RawMessage `json:"entries"`
}

// EncodeRecord encodes one entry of a batch.
func EncodeRecord(rec Record) ([]byte, error) { return json.Marshal(rec) }

// EncodeBatch joins encoded entries to the content of one log record.
func EncodeBatch(entries [][]byte) ([]byte, error) {
	b := batch{Schema: recordSchema, Entries: make([]json.RawMessage, len(entries))}
	for i, entry := range entries {
		b.Entries[i] = entry
	}
	return json.Marshal(b)
}

// DecodeBatch returns the entries of one log record, or a *SchemaError.
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
