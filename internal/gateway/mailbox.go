package gateway

import (
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// maxWaitingMarks bounds the marks in a digest that waits for its receiver.
const maxWaitingMarks = 2048

// tell puts a digest into the mailbox, in place of one that was not sent.
func (p *peer) tell(d port.LoadDigest) {
	select {
	case before := <-p.mailbox:
		d = mergeDigests(before, d)
	default:
	}
	p.mailbox <- d
}

// mergeDigests returns the newer digest with what must not be lost of the older.
func mergeDigests(older, newer port.LoadDigest) port.LoadDigest {
	if newer.ViaRelay && newer.LoadsUnchanged && !older.ViaRelay {
		newer.ViaRelay, newer.LoadsUnchanged, newer.Loads = false, false, older.Loads
	}
	newer.CachedPrefixes = joinMarks(older.CachedPrefixes, newer.CachedPrefixes)
	newer.Changes = joinChanges(older.Changes, newer.Changes)
	if len(newer.KnownAddresses) == 0 {
		newer.KnownAddresses = older.KnownAddresses
	}
	sums := make(map[model.DomainName]port.DomainLoad)
	for _, sum := range older.Domains {
		sums[sum.Domain] = sum
	}
	for _, sum := range newer.Domains {
		sums[sum.Domain] = mergeSums(sums[sum.Domain], sum)
	}
	newer.Domains = nil
	for _, sum := range sums {
		newer.Domains = append(newer.Domains, sum)
	}
	return newer
}

// joinChanges returns the changes of both, or the newer ones when others are
// missing between them: receivers ask for the list then.
func joinChanges(older, newer port.ListChanges) port.ListChanges {
	switch {
	case len(newer.Records) == 0:
		return older
	case len(older.Records) == 0 || older.UpTo != newer.After:
		return newer
	}
	records := append(slices.Clone(older.Records), newer.Records...)
	return port.ListChanges{After: older.After, UpTo: newer.UpTo, Records: records}
}

// mergeSums returns the newer sum of a domain with the marks of both.
func mergeSums(older, newer port.DomainLoad) port.DomainLoad {
	newer.CachedPrefixes = joinMarks(older.CachedPrefixes, newer.CachedPrefixes)
	return newer
}

// joinMarks returns the newest marks of both lists. It changes neither, since
// several mailboxes hold them.
func joinMarks(older, newer []balance.Mark) []balance.Mark {
	if len(older) == 0 {
		return newer
	}
	out := make([]balance.Mark, 0, len(older)+len(newer))
	out = append(out, older...)
	out = append(out, newer...)
	return out[max(len(out)-maxWaitingMarks, 0):]
}
