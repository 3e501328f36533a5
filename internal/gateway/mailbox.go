package gateway

import (
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// maxQueuedCacheUpdates limits the prefix cache updates in a queued digest.
const maxQueuedCacheUpdates = 2048

// enqueue puts a digest into the mailbox, merged with the one queued there, if
// any.
func (p *peer) enqueue(d port.LoadDigest) {
	select {
	case queued := <-p.mailbox:
		d = mergeDigests(queued, d)
	default:
	}
	p.mailbox <- d
}

// mergeDigests returns the newer digest with the content of the older one that
// is sent only once.
func mergeDigests(older, newer port.LoadDigest) port.LoadDigest {
	if newer.ByRelay && newer.KeepLoads && !older.ByRelay {
		newer.ByRelay, newer.KeepLoads, newer.Loads = false, false, older.Loads
	}
	newer.Marks = mergeCacheUpdates(older.Marks, newer.Marks)
	newer.Changes = mergeChanges(older.Changes, newer.Changes)
	if len(newer.Known) == 0 {
		newer.Known = older.Known
	}
	totals := make(map[model.DomainName]port.DomainLoad)
	for _, total := range older.Domains {
		totals[total.Domain] = total
	}
	for _, total := range newer.Domains {
		totals[total.Domain] = mergeTotals(totals[total.Domain], total)
	}
	newer.Domains = nil
	for _, total := range totals {
		newer.Domains = append(newer.Domains, total)
	}
	return newer
}

// mergeChanges returns the changes of both, or only the newer ones when changes
// are missing between them. Receivers then fetch the full list.
func mergeChanges(older, newer port.ListChanges) port.ListChanges {
	switch {
	case len(newer.Records) == 0:
		return older
	case len(older.Records) == 0 || older.Upto != newer.After:
		return newer
	}
	records := append(slices.Clone(older.Records), newer.Records...)
	return port.ListChanges{After: older.After, Upto: newer.Upto, Records: records}
}

// mergeTotals returns the newer total of a failure domain with the prefix cache
// updates of both.
func mergeTotals(older, newer port.DomainLoad) port.DomainLoad {
	newer.Marks = mergeCacheUpdates(older.Marks, newer.Marks)
	return newer
}

// mergeCacheUpdates returns the newest prefix cache updates of both lists. It
// modifies neither slice, since several mailboxes share them.
func mergeCacheUpdates(older, newer []balance.CacheUpdate) []balance.CacheUpdate {
	if len(older) == 0 {
		return newer
	}
	out := make([]balance.CacheUpdate, 0, len(older)+len(newer))
	out = append(out, older...)
	out = append(out, newer...)
	return out[max(len(out)-maxQueuedCacheUpdates, 0):]
}
