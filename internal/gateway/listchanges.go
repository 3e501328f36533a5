package gateway

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// How the list of endpoints reaches all hosts, given that calls to the
// platform's store are rate-limited and priced for all hosts together:
//
//  1. Some hosts read the store and send the changes to all others.
//  2. A host that learns of a change that it did not receive, or receives a
//     change after a missing one, waits a little and fetches the full list from
//     the peer.
//  3. A host that reads the store itself reads at once instead. A host whose
//     reads of the store fail fetches the list at once.
//  4. Whatever the source, a host applies each record of the log once. Records before
//     its position are known: to apply them again would revive endpoints that have
//     left since.

// listFetchDelay is how long a host waits to receive a change that a peer has
// before it fetches the list. It leaves most of the time in which a leaving
// endpoint may still get requests, about 2 s.
const listFetchDelay = 400 * time.Millisecond

// missingChanges describes changes of the list of endpoints that a peer has and
// this host lacks.
type missingChanges struct {
	// upto is the position after the newest change known at a peer, peer the
	// peer's address, and since the time when this host began to lack changes.
	upto  model.Position
	peer  string
	since time.Time
}

// applyListRead applies the result of this host's read of the list of
// endpoints, and queues the changes for its peers. It ignores a late response from
// before the store was restored.
func (c *control) applyListRead(now time.Time, update listUpdate) {
	if update.next.Era < c.nextInList.Era {
		c.gateway.opts.Log.WithFields(fields{"era": update.next.Era, "known": c.nextInList.Era}).Warn("lists: response from before the restoration ignored")
		return
	}
	c.noticeStandstill(now)
	// The first list that a host reads itself may replace one of a peer.
	hasGap := !c.lastListRead.IsZero() && !c.isListCurrent(now)
	asOf := c.agedBySuspension(update.asOf, update.suspended)
	if !update.full && !c.lastListRead.IsZero() {
		c.recordPublished(update.records, c.lastListRead)
	}
	c.directory.RecordStoreRead(now, asOf)
	c.lastListRead = asOf
	c.listReadFailing = false
	if update.full {
		if c.nextInList.IsAfter(update.next) {
			c.gateway.opts.Log.WithFields(fields{"offset": update.next.Offset, "known": c.nextInList.Offset}).Info("lists: full list is older than known changes, ignored")
			return
		}
		list := port.EndpointList{Next: update.next}
		for _, rec := range update.records {
			if !rec.Removed {
				list.Entries = append(list.Entries, rec.Entry)
			}
		}
		if hasGap {
			c.interruptVersions(now)
		}
		c.replaceList(now, list, sourceStore)
		// Peers may have changes that this host never received.
		c.lastListChange = c.nextInList
		c.peers.requestDigests()
		c.barrier.recordRead(update.asOf)
		return
	}
	applied := c.applyRecords(now, recordsFrom(c.nextInList, update.records), sourceStore)
	c.nextInList = model.LaterPosition(c.nextInList, update.next)
	c.barrier.recordRead(update.asOf)
	if len(applied) == 0 {
		return
	}
	c.peers.digests.queueChanges(port.ListChanges{After: c.lastListChange, UpTo: c.nextInList, Records: applied})
	c.lastListChange = c.nextInList
}

// replaceList replaces the list of endpoints by a complete one. If it is the first one
// of a new era of the store, what is known to be newer is kept.
func (c *control) replaceList(now time.Time, list port.EndpointList, source string) {
	replace := c.directory.Replace
	if list.Next.Era > c.nextInList.Era && c.nextInList != (model.Position{}) {
		replace = c.directory.Restore
		c.gateway.opts.Log.WithFields(fields{"era": list.Next.Era, "before": c.nextInList.Era}).Warn("lists: store was restored, keeping newer entries")
	}
	if c.nextInList == (model.Position{}) {
		c.firstListAt = now
	}
	c.enterEra(now, list.Next.Era)
	c.nextInList = model.LaterPosition(c.nextInList, list.Next)
	c.applyEndpointChanges(now, replace(now, list.Entries, list.Withheld...), source)
}

// recordsFrom returns the records at or after a position of the same era.
func recordsFrom(next model.Position, records []port.ListRecord) []port.ListRecord {
	var out []port.ListRecord
	for _, rec := range records {
		if rec.At >= next.Offset {
			out = append(out, rec)
		}
	}
	return out
}

