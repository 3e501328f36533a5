// Package configstate decides which published configurations are accepted. It
// is a pure fold over the configuration stream of the platform's log: every
// host that reads the same records in offset order accepts the same versions.
// It considers only base versions and never the body, so that releases with
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

// RecordSchema is the only schema version of records that this release
// supports.
const RecordSchema = 1

// Record is a published configuration as stored on the log.
type Record struct {
	// Schema is the schema version, RecordSchema. Its name and position are the
	// same in every schema version.
	Schema int `json:"schema"`
	// PublishID identifies the publication, so that its author can find out
	// what became of a publication whose response was lost.
	PublishID string `json:"publish_id"`
	// Base is the version on which the author based the change.
	Base model.Version `json:"base"`
	// Version is the version of the configuration once accepted: Base + 1.
	Version model.Version `json:"version"`
	// Author is the name of the operator's token.
	Author string `json:"author"`
	// Note is the author's note to the next shift.
	Note string `json:"note"`
	// At is the time of publication by the author's clock.
	At time.Time `json:"at"`
	// Body is the configuration in TOML.
	Body []byte `json:"body"`
	// CarriedForward marks a copy of an accepted record that a host appended
	// before the log's retention dropped the original. The other fields are
	// those of the original.
	CarriedForward bool `json:"carried_forward,omitempty"`
	// FoldedTo is set in a copy: Version was in force after all records below
	// this offset.
	FoldedTo model.Offset `json:"folded_to,omitempty"`
	// CarriedAt is set in a copy: the time when it was appended.
	CarriedAt time.Time `json:"carried_at,omitzero"`
}

// Encode returns the record as stored on the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, &MalformedError{Cause: err}
	}
	return data, nil
}

// Decode decodes a record. It returns a *SchemaError for an unsupported schema
// version, else a *MalformedError.
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

// errNoVersion is the cause for a record without a version.
var errNoVersion = errors.New("no version")
