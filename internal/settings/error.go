package settings

import (
	"fmt"
	"strings"
)

// Error describes one problem in a settings file.
type Error struct {
	// File is the path as given.
	File string
	// Line counts from 1; 0 if the problem has no line, for example if the file
	// cannot be read.
	Line int
	// Key is the dotted key, for example "listen.peers"; empty if the problem
	// concerns no key.
	Key string
	// Problem describes what is wrong.
	Problem string
	// Allowed describes the valid values of the key.
	Allowed string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error. It returns a single line.
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
