package gateway

import (
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// maxQueuedCacheUpdates limits the prefix cache updates in a queued digest.
const maxQueuedCacheUpdates = 2048

// maxQueuedBegins limits the begins of streams in a queued digest.
const maxQueuedBegins = 4096

// enqueue puts a digest into the mailbox, merged with the one queued there, if
// any. It does nothing without a link to the peer.
func (p *peer) enqueue(d port.LoadDigest) {
	if !p.isLinked() {
		return
	}
	d.Subscribes, d.PackLoads = p.subscribes, p.unpacks
	p.addStatement(&d)
	select {
	case queued := <-p.mailbox:
		d = mergeDigests(queued, d)
	default:
	}
	p.mailbox <- d
}

// addStatement adds to a digest what a peer is told once per statementInterval: an echo of its
// own digests and the build of this host.
func (p *peer) addStatement(d *port.LoadDigest) {
	if p.statedAt != 0 && d.SentAt-p.statedAt < statementInterval {
		d.Build = model.Build{}
		return
	}
	p.statedAt = d.SentAt
	d.Echo = p.clock.echo(p.incarnation)
}

// mergeDigests returns the newer digest with the content of the older one that
// is sent only once.
func mergeDigests(older, newer port.LoadDigest) port.LoadDigest {
	viaRelay := newer.ViaRelay && (!newer.LoadsUnchanged || older.ViaRelay)
	newer.AccountWork = mergeAccountWork(older, newer, viaRelay)
	switch {
	case newer.ViaRelay && newer.LoadsUnchanged && !older.ViaRelay:
		newer.ViaRelay, newer.LoadsUnchanged, newer.Loads, newer.Report = false, false, older.Loads, older.Report
	case newer.ViaRelay && newer.LoadsUnchanged && !older.LoadsUnchanged:
		// The older digest withdraws the sender's loads.
		newer.LoadsUnchanged = false
	}
	newer.CacheUpdates = mergeCacheUpdates(older.CacheUpdates, newer.CacheUpdates)
	newer.Demand = mergeDemand(older.Demand, newer.Demand)
	newer.StreamBegins = mergeNewest(older.StreamBegins, newer.StreamBegins)
	newer.StreamSources = mergeNewest(older.StreamSources, newer.StreamSources)
	newer.Usage = usage.MergeRecords(older.Usage, newer.Usage)
	newer.Changes = mergeChanges(older.Changes, newer.Changes)
	if newer.Echo == (port.DigestEcho{}) {
		newer.Echo = older.Echo
	}
	if newer.Build == (model.Build{}) {
		newer.Build = older.Build
	}
	if len(newer.Hosts) == 0 {
		newer.Hosts = older.Hosts
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

// maxMergedChanges bounds the changes that wait for a peer, so that they fit into a message
// however many entries other writers have written.
const maxMergedChanges = 4096

// mergeChanges returns the changes of both, or only the newer ones when changes
// are missing between them or there are too many. Receivers then fetch the full list.
func mergeChanges(older, newer port.ListChanges) port.ListChanges {
	switch {
	case len(newer.Records) == 0:
		return older
	case len(older.Records) == 0 || older.UpTo != newer.After || len(older.Records)+len(newer.Records) > maxMergedChanges:
		return newer
	}
	records := append(slices.Clone(older.Records), newer.Records...)
	return port.ListChanges{After: older.After, UpTo: newer.UpTo, Records: records}
}

// mergeTotals returns the newer total of a failure domain with the prefix cache
// updates of both.
func mergeTotals(older, newer port.DomainLoad) port.DomainLoad {
	newer.CacheUpdates = mergeCacheUpdates(older.CacheUpdates, newer.CacheUpdates)
	return newer
}

// mergeNewest returns the begins of streams of both lists, at most the newest ones. It
// modifies neither slice, since several mailboxes share them.
func mergeNewest[T any](older, newer []T) []T {
	if len(older) == 0 {
		return newer
	}
	out := slices.Concat(older, newer)
	return out[max(len(out)-maxQueuedBegins, 0):]
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
