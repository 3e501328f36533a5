package opconfig

import (
	"fmt"
	"strings"
)

// FieldError says that one field of a configuration is wrong.
type FieldError struct {
	// Field names the field, for example `class "drafts": floor`.
	Field string
	// Got is the value found.
	Got string
	// Allowed says which values are allowed.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", e.Field, e.Got, e.Allowed)
}

// ValidationError holds everything that is wrong with a configuration.
type ValidationError struct {
	Fields []*FieldError
}

// Error implements error. It has one line a field.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// ParseError says where a text is not a configuration.
type ParseError struct {
	// Line and Column count from 1; 0 when not known.
	Line   int
	Column int
	// Key is the key in question; empty when not known.
	Key string
	// Problem says what is wrong.
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
