package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// recordingPeers records from which peers the list of endpoints is fetched.
type recordingPeers struct {
	port.LoadShareClient
	fetches chan string
}

func (p *recordingPeers) FetchEndpoints(_ context.Context, address string) (port.EndpointList, error) {
	p.fetches <- address
	return port.EndpointList{}, nil
}

func (p *recordingPeers) OpenLoadStream(context.Context, string) (port.LoadStream, error) {
	return nil, errors.New("unreachable")
}

func (p *recordingPeers) FetchHosts(context.Context, string, port.HostInfo) ([]port.HostInfo, error) {
	return nil, errors.New("unreachable")
}

// newTestControl returns the control state of a host that was never started.
func newTestControl(t *testing.T) (*control, *recordingPeers) {
	peers := &recordingPeers{fetches: make(chan string, 10)}
	g := New(Options{Host: "h1", Domain: "north", Peers: peers, Log: &log.Logger{Handler: discard.New()}})
	g.ctx, g.stop = context.WithCancel(context.Background())
	t.Cleanup(g.stop)
	g.reading.Store(false)
	return g.control, peers
}

// at returns the simulated time after d.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// offset returns a position in the first era of the store.
func offset(o model.Offset) model.Position { return model.Position{Era: 1, Offset: o} }

// listRecord returns the record of an endpoint that is added to the list.
func listRecord(name model.EndpointName) port.ListRecord {
	return port.ListRecord{Name: name, Entry: directory.Entry{Name: name, Pool: "p", Address: string(name), Domain: "north"}}
}

// isListed reports whether a list has an endpoint, also if its removal is delayed.
func isListed(d *directory.Directory, name model.EndpointName) bool {
	_, listed := d.Lookup(name)
	return listed
}

// recordsBefore returns the records with the offsets up to a position.
func recordsBefore(upto model.Position, records ...port.ListRecord) []port.ListRecord {
	for i := range records {
		records[i].At = upto.Offset - model.Offset(len(records)-i)
	}
	return records
}

// changesDigest returns a digest of the host h2 with the list changes between two
// offsets.
func changesDigest(after, upto model.Position, records ...port.ListRecord) port.LoadDigest {
	return port.LoadDigest{
		Host: "h2", Address: "peer", ListChange: upto,
		Changes: port.ListChanges{After: after, UpTo: upto, Records: recordsBefore(upto, records...)},
	}
}

func TestListChangesFromPeersAreApplied(t *testing.T) {
	c, _ := newTestControl(t)
	c.nextInList = offset(10)
	c.receiveListChanges(at(0), changesDigest(offset(8), offset(12), listRecord("a"), listRecord("b")))
	must.Eq(t, 2, c.directory.Len())
	c.receiveListChanges(at(0), changesDigest(offset(12), offset(14), port.ListRecord{Name: "a", Removed: true}))
	must.Eq(t, 1, c.directory.Len())
	c.receiveListChanges(at(0), changesDigest(offset(8), offset(12), listRecord("a"), listRecord("b")))
	must.Eq(t, 1, c.directory.Len(), must.Sprint("older changes arrive late"))
	must.Eq(t, offset(14), c.nextInList)
}

// Changes that overlap with known ones revive no endpoint, also while removals are delayed.
func TestOverlappingListChangesReviveNoEndpoint(t *testing.T) {
	c, _ := newTestControl(t)
	c.applyListRead(at(0), listUpdate{asOf: at(0), full: true, records: []port.ListRecord{listRecord("a")}, next: offset(5)})
	gone := port.ListRecord{Name: "a", Removed: true}
	c.receiveListChanges(at(0), changesDigest(offset(5), offset(7), listRecord("a"), gone))
	must.Eq(t, 0, c.directory.Len())
	c.recordListFailure()
	c.directory.RecordStoreRead(at(time.Minute), at(time.Minute))
	c.receiveListChanges(at(time.Minute), changesDigest(offset(5), offset(8), listRecord("a"), gone, listRecord("b")))
	must.False(t, isListed(c.directory, "a"))
	must.True(t, isListed(c.directory, "b"))
	c.applyListRead(at(time.Minute), listUpdate{asOf: at(time.Minute), records: recordsBefore(offset(9), listRecord("a"), gone, listRecord("b"), listRecord("c")), next: offset(9)})
	must.False(t, isListed(c.directory, "a"))
	must.True(t, isListed(c.directory, "c"))
	c.applyListRead(at(time.Minute), listUpdate{asOf: at(time.Minute), full: true, records: []port.ListRecord{listRecord("a")}, next: offset(6)})
	must.False(t, isListed(c.directory, "a"), must.Sprint("a full list arrives late"))
}

