package platform

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

// FaultChange is the body of POST /admin/faults. A field that is left out
// stays as it is.
type FaultChange struct {
	// Outage refuses every call with status 503 before it takes effect.
	Outage *bool `json:"outage,omitempty"`
	// Slow delays every call by this time before it takes effect. A call
	// whose caller has given up meanwhile may still take effect.
	Slow *opconfig.Duration `json:"slow,omitempty"`
	// LoseAppendAnswers is the number of following appends that take effect
	// and whose connection is closed without an answer.
	LoseAppendAnswers *int `json:"lose_append_answers,omitempty"`
	// DropRecords drops all records of the log now, as its retention would.
	DropRecords bool `json:"drop_records,omitempty"`
	// Partitioned are the hosts whose calls are cut: their connection is
	// closed without an answer and without effect.
	Partitioned *[]string `json:"partitioned,omitempty"`
	// ListLag is how late the host list shows what hosts announce.
	ListLag *opconfig.Duration `json:"list_lag,omitempty"`
}

// FaultState is the body of the answer to /admin/faults.
type FaultState struct {
	Outage            bool              `json:"outage"`
	Slow              opconfig.Duration `json:"slow"`
	LoseAppendAnswers int               `json:"lose_append_answers"`
	Partitioned       []string          `json:"partitioned"`
	ListLag           opconfig.Duration `json:"list_lag"`
}

// faults holds the switches.
type faults struct {
	mu    sync.Mutex
	state FaultState
	// changed is closed by the next change.
	changed chan struct{}
}

func newFaults(listLag time.Duration) *faults {
	return &faults{
		state:   FaultState{ListLag: opconfig.Duration(listLag), Partitioned: []string{}},
		changed: make(chan struct{}),
	}
}

// apply changes the switches and returns their new state.
func (f *faults) apply(change FaultChange) FaultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	assign(&f.state.Outage, change.Outage)
	assign(&f.state.Slow, change.Slow)
	assign(&f.state.LoseAppendAnswers, change.LoseAppendAnswers)
	assign(&f.state.Partitioned, change.Partitioned)
	assign(&f.state.ListLag, change.ListLag)
	close(f.changed)
	f.changed = make(chan struct{})
	return f.state
}

func assign[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// snapshot returns the switches and a channel that is closed by their next
// change.
func (f *faults) snapshot() (FaultState, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.changed
}

// takeLostAnswer reports whether to lose the answer of this append.
func (f *faults) takeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.LoseAppendAnswers <= 0 {
		return false
	}
	f.state.LoseAppendAnswers--
	return true
}

func (s FaultState) cuts(host string) bool { return slices.Contains(s.Partitioned, host) }