// applyRecords applies changes of the list and returns the records that other hosts need:
// those that changed it, and all of them while other hosts may hold other entries.
func (c *control) applyRecords(now time.Time, records []port.ListRecord, source string) []port.ListRecord {
	if c.directory.IsChecking(now) {
		c.applyEffectiveRecords(now, records, source)
		return records
	}
	return c.applyEffectiveRecords(now, records, source)
}

// applyEffectiveRecords applies changes of the list and returns the records that changed
// it or what is withheld from it.
func (c *control) applyEffectiveRecords(now time.Time, records []port.ListRecord, source string) []port.ListRecord {
	var applied []port.ListRecord
	for _, rec := range records {
		var change directory.Change
		var changed bool
		if rec.Removed {
			if _, listed := c.directory.Lookup(rec.Name); listed || c.directory.IsWithheld(rec.Name) {
				applied = append(applied, rec)
			}
			change, changed = c.directory.Remove(now, rec.Name)
			if !changed && c.directory.IsMissing(rec.Name) {
				logRemovalDelayed(c.gateway.opts.Log, rec.Name, source)
			}
		} else {
			wasMissing := c.directory.IsMissing(rec.Name)
			change, changed = c.directory.Put(now, rec.Entry)
			if changed || wasMissing {
				applied = append(applied, rec)
			}
		}
		if changed {
			// Each by itself, so that versions which come and go are seen.
			c.applyEndpointChanges(now, []directory.Change{change}, source)
		}
	}
	return applied
}

// recordListFailure records that this host could not read the list, and reports
// the first failure to the peers.
func (c *control) recordListFailure() {
	c.directory.RecordReadFailure()
	if !c.listReadFailing {
		c.listReadFailing = true
		c.peers.requestDigests()
	}
}

// receiveListChanges applies the list changes in a digest. If changes are
// missing, it records the peer from which to fetch them.
func (c *control) receiveListChanges(now time.Time, d port.LoadDigest) {
	if c.continuesList(d.Changes) {
		c.applyRecords(now, recordsFrom(c.nextInList, d.Changes.Records), "peer "+d.Address)
		if c.peers.digests.isRelay {
			c.peers.digests.queueChanges(d.Changes)
		}
		c.nextInList = d.Changes.UpTo
		c.lastListChange = model.LaterPosition(c.lastListChange, d.Changes.UpTo)
	}
	if !d.ListChange.IsAfter(c.nextInList) || !d.ListChange.IsAfter(c.missing.upto) {
		return
	}
	if !c.lacksChanges() {
		c.missing.since = now
	}
	c.missing.upto, c.missing.peer = d.ListChange, d.Address
}

// continuesList reports whether changes contain new records and none are missing
// before them. Changes of another era do not: only a complete list starts an era.
func (c *control) continuesList(changes port.ListChanges) bool {
	return len(changes.Records) > 0 && changes.After.Era == c.nextInList.Era &&
		!changes.After.IsAfter(c.nextInList) && changes.UpTo.IsAfter(c.nextInList) && areWithin(changes)
}

// areWithin reports whether the records lie in the range that they claim to be. Those
// of an earlier build of this program do not, since they have no offsets.
func areWithin(changes port.ListChanges) bool {
	return !slices.ContainsFunc(changes.Records, func(rec port.ListRecord) bool {
		return rec.At < changes.After.Offset || rec.At >= changes.UpTo.Offset
	})
}

// lacksChanges reports whether a peer has list changes that this host lacks.
func (c *control) lacksChanges() bool { return c.missing.upto.IsAfter(c.nextInList) }

// fetchMissingChanges obtains list changes that peers have and this host lacks,
// if there are any. It fetches the list from the peer, at once if this host's
// reads of the store fail, else after listFetchDelay; a reader whose reads
// succeed reads the store at once instead.
func (c *control) fetchMissingChanges(now time.Time) {
	if !c.lacksChanges() {
		return
	}
	switch {
	case c.listReadFailing:
		c.fetchList(now, c.missing.peer)
	case c.gateway.reading.Load():
		c.gateway.requestListRead()
	case now.Sub(c.missing.since) >= listFetchDelay:
		c.fetchList(now, c.missing.peer)
	}
}

// requestListRead makes the host read the list of endpoints at once.
func (g *Gateway) requestListRead() {
	select {
	case g.readListNow <- struct{}{}:
	default:
	}
}
