package settings

import (
	"fmt"
	"strings"
)

// Error is one fault of a settings file.
type Error struct {
	// File is the path as it was given.
	File string
	// Line counts from 1; it is 0 when the fault has no line, for example
	// when the file cannot be read.
	Line int
	// Key is the dotted key, for example "listen.peers"; empty when the fault
	// has none.
	Key string
	// Problem says what is wrong.
	Problem string
	// Allowed says what the key takes.
	Allowed string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error. The text is one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		b.WriteString(": " + e.Key)
	}
	b.WriteString(": " + e.Problem)
	if e.Allowed != "" {
		b.WriteString("; allowed: " + e.Allowed)
	}
	return strings.ReplaceAll(b.String(), "\n", " ")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
