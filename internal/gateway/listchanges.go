package gateway

import (
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

// listFetchDelay is how long a host waits to receive a change that a peer has
// before it fetches the list. It leaves most of the time in which a leaving
// endpoint may still get requests, about 2 s.
const listFetchDelay = 400 * time.Millisecond

// missingChanges describes changes of the list of endpoints that a peer has and
// this host lacks.
type missingChanges struct {
	// upto is the offset after the newest change known at a peer, peer the
	// peer's address, and since the time when this host began to lack changes.
	upto  model.Offset
	peer  string
	since time.Time
}

// applyListRead applies the result of this host's read of the list of
// endpoints, and queues the changes for its peers.
func (c *control) applyListRead(now time.Time, update listUpdate) {
	c.directory.RecordStoreRead(now)
	c.lastListRead = now
	c.listReadFailing = false
	c.nextListOffset = max(c.nextListOffset, update.next)
	if update.full {
		var entries []directory.Entry
		for _, rec := range update.records {
			if !rec.Removed {
				entries = append(entries, rec.Entry)
			}
		}
		c.applyEndpointChanges(now, c.directory.Replace(now, entries))
		// Peers may have changes that this host never received.
		c.listChangeOffset = c.nextListOffset
		c.peers.requestDigests()
		return
	}
	applied := c.applyRecords(now, update.records)
	if len(applied) == 0 {
		return
	}
	c.peers.digests.queueChanges(port.ListChanges{After: c.listChangeOffset, UpTo: c.nextListOffset, Records: applied})
	c.listChangeOffset = c.nextListOffset
}

// applyRecords applies changes of the list and returns the records that changed
// it.
func (c *control) applyRecords(now time.Time, records []port.ListRecord) []port.ListRecord {
	var applied []port.ListRecord
	var changes []directory.Change
	for _, rec := range records {
		var change directory.Change
		var changed bool
		if rec.Removed {
			if c.directory.Has(rec.Name) {
				applied = append(applied, rec)
			}
			change, changed = c.directory.Remove(now, rec.Name)
		} else {
			wasMissing := c.directory.IsMissing(rec.Name)
			change, changed = c.directory.Put(rec.Entry)
			if changed || wasMissing {
				applied = append(applied, rec)
			}
		}
		if changed {
			changes = append(changes, change)
		}
	}
	c.applyEndpointChanges(now, changes)
	return applied
}

// recordListFailure records that this host could not read the list, and reports
// the first failure to the peers.
func (c *control) recordListFailure() {
	if !c.listReadFailing {
		c.listReadFailing = true
		c.peers.requestDigests()
	}
}

// receiveListChanges applies the list changes in a digest. If changes are
// missing, it records the peer from which to fetch them.
func (c *control) receiveListChanges(now time.Time, d port.LoadDigest) {
	if len(d.Changes.Records) > 0 && d.Changes.After <= c.nextListOffset && d.Changes.UpTo > c.nextListOffset {
		c.applyRecords(now, d.Changes.Records)
		c.nextListOffset = d.Changes.UpTo
		c.listChangeOffset = max(c.listChangeOffset, d.Changes.UpTo)
	}
	if d.ListChangeOffset <= c.nextListOffset || d.ListChangeOffset <= c.missing.upto {
		return
	}
	if c.missing.upto <= c.nextListOffset {
		c.missing.since = now
	}
	c.missing.upto, c.missing.peer = d.ListChangeOffset, d.Address
}

// fetchMissingChanges obtains list changes that peers have and this host lacks,
// if there are any. It fetches the list from the peer, at once if this host's
// reads of the store fail, else after listFetchDelay; a reader whose reads
// succeed reads the store at once instead.
func (c *control) fetchMissingChanges(now time.Time) {
	if c.missing.upto <= c.nextListOffset {
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
