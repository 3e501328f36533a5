package gateway

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// How the list of endpoints reaches all hosts, since calls to the platform's
// store are limited and priced for all of them together:
//
//  1. Some hosts read the store. They tell all others what has changed.
//  2. A host that hears of a change that it was not told, or after one that it
//     misses, waits a little and asks the peer for the whole list.
//  3. A host that reads the store itself reads at once instead; one that the
//     store turns away asks the peer at once.

// newsPatience is how long a host waits to be told of a change that a peer
// knows. It leaves most of the time in which a leaving endpoint may still get
// requests, about 2 s.
const newsPatience = 400 * time.Millisecond

// listNews is what a host has heard of the list of endpoints beyond its own.
type listNews struct {
	// known is the offset after the newest change that a peer knows, peer its
	// address, and since when this host lacks it.
	known model.Offset
	peer  string
	since time.Time
}

// endpointsFound takes a part of the list of endpoints that this host has read.
func (c *control) endpointsFound(now time.Time, update endpointUpdate) {
	c.directory.Answered(now)
	c.listRead = now
	c.listFailing = false
	c.listNext = max(c.listNext, update.next)
	if update.whole {
		var list []directory.Entry
		for _, rec := range update.list {
			if !rec.Removed {
				list = append(list, rec.Entry)
			}
		}
		c.apply(now, c.directory.Replace(now, list))
		// Others may know of changes that this host never saw.
		c.listChange = c.listNext
		c.peers.note()
		return
	}
	told := c.applyRecords(now, update.list)
	if len(told) == 0 {
		return
	}
	c.peers.digests.tellChanges(port.ListChanges{After: c.listChange, UpTo: c.listNext, Records: told})
	c.listChange = c.listNext
}

// applyRecords applies changes of the list and returns those that were news.
func (c *control) applyRecords(now time.Time, list []port.ListRecord) []port.ListRecord {
	var news []port.ListRecord
	var changes []directory.Change
	for _, rec := range list {
		var change directory.Change
		var changed bool
		if rec.Removed {
			if c.directory.Knows(rec.Name) {
				news = append(news, rec)
			}
			change, changed = c.directory.Remove(now, rec.Name)
		} else {
			back := c.directory.Missing(rec.Name)
			change, changed = c.directory.Put(rec.Entry)
			if changed || back {
				news = append(news, rec)
			}
		}
		if changed {
			changes = append(changes, change)
		}
	}
	c.apply(now, changes)
	return news
}

// listFailed notes that this host could not read the list.
func (c *control) listFailed() {
	if !c.listFailing {
		c.listFailing = true
		c.peers.note()
	}
}

// listNewsCame takes what a digest says of the list of endpoints.
func (c *control) listNewsCame(now time.Time, d port.LoadDigest) {
	if len(d.Changes.Records) > 0 && d.Changes.After <= c.listNext && d.Changes.UpTo > c.listNext {
		c.applyRecords(now, d.Changes.Records)
		c.listNext = d.Changes.UpTo
		c.listChange = max(c.listChange, d.Changes.UpTo)
	}
	if d.ListChangeOffset <= c.listNext || d.ListChangeOffset <= c.news.known {
		return
	}
	if c.news.known <= c.listNext {
		c.news.since = now
	}
	c.news.known, c.news.peer = d.ListChangeOffset, d.Address
}

// seekListNews gets changes of the list that peers know and this host lacks.
func (c *control) seekListNews(now time.Time) {
	if c.news.known <= c.listNext {
		return
	}
	switch {
	case c.listFailing:
		c.askPeerForList(now, c.news.peer)
	case c.gateway.reading.Load():
		c.gateway.askForListNews()
	case now.Sub(c.news.since) >= newsPatience:
		c.askPeerForList(now, c.news.peer)
	}
}

// askForListNews lets the host read the list of endpoints at once.
func (g *Gateway) askForListNews() {
	select {
	case g.listNews <- struct{}{}:
	default:
	}
}
