package membership

import (
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// updateWork sets this host's own work, under a new sequence if it changed.
func (t *Table) updateWork(work dispatch.PeerHost) {
	same := slices.Equal(work.InFlight, t.self.Work.InFlight) && slices.Equal(work.Demand, t.self.Work.Demand)
	if t.self.WorkSequence == 0 || !same {
		t.self.WorkSequence++
	}
	t.self.Work = work
}

// TrimFor returns a heartbeat without the content that the host at the address
// does not need: work that it acknowledged, all work if it is of another
// failure domain, and the free capacity of its own domain.
func (t *Table) TrimFor(beat Heartbeat, address string) Heartbeat {
	c := t.contacts[address]
	if c == nil || c.domain == "" {
		return beat
	}
	if c.domain != t.opts.Domain {
		return withoutWork(beat)
	}
	beat.Domains = withoutRoom(beat.Domains, t.opts.Domain)
	m := t.members[c.host]
	if m == nil || m.heartbeat.Address != address {
		return beat
	}
	beat.AckedWorkSequence = m.heartbeat.WorkSequence
	if beat.WorkSequence == m.heartbeat.AckedWorkSequence {
		return withoutWork(beat)
	}
	return beat
}

// withoutWork returns a heartbeat that omits the work.
func withoutWork(beat Heartbeat) Heartbeat {
	beat.Work = dispatch.PeerHost{}
	beat.WorkUnchanged = true
	return beat
}

// withoutRoom removes the free capacity of a domain from its digest but keeps
// its gateways, through which its hosts find each other.
func withoutRoom(digests []Digest, domain model.DomainName) []Digest {
	out := slices.Clone(digests)
	for i := range out {
		if out[i].Domain == domain {
			out[i].FreeRoom = nil
		}
	}
	return out
}

// restoreOmittedWork fills in the work omitted from a heartbeat from the known
// one. If the known work has another sequence, the heartbeat gets sequence 0,
// so that the sender then sends its full work.
func restoreOmittedWork(beat, known *Heartbeat) {
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
