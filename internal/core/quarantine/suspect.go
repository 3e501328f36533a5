package quarantine

import (
	"strconv"
	"strings"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Kind is a kind of suspect.
type Kind uint8

// The kinds of suspects.
const (
	// KindPart is a shared part of prompts.
	KindPart Kind = iota
	// KindRequest is a whole request, which comes again with the same content.
	KindRequest
)

// Suspect is content of requests that may crash endpoints.
type Suspect struct {
	Kind Kind
	// ID is a model.PartID or a model.Fingerprint.
	ID uint64
}

// Part returns the suspect for a part of prompts.
func Part(id model.PartID) Suspect { return Suspect{Kind: KindPart, ID: uint64(id)} }

// Request returns the suspect for a whole request.
func Request(f model.Fingerprint) Suspect { return Suspect{Kind: KindRequest, ID: uint64(f)} }

// requestPrefix precedes the IDs of whole requests in texts.
const requestPrefix = "request-"

// String returns the text of a suspect in logs and in the store.
func (s Suspect) String() string {
	id := strconv.FormatUint(s.ID, 16)
	if s.Kind == KindRequest {
		return requestPrefix + id
	}
	return id
}

// ParseSuspect returns the suspect with the given text.
func ParseSuspect(text string) (Suspect, error) {
	out := Suspect{}
	id, isRequest := strings.CutPrefix(text, requestPrefix)
	if isRequest {
		out.Kind = KindRequest
	}
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return Suspect{}, &SuspectError{Text: text}
	}
	out.ID = n
	return out, nil
}

// SuspectError is the error for a text that is no suspect.
type SuspectError struct{ Text string }

// Error implements error.
func (e *SuspectError) Error() string { return "malformed suspect " + strconv.Quote(e.Text) }

// MarshalText implements encoding.TextMarshaler.
func (s Suspect) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Suspect) UnmarshalText(text []byte) error {
	parsed, err := ParseSuspect(string(text))
	*s = parsed
	return err
}
