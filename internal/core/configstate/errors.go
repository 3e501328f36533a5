package configstate

import (
	"fmt"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// MalformedError means that a record is not a configuration in any schema
// version. All releases ignore such records.
type MalformedError struct {
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Cause == nil {
		return "record has no schema version"
	}
	return "record is not a configuration: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// SchemaError means that a record has a schema version that this release does
// not support.
type SchemaError struct {
	Schema int
}

// Error implements error.
func (e *SchemaError) Error() string {
	return fmt.Sprintf("record has schema version %d; this release knows %d", e.Schema, RecordSchema)
}

// StoppedError means that this host's State has stopped for good: a later
// release has published a record with a schema that this release cannot read.
type StoppedError struct {
	// Version is the last accepted version. It stays in force.
	Version model.Version
	// Offset is the offset of the record that could not be read.
	Offset model.Offset
	// Schema is that record's schema version.
	Schema int
}

// Error implements error.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("stopped at version %d: the record at offset %d has schema version %d, this release knows %d; install a newer release",
		e.Version, e.Offset, e.Schema, RecordSchema)
}
