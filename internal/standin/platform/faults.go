package platform

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

// FaultChange is the body of POST /admin/faults. Omitted fields keep their
// values.
type FaultChange struct {
	// Outage refuses every call with status 503, without effect.
	Outage *bool `json:"outage,omitempty"`
	// Slow delays every call by this time before it takes effect. A call may
	// still take effect after its caller has given up.
	Slow *opconfig.Duration `json:"slow,omitempty"`
	// LoseAppendResponses is the number of following appends that take effect
	// but whose connection is closed without a response.
	LoseAppendResponses *int `json:"lose_append_answers,omitempty"`
	// DropRecords drops all records of the log at once, as if their retention
	// had ended.
	DropRecords bool `json:"drop_records,omitempty"`
	// TakeCopy takes a copy of the log. RestoreCopy replaces the log by that copy,
	// as after a loss of the platform's store, and begins a new era.
	TakeCopy    bool `json:"take_copy,omitempty"`
	RestoreCopy bool `json:"restore_copy,omitempty"`
	// Partitioned lists the hosts whose calls fail: their connection is closed
	// without a response, and the call has no effect.
	Partitioned *[]string `json:"partitioned,omitempty"`
	// ListLag is the delay until the host list shows an announcement.
	ListLag *opconfig.Duration `json:"list_lag,omitempty"`
}

// FaultState is the body of the responses of /admin/faults.
type FaultState struct {
	Outage              bool              `json:"outage"`
	Slow                opconfig.Duration `json:"slow"`
	LoseAppendResponses int               `json:"lose_append_answers"`
	Partitioned         []string          `json:"partitioned"`
	ListLag             opconfig.Duration `json:"list_lag"`
}

// faults holds the current fault state.
type faults struct {
	mu    sync.Mutex
	state FaultState
	// changed is closed and replaced by apply.
	changed chan struct{}
}

func newFaults(listLag time.Duration) *faults {
	return &faults{
		state:   FaultState{ListLag: opconfig.Duration(listLag), Partitioned: []string{}},
		changed: make(chan struct{}),
	}
}

// apply applies a change and returns the new state.
func (f *faults) apply(change FaultChange) FaultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	assignIfSet(&f.state.Outage, change.Outage)
	assignIfSet(&f.state.Slow, change.Slow)
	assignIfSet(&f.state.LoseAppendResponses, change.LoseAppendResponses)
	assignIfSet(&f.state.Partitioned, change.Partitioned)
	assignIfSet(&f.state.ListLag, change.ListLag)
	close(f.changed)
	f.changed = make(chan struct{})
	return f.state
}

// assignIfSet sets field to the value unless value is nil.
func assignIfSet[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// snapshot returns the current state and a channel that is closed by the next
// apply.
func (f *faults) snapshot() (FaultState, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.changed
}

// takeLostResponse reports whether to drop the response to the current append.
// It counts down LoseAppendResponses.
func (f *faults) takeLostResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.LoseAppendResponses <= 0 {
		return false
	}
	f.state.LoseAppendResponses--
	return true
}

// isPartitioned reports whether calls of a host fail.
func (s FaultState) isPartitioned(host string) bool { return slices.Contains(s.Partitioned, host) }
