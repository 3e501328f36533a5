package model

// PartID identifies a part of a prompt, such as a system prompt or a document.
// Equal parts have equal IDs.
type PartID uint64

// Part is a piece of a prompt that an engine caches as a whole.
type Part struct {
	ID     PartID
	Tokens int
}

// Prompt is what is known of the prompt of a model call. The zero value stands
// for a call to a plain service.
type Prompt struct {
	Model ModelName
	// Parts are in the order of the prompt. The last one belongs to the request
	// itself; those before it are shared with other requests.
	Parts []Part
	// InputTokens is the length of the prompt, MaxOutputTokens the largest
	// length of the answer.
	InputTokens     int
	MaxOutputTokens int
}

// SharedTokens is the length of the parts that other requests have too.
func (p Prompt) SharedTokens() int {
	sum := 0
	for _, part := range p.shared() {
		sum += part.Tokens
	}
	return sum
}

// SharedKey identifies the shared parts: the ID of the last one, since an
// engine uses a cached part only after all parts before it. It is 0 when the
// prompt shares nothing.
func (p Prompt) SharedKey() PartID {
	shared := p.shared()
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].ID
}

// OwnTokens is the length of what only this request has.
func (p Prompt) OwnTokens() int { return max(p.InputTokens-p.SharedTokens(), 0) }

func (p Prompt) shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
