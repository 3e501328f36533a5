package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// askedPeers records which peers are asked for the list of endpoints.
type askedPeers struct {
	port.LoadShareClient
	asked chan string
}

func (p *askedPeers) FetchEndpoints(_ context.Context, address string) (port.EndpointList, error) {
	p.asked <- address
	return port.EndpointList{}, nil
}

// idleControl is the state of a host that was never started.
func idleControl(t *testing.T) (*control, *askedPeers) {
	peers := &askedPeers{asked: make(chan string, 10)}
	g := New(Options{Host: "h1", Domain: "north", Peers: peers, Log: &log.Logger{Handler: discard.New()}})
	g.ctx, g.stop = context.WithCancel(context.Background())
	t.Cleanup(g.stop)
	g.reading.Store(false)
	return g.control, peers
}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func listed(name model.EndpointName) port.ListRecord {
	return port.ListRecord{Name: name, Entry: directory.Entry{Name: name, Pool: "p", Address: string(name), Domain: "north"}}
}

func news(after, upto model.Offset, records ...port.ListRecord) port.LoadDigest {
	return port.LoadDigest{
		Host: "h2", Address: "peer", ListChangeOffset: upto,
		Changes: port.ListChanges{After: after, UpTo: upto, Records: records},
	}
}

func TestChangesOfTheListAreTakenFromPeers(t *testing.T) {
	c, _ := idleControl(t)
	c.listNext = 10
	c.listNewsCame(at(0), news(8, 12, listed("a"), listed("b")))
	must.Eq(t, 2, c.directory.Len())
	c.listNewsCame(at(0), news(12, 14, port.ListRecord{Name: "a", Removed: true}))
	must.Eq(t, 1, c.directory.Len())
	c.listNewsCame(at(0), news(8, 12, listed("a"), listed("b")))
	must.Eq(t, 1, c.directory.Len(), must.Sprint("older changes come late"))
	must.Eq(t, 14, c.listNext)
}

// A host that misses changes waits for them and then asks the peer for all.
func TestMissedChangesAreAskedFor(t *testing.T) {
	c, peers := idleControl(t)
	c.listNext = 10
	c.listNewsCame(at(0), news(20, 25, listed("a")))
	must.Eq(t, 0, c.directory.Len())
	c.seekListNews(at(newsPatience - time.Millisecond))
	must.Eq(t, 0, len(peers.asked))
	c.seekListNews(at(newsPatience))
	must.Eq(t, "peer", <-peers.asked)
	c.takeList(at(newsPatience), port.EndpointList{Entries: []directory.Entry{listed("a").Entry}, NextOffset: 25})
	c.fetchingList = false
	c.seekListNews(at(time.Minute))
	must.Eq(t, 0, len(peers.asked))
	must.Eq(t, 1, c.directory.Len())
}

// A peer's list that is not newer changes nothing: what drains goes on draining,
// and what is gone stays gone.
func TestOlderListsOfPeersChangeNothing(t *testing.T) {
	c, _ := idleControl(t)
	leaving := listed("a")
	leaving.Entry.Draining = true
	c.endpointsFound(at(0), endpointUpdate{whole: true, list: []port.ListRecord{leaving}, next: 10})
	for _, next := range []model.Offset{0, 9, 10} {
		c.takeList(at(0), port.EndpointList{Entries: []directory.Entry{listed("a").Entry, listed("b").Entry}, NextOffset: next})
		must.Eq(t, []directory.Entry{leaving.Entry}, c.directory.Entries())
	}
}

// A host that the store turns away asks at once.
func TestHostsThatCannotReadAskAtOnce(t *testing.T) {
	c, peers := idleControl(t)
	c.listFailing = true
	c.listNewsCame(at(0), news(20, 25, listed("a")))
	c.seekListNews(at(0))
	must.Eq(t, "peer", <-peers.asked)
}

// Of what a host reads, the others are told what is new, in one piece.
func TestReadersTellWhatHasChanged(t *testing.T) {
	c, _ := idleControl(t)
	c.endpointsFound(at(0), endpointUpdate{whole: true, list: []port.ListRecord{listed("a")}, next: 5})
	must.SliceEmpty(t, c.peers.digests.changes.Records, must.Sprint("a whole list is asked for"))
	c.endpointsFound(at(0), endpointUpdate{list: []port.ListRecord{listed("a"), listed("b")}, next: 7})
	c.endpointsFound(at(0), endpointUpdate{list: []port.ListRecord{listed("a")}, next: 8})
	c.endpointsFound(at(0), endpointUpdate{list: []port.ListRecord{{Name: "a", Removed: true}}, next: 9})
	want := port.ListChanges{After: 5, UpTo: 9, Records: []port.ListRecord{listed("b"), {Name: "a", Removed: true}}}
	must.Eq(t, want, c.peers.digests.changes)
}

// A digest that replaces one that was not sent loses nothing that is told once.
func TestDigestsThatReplaceOthers(t *testing.T) {
	mark := func(key model.PartID) balance.Mark { return balance.Mark{Key: key, Endpoint: "e"} }
	sum := func(count int, key model.PartID) port.DomainLoad {
		load := balance.EndpointLoad{Endpoint: "e", Load: balance.Load{Count: count}}
		return port.DomainLoad{Domain: "south", Loads: []balance.EndpointLoad{load}, CachedPrefixes: []balance.Mark{mark(key)}}
	}
	older := port.LoadDigest{
		Version: 1, KnownAddresses: []string{"x"}, CachedPrefixes: []balance.Mark{mark(1)}, Domains: []port.DomainLoad{sum(1, 3)},
		Changes: port.ListChanges{After: 1, UpTo: 3, Records: []port.ListRecord{listed("a")}},
	}
	newer := port.LoadDigest{
		Version: 2, CachedPrefixes: []balance.Mark{mark(2)}, Domains: []port.DomainLoad{sum(2, 4)},
		Changes: port.ListChanges{After: 3, UpTo: 4, Records: []port.ListRecord{listed("b")}},
	}
	want := newer
	want.KnownAddresses = []string{"x"}
	want.CachedPrefixes = []balance.Mark{mark(1), mark(2)}
	want.Domains = []port.DomainLoad{sum(2, 3)}
	want.Domains[0].CachedPrefixes = append(want.Domains[0].CachedPrefixes, mark(4))
	want.Changes = port.ListChanges{After: 1, UpTo: 4, Records: []port.ListRecord{listed("a"), listed("b")}}
	must.Eq(t, want, mergeDigests(older, newer))
	newer.Changes.After = 7
	must.Eq(t, newer.Changes, mergeDigests(older, newer).Changes, must.Sprint("changes are missing in between"))
}
