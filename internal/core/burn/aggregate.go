package burn

import (
	"encoding/json"
	"fmt"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Aggregate holds the summed counts of several hosts and lists which hosts are
// included and which are missing.
type Aggregate struct {
	Snapshot Snapshot `json:"snapshot"`
	// Answered lists the hosts whose counts are included in the snapshot.
	Answered []model.HostID `json:"answered"`
	// Missing lists the hosts and failure domains that did not answer. If there
	// are any, all counts are too low.
	Missing []Missing `json:"missing"`
}

// Missing is a host, or a whole failure domain, whose counts are not included.
type Missing struct {
	Domain model.DomainName `json:"domain"`
	// Host is empty when the whole failure domain did not answer.
	Host model.HostID `json:"host,omitempty"`
	// Reason is the cause, for example "no answer for 2s".
	Reason string `json:"reason"`
}

// Name returns the name of the host or of the failure domain.
func (m *Missing) Name() string {
	if m.Host == "" {
		return "failure domain " + string(m.Domain)
	}
	return "host " + string(m.Host)
}

// Add merges the aggregate of another host into a.
func (a *Aggregate) Add(o Aggregate) {
	a.Snapshot = Merge(a.Snapshot, o.Snapshot)
	a.Answered = append(a.Answered, o.Answered...)
	a.Missing = append(a.Missing, o.Missing...)
}

// Encode returns the aggregate as JSON, the format that hosts exchange.
func (a Aggregate) Encode() ([]byte, error) { return json.Marshal(a) }

// Decode parses the output of Encode. Its error is a *DecodeError.
func Decode(data []byte) (Aggregate, error) {
	var a Aggregate
	if err := json.Unmarshal(data, &a); err != nil {
		return Aggregate{}, &DecodeError{Cause: err}
	}
	for _, row := range a.Snapshot.Rows {
		if row.Objective < 0 || row.Objective > 1 {
			return Aggregate{}, &DecodeError{Cause: fmt.Errorf("objective %v of class %s is not from 0 to 1", row.Objective, row.Class)}
		}
	}
	return a, nil
}
