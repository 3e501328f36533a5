package model

import "strconv"

// PartID identifies the content of a part of a prompt, such as a system prompt
// or a document. Equal parts have equal IDs.
type PartID uint64

// String returns the ID in hexadecimal.
func (id PartID) String() string { return strconv.FormatUint(uint64(id), 16) }

// MarshalText implements encoding.TextMarshaler: JSON numbers are not exact enough.
func (id PartID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *PartID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*id = PartID(n)
	return err
}

// Part is a section of a prompt that an engine caches as a whole.
type Part struct {
	ID     PartID
	Tokens int
}

// Prompt describes the prompt of a model call. The zero value stands for a call
// to a plain service.
type Prompt struct {
	Model ModelName
	// Parts are the parts in prompt order. The last part is specific to the
	// request; all parts before it form the prefix that it shares with other
	// requests.
	Parts []Part
	// InputTokens is the length of the prompt in tokens, MaxOutputTokens the
	// largest length of the response in tokens.
	InputTokens     int
	MaxOutputTokens int
}

// SharedPrefixTokens returns the length in tokens of the prefix that the prompt
// shares with other requests.
func (p Prompt) SharedPrefixTokens() int {
	sum := 0
	for _, part := range p.SharedParts() {
		sum += part.Tokens
	}
	return sum
}

// SharedPrefixID returns the ID of the shared prefix, which is the ID of its
// last part: an engine uses a cached part only if all parts before it are cached
// too. It returns 0 if the prompt has no shared prefix.
func (p Prompt) SharedPrefixID() PartID {
	shared := p.SharedParts()
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].ID
}

// UnsharedTokens returns the length in tokens of the prompt without its shared
// prefix.
func (p Prompt) UnsharedTokens() int { return max(p.InputTokens-p.SharedPrefixTokens(), 0) }

// SharedParts returns all parts except the last one.
func (p Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedPartIDs returns the IDs of SharedParts.
func (p Prompt) SharedPartIDs() []PartID {
	shared := p.SharedParts()
	out := make([]PartID, 0, len(shared))
	for _, part := range shared {
		out = append(out, part.ID)
	}
	return out
}
