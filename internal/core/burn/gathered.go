package burn

import (
	"encoding/json"
	"fmt"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Gathered holds the counts of several hosts, and says whose.
type Gathered struct {
	Snapshot Snapshot `json:"snapshot"`
	// Answered lists the hosts whose counts are in the snapshot.
	Answered []model.HostID `json:"answered"`
	// Missing lists the hosts and failure domains that did not answer. While
	// there are any, all counts are too low.
	Missing []Missing `json:"missing"`
}

// Missing is a host, or a whole failure domain, whose counts are not known.
type Missing struct {
	Domain model.DomainName `json:"domain"`
	// Host is empty when the whole failure domain did not answer.
	Host model.HostID `json:"host,omitempty"`
	// Reason says why, for example "no answer for 2s".
	Reason string `json:"reason"`
}

// Name returns the name of the host or of the failure domain.
func (m *Missing) Name() string {
	if m.Host == "" {
		return "failure domain " + string(m.Domain)
	}
	return "host " + string(m.Host)
}

// Add merges what another host gathered.
func (g *Gathered) Add(o Gathered) {
	g.Snapshot = Merge(g.Snapshot, o.Snapshot)
	g.Answered = append(g.Answered, o.Answered...)
	g.Missing = append(g.Missing, o.Missing...)
}

// Encode returns the counts as bytes for other hosts.
func (g Gathered) Encode() ([]byte, error) { return json.Marshal(g) }

// Decode reads what Encode wrote. It fails with a *DecodeError.
func Decode(data []byte) (Gathered, error) {
	var g Gathered
	if err := json.Unmarshal(data, &g); err != nil {
		return Gathered{}, &DecodeError{Cause: err}
	}
	for _, row := range g.Snapshot.Rows {
		if row.Objective < 0 || row.Objective > 1 {
			return Gathered{}, &DecodeError{Cause: fmt.Errorf("objective %v of class %s is not from 0 to 1", row.Objective, row.Class)}
		}
	}
	return g, nil
}