// Changes without offsets come from an earlier build; their list is fetched.
func TestChangesWithoutOffsetsAreNotApplied(t *testing.T) {
	c, _ := newTestControl(t)
	c.nextInList = offset(10)
	d := changesDigest(offset(10), offset(12), listRecord("a"))
	d.Changes.Records[0].At = 0
	c.receiveListChanges(at(0), d)
	must.Eq(t, 0, c.directory.Len())
	must.Eq(t, offset(12), c.missing.upto)
}

// A host that misses changes waits for them, and then fetches the full list
// from the peer.
func TestMissedListChangesAreFetchedAfterDelay(t *testing.T) {
	c, peers := newTestControl(t)
	c.nextInList = offset(10)
	c.receiveListChanges(at(0), changesDigest(offset(20), offset(25), listRecord("a")))
	must.Eq(t, 0, c.directory.Len())
	c.fetchMissingChanges(at(listFetchDelay - time.Millisecond))
	must.Eq(t, 0, len(peers.fetches))
	c.fetchMissingChanges(at(listFetchDelay))
	must.Eq(t, "peer", <-peers.fetches)
	c.adoptList(at(listFetchDelay), port.EndpointList{Entries: []directory.Entry{listRecord("a").Entry}, Next: offset(25)}, "peer")
	c.fetchingList = false
	c.fetchMissingChanges(at(time.Minute))
	must.Eq(t, 0, len(peers.fetches))
	must.Eq(t, 1, c.directory.Len())
}

// A peer's list that is not newer changes nothing: a draining endpoint stays
// draining, and a removed one stays removed.
func TestOlderPeerListIsIgnored(t *testing.T) {
	c, _ := newTestControl(t)
	leaving := listRecord("a")
	leaving.Entry.Draining = true
	c.applyListRead(at(0), listUpdate{asOf: at(0), full: true, records: []port.ListRecord{leaving}, next: offset(10)})
	for _, next := range []model.Offset{0, 9, 10} {
		c.adoptList(at(0), port.EndpointList{Entries: []directory.Entry{listRecord("a").Entry, listRecord("b").Entry}, Next: offset(next)}, "peer")
		must.Eq(t, []directory.Entry{leaving.Entry}, c.directory.Entries())
	}
}

// A host whose reads of the store fail fetches the list at once.
func TestHostWithFailingReadsFetchesListAtOnce(t *testing.T) {
	c, peers := newTestControl(t)
	c.listReadFailing = true
	c.receiveListChanges(at(0), changesDigest(offset(20), offset(25), listRecord("a")))
	c.fetchMissingChanges(at(0))
	must.Eq(t, "peer", <-peers.fetches)
}

// A reader publishes only records that changed its list, merged into one batch.
func TestReaderPublishesOnlyEffectiveChanges(t *testing.T) {
	c, _ := newTestControl(t)
	c.applyListRead(at(0), listUpdate{asOf: at(0), full: true, records: []port.ListRecord{listRecord("a")}, next: offset(5)})
	must.SliceEmpty(t, c.peers.digests.unsentChanges.Records, must.Sprint("a full list is not published as changes"))
	c.applyListRead(at(0), listUpdate{asOf: at(0), records: recordsBefore(offset(7), listRecord("a"), listRecord("b")), next: offset(7)})
	c.applyListRead(at(0), listUpdate{asOf: at(0), records: recordsBefore(offset(8), listRecord("a")), next: offset(8)})
	c.applyListRead(at(0), listUpdate{asOf: at(0), records: recordsBefore(offset(9), port.ListRecord{Name: "a", Removed: true}), next: offset(9)})
	want := port.ListChanges{After: offset(5), UpTo: offset(9), Records: []port.ListRecord{
		recordsBefore(offset(7), listRecord("b"))[0], {At: 8, Name: "a", Removed: true},
	}}
	must.Eq(t, want, c.peers.digests.unsentChanges)
}

// Every host that holds an entry hears of its removal, also from a reader that withholds it
// since the store was restored.
func TestRemovalOfWithheldEntryIsPublished(t *testing.T) {
	c, _ := newTestControl(t)
	c.applyListRead(at(0), listUpdate{asOf: at(0), full: true, records: []port.ListRecord{listRecord("a")}, next: offset(5)})
	gone := port.ListRecord{Name: "a", Removed: true}
	c.applyListRead(at(0), listUpdate{asOf: at(0), records: recordsBefore(offset(6), gone), next: offset(6)})
	c.peers.digests.unsentChanges = port.ListChanges{}
	restored := func(o model.Offset) model.Position { return model.Position{Era: 2, Offset: o} }
	c.applyListRead(at(time.Second), listUpdate{asOf: at(time.Second), full: true, records: []port.ListRecord{listRecord("a")}, next: restored(5)})
	must.Eq(t, []directory.Entry{listRecord("a").Entry}, c.endpointList().Withheld)
	later := at(time.Minute)
	c.applyListRead(later, listUpdate{asOf: later, records: recordsBefore(restored(6), gone), next: restored(6)})
	must.Len(t, 1, c.peers.digests.unsentChanges.Records)
	must.SliceEmpty(t, c.endpointList().Withheld)
}

