package opconfig

import (
	"fmt"
	"strings"
)

// FieldError describes an invalid field of a configuration.
type FieldError struct {
	// Field names the field, for example `class "drafts": floor`.
	Field string
	// Got is the invalid value.
	Got string
	// Allowed describes the valid values.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", e.Field, e.Got, e.Allowed)
}

// ValidationError lists all invalid fields of a configuration.
type ValidationError struct {
	// Fields has at least one element.
	Fields []*FieldError
}

// Error implements error. It has one line per field.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// ParseError is returned for text that cannot be parsed as a configuration, and
// for a configuration that cannot be encoded.
type ParseError struct {
	// Line and Column are the position of the problem and count from 1; 0 if
	// unknown.
	Line   int
	Column int
	// Key is the dotted key with the problem; empty if unknown.
	Key string
	// Problem describes what is wrong.
	Problem string
}

// Error implements error.
func (e *ParseError) Error() string {
	if e.Line == 0 {
		return e.Problem
	}
	if e.Key == "" {
		return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Problem)
	}
	return fmt.Sprintf("line %d, column %d: key %s: %s", e.Line, e.Column, e.Key, e.Problem)
}
