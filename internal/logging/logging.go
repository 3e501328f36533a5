// Package logging sets up the log of the process and provides loggers with a fixed
// prefix for the parts of the program.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/wigeonsail/wigeonsail/internal/settings"
)

// Error is returned for an invalid log setting.
type Error struct {
	// Setting is "level" or "format".
	Setting string
	// Value is the invalid value.
	Value string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("unknown log %s %q", e.Setting, e.Value) }

// Setup directs the log of the process to w: standard output for the gateway
// command, standard error for all others. It fails with an *Error.
func Setup(w io.Writer, s settings.Log) error {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		return &Error{Setting: "level", Value: s.Level}
	}
	var handler log.Handler
	switch s.Format {
	case "text":
		handler = newTextHandler(w)
	case "json":
		handler = json.New(w)
	default:
		return &Error{Setting: "format", Value: s.Format}
	}
	processLevel.Store(int64(level))
	log.SetHandler(&levelHandler{next: handler, level: &processLevel})
	log.SetLevel(log.DebugLevel)
	return nil
}

// processLevel is the minimum level of the entries that the process logs.
var processLevel atomic.Int64

// SetLevel changes the level of the process's log. It is safe to call while other
// goroutines log. It fails with an *Error.
func SetLevel(name string) error {
	level, err := log.ParseLevel(name)
	if err != nil {
		return &Error{Setting: "level", Value: name}
	}
	processLevel.Store(int64(level))
	return nil
}

// levelHandler drops entries below a level that can be changed concurrently,
// unlike the level of package log.
type levelHandler struct {
	next  log.Handler
	level *atomic.Int64
}

// HandleLog implements log.Handler.
func (h *levelHandler) HandleLog(e *log.Entry) error {
	if int64(e.Level) < h.level.Load() {
		return nil
	}
	return h.next.HandleLog(e)
}

// Logger logs messages of one part of the program, each with the part's prefix.
type Logger struct {
	prefix string
	entry  *log.Entry
}

// For returns the logger of a part, for example "peers". Its messages start
// with "peers: ".
func For(part string) *Logger {
	return &Logger{prefix: part + ": ", entry: log.NewEntry(log.Log.(*log.Logger))}
}

// With returns a logger that adds a field to each message. The value must not be
// a secret.
func (l *Logger) With(name string, value any) *Logger {
	return &Logger{prefix: l.prefix, entry: l.entry.WithField(name, value)}
}

// WithError returns a logger that adds the error's text to each message.
func (l *Logger) WithError(err error) *Logger {
	return &Logger{prefix: l.prefix, entry: l.entry.WithError(err)}
}

// Debug logs a message for tracing single requests.
func (l *Logger) Debug(msg string) { l.entry.Debug(l.prefix + msg) }

// Info logs a message about normal operation.
func (l *Logger) Info(msg string) { l.entry.Info(l.prefix + msg) }

// Warn logs a message about a problem that the host handles itself.
func (l *Logger) Warn(msg string) { l.entry.Warn(l.prefix + msg) }

// Error logs a message about a problem that an operator has to resolve.
func (l *Logger) Error(msg string) { l.entry.Error(l.prefix + msg) }