// While entries are checked, other hosts may hold other ones. A record that changes nothing
// at the reader reaches them as well.
func TestAllRecordsArePublishedWhileEntriesAreChecked(t *testing.T) {
	c, _ := newTestControl(t)
	leaving := listRecord("a")
	leaving.Entry.Draining = true
	c.applyListRead(at(0), listUpdate{asOf: at(0), full: true, records: []port.ListRecord{leaving}, next: offset(5)})
	restored := func(o model.Offset) model.Position { return model.Position{Era: 2, Offset: o} }
	c.applyListRead(at(time.Second), listUpdate{asOf: at(time.Second), full: true, records: []port.ListRecord{listRecord("a")}, next: restored(5)})
	leaving.Entry.Sequence++
	c.applyListRead(at(2*time.Second), listUpdate{asOf: at(2 * time.Second), records: recordsBefore(restored(6), leaving), next: restored(6)})
	must.Len(t, 1, c.peers.digests.unsentChanges.Records)
	leaving.Entry.Sequence++
	c.peers.digests.unsentChanges = port.ListChanges{}
	c.applyListRead(at(time.Minute), listUpdate{asOf: at(time.Minute), records: recordsBefore(restored(7), leaving), next: restored(7)})
	must.SliceEmpty(t, c.peers.digests.unsentChanges.Records)
}

// A host that starts after a restoration and reads the copy asks a peer once for what has
// ended. It does not use what the peer withholds.
func TestNewHostLearnsWhatHasEnded(t *testing.T) {
	c, peers := newTestControl(t)
	restored := model.Position{Era: 2, Offset: 5}
	c.applyListRead(at(0), listUpdate{asOf: at(0), full: true, records: []port.ListRecord{listRecord("a"), listRecord("b")}, next: restored})
	c.refreshStaleList(at(0))
	must.Eq(t, 0, len(peers.fetches), must.Sprint("no peer is known"))
	addPeer(c, "peer", "north", 1)
	c.refreshStaleList(at(0))
	must.Eq(t, "peer", <-peers.fetches)
	c.fetchingList = false
	answer := port.EndpointList{Entries: []directory.Entry{listRecord("b").Entry}, Withheld: []directory.Entry{listRecord("a").Entry}, Next: offset(9)}
	c.adoptList(at(0), answer, "peer")
	must.True(t, isListed(c.directory, "a"), must.Sprint("the peer has not read the copy yet"))
	c.refreshStaleList(at(listFetchInterval))
	must.Eq(t, "peer", <-peers.fetches)
	c.fetchingList = false
	answer.Next = restored
	c.adoptList(at(listFetchInterval), answer, "peer")
	must.Eq(t, answer.Entries, c.directory.Entries())
	c.refreshStaleList(at(2 * listFetchInterval))
	must.Eq(t, 0, len(peers.fetches), must.Sprint("it has asked"))
}

// A host that lacks changes takes no newer read for evidence of what is listed.
func TestListIsNotYoungerThanItsChanges(t *testing.T) {
	c, _ := newTestControl(t)
	c.applyListRead(at(0), listUpdate{asOf: at(0), full: true, next: offset(5)})
	addPeer(c, "h2", "north", 1)
	d := changesDigest(offset(20), offset(25), listRecord("a"))
	d.Domain = "north"
	c.receiveDigest(at(3*time.Second), d)
	c.updateReading(at(3 * time.Second))
	must.Eq(t, 3*time.Second, c.directory.Age(at(3*time.Second)))
	must.Eq(t, 3*time.Second, c.digest(at(3*time.Second)).ListKnownAge)
	c.nextInList = offset(25)
	c.updateReading(at(3 * time.Second))
	must.Less(t, time.Second, c.directory.Age(at(3*time.Second)))
}

