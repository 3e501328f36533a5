// Package configstate decides which published configurations are accepted. It
// is a pure fold over the configuration stream of the platform's log: every
// host that reads the same records in offset order accepts the same versions.
// It looks at base versions only, never at the body, so that releases with
// different validation agree as well.
package configstate

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Stream names the stream of the platform's log that carries configurations.
const Stream = "config"

// RecordSchema is the only version of the record's form that this release
// folds.
const RecordSchema = 1

// Record is one published configuration as it stands on the log.
type Record struct {
	// Schema is RecordSchema. Its name and place are the same in every
	// version of the form.
	Schema int `json:"schema"`
	// PublishID identifies the publication, so that its author can settle a
	// lost answer.
	PublishID string `json:"publish_id"`
	// Base is the version that the author changed.
	Base model.Version `json:"base"`
	// Version is the version that the record becomes when it is accepted:
	// Base + 1.
	Version model.Version `json:"version"`
	// Author is the name of the operator's token.
	Author string `json:"author"`
	// Note is the author's note to the next shift.
	Note string `json:"note"`
	// At is the author's time.
	At time.Time `json:"at"`
	// Body is the configuration in TOML.
	Body []byte `json:"body"`
	// CarriedForward marks a copy of an accepted record that a host appended
	// ahead of the log's retention. The other fields are those of the
	// original.
	CarriedForward bool `json:"carried_forward,omitempty"`
	// FoldedTo belongs to a copy: Version was in force after all records
	// below this offset.
	FoldedTo model.Offset `json:"folded_to,omitempty"`
	// CarriedAt belongs to a copy: when it was appended.
	CarriedAt time.Time `json:"carried_at,omitzero"`
}

// Encode returns the record as it stands on the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, &MalformedError{Cause: err}
	}
	return data, nil
}

// Decode reads a record. It fails with a *SchemaError for a version of the
// form that this release does not know, else with a *MalformedError.
func Decode(data []byte) (*Record, error) {
	var envelope struct {
		Schema int `json:"schema"`
	}
	if err := json.Unmarshal(data, &envelope); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	if envelope.Schema <= 0 {
		return nil, &MalformedError{}
	}
	if envelope.Schema != RecordSchema {
		return nil, &SchemaError{Schema: envelope.Schema}
	}
	rec := &Record{}
	if err := json.Unmarshal(data, rec); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	if rec.Version == 0 {
		return nil, &MalformedError{Cause: errNoVersion}
	}
	return rec, nil
}

// errNoVersion is the fault of a record without a version.
var errNoVersion = errors.New("no version")
