package peergrpc

import (
	"context"
	"net"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// foreignName is a name in Latin-1.
const foreignName = "stock-z\xfcrich-1"

// listedAs returns the entry of an endpoint.
func listedAs(name model.EndpointName) directory.Entry {
	return directory.Entry{Name: name, Pool: "p", Address: "127.0.0.1:1", Domain: "d", Slots: 4, Started: 7, Sequence: 8}
}

// foreignDigest returns a digest with a foreign name in each list, next to a sound one.
func foreignDigest() port.LoadDigest {
	at := func(offset model.Offset) model.Position { return model.Position{Era: 1, Offset: offset} }
	d := port.LoadDigest{Host: "h1", Domain: "d", Address: "127.0.0.1:9", Changes: port.ListChanges{After: at(4), UpTo: at(8)}}
	for i, name := range []model.EndpointName{foreignName, "sound"} {
		instance := model.Instance{Name: name, Started: 7}
		d.Changes.Records = append(d.Changes.Records, port.ListRecord{At: model.Offset(5 + i), Name: name, Entry: listedAs(name)})
		d.LeavingEndpoints = append(d.LeavingEndpoints, instance)
		d.Limits = append(d.Limits, port.EndpointLimit{Instance: instance})
		d.Crashes = append(d.Crashes, port.CrashReport{ID: 1, Endpoint: instance})
		d.StreamBegins = append(d.StreamBegins, resume.Begin{Stream: resume.StreamID(i), Origin: resume.Origin{Pool: "p", Software: model.SoftwareVersion(name)}})
		d.Usage = append(d.Usage, usage.Record{Source: usage.Source{Host: "h1"}, Counts: usage.Counts{foreignName: 2, "sound": 3}})
		d.Domains = append(d.Domains, port.DomainLoad{Domain: model.DomainName(name), Loads: digestOf(1).Loads})
	}
	return d
}

// shareHandler records digests and serves a list of endpoints.
type shareHandler struct {
	port.LoadHandler
	digests chan port.LoadDigest
	list    port.EndpointList
}

func (h shareHandler) HandleDigest(d port.LoadDigest) { h.digests <- d }

func (h shareHandler) HandleFetchEndpoints(context.Context) (port.EndpointList, error) {
	return h.list, nil
}

// serveShare runs a server for load digests and returns a client and the server's address.
func serveShare(t *testing.T, handler port.LoadHandler) (*Client, string) {
	t.Helper()
	s, err := NewLoadServer(secret, handler)
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	c, err := NewClient(secret)
	must.NoError(t, err)
	t.Cleanup(func() {
		c.Close()
		s.Shutdown(context.Background())
		must.NoError(t, <-served)
	})
	return c, listener.Addr().String()
}

// Another writer has written an entry under a key that is not UTF-8. The other hosts get
// everything else, also what follows.
func TestForeignNameStopsNoDigestAndNoList(t *testing.T) {
	entries := []directory.Entry{listedAs(foreignName), listedAs("sound")}
	withheld := listedAs("withheld")
	handler := shareHandler{
		digests: make(chan port.LoadDigest, 2),
		list:    port.EndpointList{Entries: entries, Withheld: []directory.Entry{withheld}, Next: model.Position{Era: 1, Offset: 8}},
	}
	c, address := serveShare(t, handler)
	stream, err := c.OpenLoadStream(t.Context(), address)
	must.NoError(t, err)
	defer stream.Close()
	must.NoError(t, stream.Send(foreignDigest()))
	must.NoError(t, stream.Send(digestOf(1)))
	got := <-handler.digests
	must.Eq(t, foreignDigest().Changes.UpTo, got.Changes.UpTo)
	must.Eq(t, foreignDigest().Changes.Records[1:], got.Changes.Records)
	must.Eq(t, foreignDigest().LeavingEndpoints[1:], got.LeavingEndpoints)
	must.Len(t, 1, got.Limits)
	must.Len(t, 1, got.Crashes)
	must.Len(t, 1, got.StreamBegins)
	must.Len(t, 2, got.Usage)
	must.Eq(t, usage.Counts{"sound": 3}, got.Usage[0].Counts)
	must.Len(t, 1, got.Domains)
	must.Eq(t, "front-luzon-a-1", (<-handler.digests).Host)

	list, err := c.FetchEndpoints(t.Context(), address)
	must.NoError(t, err)
	must.Eq(t, port.EndpointList{Entries: entries[1:], Withheld: []directory.Entry{withheld}, Next: handler.list.Next}, list)
}

// A changed key or path would make another request of it.
func TestRequestWithInvalidTextIsNotChanged(t *testing.T) {
	_, err := messageCodec{}.Marshal(forwardToWire(port.ForwardCall{Key: foreignName}, time.Now()))
	must.Error(t, err)
	part := partToWire(port.ForwardPart{ContentType: foreignName, Data: []byte(foreignName)})
	data, err := messageCodec{}.Marshal(part)
	must.NoError(t, err)
	var got peer.ForwardPart
	must.NoError(t, messageCodec{}.Unmarshal(data, &got))
	must.Eq(t, []byte(foreignName), got.GetData())
	data.Free()
}

// A digest with any entry is decoded by the receiver, with all that can be sent.
func FuzzDigest(f *testing.F) {
	f.Add(foreignName, "pool", "127.0.0.1:1", "domain", "v1", uint64(5), int64(7), int64(-1))
	f.Fuzz(func(t *testing.T, name, pool, address, domain, software string, offset uint64, started, sequence int64) {
		e := directory.Entry{
			Name: model.EndpointName(name), Pool: model.PoolName(pool), Address: address, Domain: model.DomainName(domain),
			Software: model.SoftwareVersion(software), Slots: 4, Started: started, Sequence: sequence,
		}
		want := port.LoadDigest{Host: "h1", Domain: "d", ConfigAge: time.Second, Changes: port.ListChanges{
			UpTo:    model.Position{Era: 1, Offset: model.Offset(offset)},
			Records: []port.ListRecord{{At: 1, Name: "first", Entry: listedAs("first")}, {At: 2, Name: e.Name, Entry: e}, {At: 3, Name: "last", Entry: listedAs("last")}},
		}}
		data, err := messageCodec{}.Marshal(loadDigestToWire(want))
		must.NoError(t, err)
		defer data.Free()
		var wire peer.LoadDigest
		must.NoError(t, messageCodec{}.Unmarshal(data, &wire))
		for _, text := range []string{name, pool, address, domain, software} {
			if !utf8.ValidString(text) {
				want.Changes.Records = []port.ListRecord{want.Changes.Records[0], want.Changes.Records[len(want.Changes.Records)-1]}
			}
		}
		want.Changes.After.Era = 1
		must.Eq(t, want, loadDigestFromWire(&wire))
	})
}

// Any message that a host sends can be decoded, whatever is in its strings.
func FuzzMessage(f *testing.F) {
	data, err := proto.Marshal(loadDigestToWire(digestOf(2)))
	must.NoError(f, err)
	f.Add(data, "\xff")
	f.Fuzz(func(t *testing.T, data []byte, text string) {
		var message peer.LoadDigest
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		message.Host += text
		for _, info := range message.GetHosts() {
			info.Domain += text
		}
		for _, origin := range message.GetStreamBegins() {
			if origin.GetOrigin() != nil {
				origin.Origin.Pool += text
			}
		}
		encoded, err := messageCodec{}.Marshal(&message)
		must.NoError(t, err)
		defer encoded.Free()
		must.NoError(t, messageCodec{}.Unmarshal(encoded, &peer.LoadDigest{}))
	})
}