// A digest that replaces an unsent one loses no content that is sent only once.
func TestMergedDigestKeepsOneTimeContent(t *testing.T) {
	cacheUpdate := func(key model.PartID) balance.CacheUpdate { return balance.CacheUpdate{Key: key, Endpoint: "e"} }
	domainLoad := func(count int, key model.PartID) port.DomainLoad {
		load := balance.EndpointLoad{Endpoint: "e", Load: balance.Load{Count: count}}
		return port.DomainLoad{Domain: "south", Loads: []balance.EndpointLoad{load}, CacheUpdates: []balance.CacheUpdate{cacheUpdate(key)}}
	}
	older := port.LoadDigest{
		Version: 1, Hosts: []port.HostInfo{{Host: "x"}}, CacheUpdates: []balance.CacheUpdate{cacheUpdate(1)}, Domains: []port.DomainLoad{domainLoad(1, 3)},
		Changes: port.ListChanges{After: offset(1), UpTo: offset(3), Records: []port.ListRecord{listRecord("a")}},
	}
	newer := port.LoadDigest{
		Version: 2, CacheUpdates: []balance.CacheUpdate{cacheUpdate(2)}, Domains: []port.DomainLoad{domainLoad(2, 4)},
		Changes: port.ListChanges{After: offset(3), UpTo: offset(4), Records: []port.ListRecord{listRecord("b")}},
	}
	want := newer
	want.Hosts = []port.HostInfo{{Host: "x"}}
	want.CacheUpdates = []balance.CacheUpdate{cacheUpdate(1), cacheUpdate(2)}
	want.Domains = []port.DomainLoad{domainLoad(2, 3)}
	want.Domains[0].CacheUpdates = append(want.Domains[0].CacheUpdates, cacheUpdate(4))
	want.Changes = port.ListChanges{After: offset(1), UpTo: offset(4), Records: []port.ListRecord{listRecord("a"), listRecord("b")}}
	must.Eq(t, want, mergeDigests(older, newer))
	newer.Changes.After = offset(7)
	must.Eq(t, newer.Changes, mergeDigests(older, newer).Changes, must.Sprint("changes are missing between the two"))
}

// A peer that takes no digests for long does not make its next one grow without bound.
func TestMergedChangesAreBounded(t *testing.T) {
	changes := func(after, upto model.Offset) port.ListChanges {
		return port.ListChanges{After: offset(after), UpTo: offset(upto), Records: make([]port.ListRecord, upto-after)}
	}
	merged := mergeChanges(changes(0, maxMergedChanges-1), changes(maxMergedChanges-1, maxMergedChanges))
	must.Len(t, maxMergedChanges, merged.Records)
	newest := changes(maxMergedChanges, maxMergedChanges+1)
	must.Eq(t, newest, mergeChanges(merged, newest), must.Sprint("the receiver fetches the list"))
}

// A digest that withdraws the sender's loads is replaced in the queue by one that
// leaves them unchanged, or itself replaces one with cache updates. Neither the
// withdrawal nor the updates are lost.
func TestMergedDigestKeepsWithdrawal(t *testing.T) {
	update := balance.CacheUpdate{Key: 1, Endpoint: "e", Cached: true}
	direct := port.LoadDigest{Loads: []balance.EndpointLoad{{Endpoint: "e"}}, CacheUpdates: []balance.CacheUpdate{update}}
	withdrawal := port.LoadDigest{ViaRelay: true}
	unchanged := port.LoadDigest{ViaRelay: true, LoadsUnchanged: true}
	merged := mergeDigests(mergeDigests(direct, withdrawal), unchanged)
	must.True(t, merged.ViaRelay)
	must.False(t, merged.LoadsUnchanged)
	must.Eq(t, direct.CacheUpdates, merged.CacheUpdates)

	c, _ := newTestControl(t)
	merged.Host, merged.Domain = "h2", "north"
	c.recordLoads(at(0), merged)
	updates, _ := c.balancer.DomainCacheUpdatesSince(0)
	must.Eq(t, direct.CacheUpdates, updates)
}

// An address that is known from digests and then configured as a seed is kept.
func TestKnownAddressBecomesSeed(t *testing.T) {
	c, _ := newTestControl(t)
	c.peers.peers["a"] = &peer{added: at(0), lastSeen: at(0), stop: func() {}, mailbox: make(chan port.LoadDigest, 1)}
	c.peers.add(at(time.Second), "a", true)
	c.peers.tick(at(time.Hour), c)
	must.MapContainsKey(t, c.peers.peers, "a")
}

// emptyStream is the response of an endpoint that ends its stream without an event.
type emptyStream struct{ port.EndpointResponse }

func (emptyStream) Next() (port.EventBatch, error) { return port.EventBatch{}, io.EOF }
func (emptyStream) Status() int                    { return http.StatusOK }
func (emptyStream) Header() http.Header            { return nil }

// discardResponse is a caller that ignores the response.
type discardResponse struct{ port.RoutedResponseWriter }

func (discardResponse) Start(int, http.Header) error { return nil }

// The time to the first response of a stream without events is the time to its end.
func TestEmptyStreamHasFirstResponseTime(t *testing.T) {
	c, _ := newTestControl(t)
	x := &exchange{gateway: c.gateway, w: discardResponse{}, route: &routing.Route{}}
	result := x.forwardStream(t.Context(), newReadAhead(t.Context(), nil, emptyStream{}, nil), resume.Source{}, x.startWatch(t.Context(), func(error) {}, balance.Decision{}))
	must.True(t, result.answered)
	must.False(t, x.firstResponseAt.IsZero())
}
