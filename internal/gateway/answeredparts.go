package gateway

import (
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// maxAnsweredParts is the number of parts of prompts from which on the half that was answered
// longest ago is forgotten.
const maxAnsweredParts = 4096

// answeredParts are the shared parts of prompts that endpoints have begun to answer of late.
// They tell a part that crashes endpoints from those that come with it. It is safe for
// concurrent use.
type answeredParts struct {
	mu sync.Mutex
	// recent and older are when each part was last answered.
	recent, older map[model.PartID]time.Time
}

func newAnsweredParts() *answeredParts {
	return &answeredParts{recent: make(map[model.PartID]time.Time)}
}

// record records that an endpoint has begun to answer a prompt.
func (a *answeredParts) record(now time.Time, p model.Prompt) {
	parts := p.SharedParts()
	if len(parts) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, part := range parts {
		if _, known := a.recent[part.ID]; !known && len(a.recent) >= maxAnsweredParts/2 {
			a.older, a.recent = a.recent, make(map[model.PartID]time.Time)
		}
		a.recent[part.ID] = now
	}
}

// last returns when endpoints last began to answer the given parts, without those that are not
// known to have been answered.
func (a *answeredParts) last(parts []model.PartID) map[model.PartID]time.Time {
	out := make(map[model.PartID]time.Time)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, generation := range []map[model.PartID]time.Time{a.older, a.recent} {
		for _, part := range parts {
			if at, known := generation[part]; known {
				out[part] = at
			}
		}
	}
	return out
}
