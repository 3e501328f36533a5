package membership

import (
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// setWork takes this host's own work, under a new sequence when it changed.
func (t *Table) setWork(work dispatch.PeerHost) {
	same := slices.Equal(work.InFlight, t.self.Work.InFlight) && slices.Equal(work.Demand, t.self.Work.Demand)
	if t.self.WorkSequence == 0 || !same {
		t.self.WorkSequence++
	}
	t.self.Work = work
}

// Trim leaves out of a heartbeat what the host at the address does not need:
// work that it showed to hold, all work when it is of another domain, and the
// room of its own domain.
func (t *Table) Trim(beat Heartbeat, address string) Heartbeat {
	c := t.contacts[address]
	if c == nil || c.domain == "" {
		return beat
	}
	if c.domain != t.opts.Domain {
		return withoutWork(beat)
	}
	beat.Domains = withoutRoom(beat.Domains, t.opts.Domain)
	m := t.members[c.host]
	if m == nil || m.beat.Address != address {
		return beat
	}
	beat.SeenWork = m.beat.WorkSequence
	if beat.WorkSequence == m.beat.SeenWork {
		return withoutWork(beat)
	}
	return beat
}

func withoutWork(beat Heartbeat) Heartbeat {
	beat.Work = dispatch.PeerHost{}
	beat.WorkUnchanged = true
	return beat
}

// withoutRoom drops the room of a domain and keeps its gateways, by which its
// hosts find each other.
func withoutRoom(digests []Digest, domain model.DomainName) []Digest {
	out := slices.Clone(digests)
	for i := range out {
		if out[i].Domain == domain {
			out[i].FreeRoom = nil
		}
	}
	return out
}

// keepWork completes a heartbeat without work by the work that is known. When
// that is of another sequence, the heartbeat counts as one of sequence 0, so
// that the sender learns to send all.
func keepWork(beat, known *Heartbeat) {
	if !beat.WorkUnchanged {
		return
	}
	beat.WorkUnchanged = false
	same := beat.Incarnation == known.Incarnation
	if !same || beat.WorkSequence != known.WorkSequence {
		beat.WorkSequence = 0
	}
	if same {
		beat.Work = known.Work
	}
}
