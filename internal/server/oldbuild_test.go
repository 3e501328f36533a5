package server

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/gateway"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

const (
	// recordedMessages are messages of an older build, see docs/design/hosts-of-two-builds.md.
	recordedMessages = "testdata/messages-of-be22e4b.jsonl"
	// peerToken is the metadata key of the token with which hosts call each other.
	peerToken = "wigeonsail-peer-token"
)

// recordedMessage is a line of a file of messages between hosts. The first one has the token.
type recordedMessage struct {
	Call  string `json:"call"`
	Token string `json:"token,omitempty"`
	Data  string `json:"data,omitempty"`
}

// oldHost stands for a host of an older build. It answers with its recorded messages, and keeps
// the digests that it receives.
type oldHost struct {
	peer.UnimplementedPeerServer
	address string
	token   string
	config  *peer.ConfigRecord
	list    *peer.EndpointList
	// sent are the digests that it sends.
	sent []*peer.LoadDigest

	mu       sync.Mutex
	received []*peer.LoadDigest
}

func (o *oldHost) Share(stream grpc.ClientStreamingServer[peer.LoadDigest, peer.ShareEnd]) error {
	md, _ := metadata.FromIncomingContext(stream.Context())
	for {
		d, err := stream.Recv()
		if err != nil {
			return err
		}
		o.mu.Lock()
		o.token = strings.Join(md.Get(peerToken), "")
		o.received = append(o.received, d)
		o.mu.Unlock()
	}
}

func (o *oldHost) FetchConfig(context.Context, *peer.FetchConfigRequest) (*peer.ConfigRecord, error) {
	return o.config, nil
}

func (o *oldHost) FetchEndpoints(context.Context, *peer.FetchEndpointsRequest) (*peer.EndpointList, error) {
	return o.list, nil
}

func (o *oldHost) FetchHosts(context.Context, *peer.FetchHostsRequest) (*peer.HostList, error) {
	return &peer.HostList{Hosts: []*peer.HostInfo{{Host: "recorder", Domain: "north", Address: o.address}}}, nil
}

// take returns the digests received so far.
func (o *oldHost) take() []*peer.LoadDigest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.received
}

// serve serves the host's side for peers until the test ends.
func (o *oldHost) serve(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer()
	peer.RegisterPeerServer(server, o)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		must.NoError(t, <-ended)
	})
	o.address = listener.Addr().String()
}

// dialPeer returns a connection to the peer side of a host, and a context with a token.
func dialPeer(t *testing.T, address, token string) (*grpc.ClientConn, context.Context) {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, conn.Close()) })
	return conn, metadata.AppendToOutgoingContext(t.Context(), peerToken, token)
}

// readRecorded returns a host with the recorded messages of an older build. The endpoint of the
// messages is at an address.
func readRecorded(t *testing.T, endpoint string) *oldHost {
	file, err := os.Open(recordedMessages)
	must.NoError(t, err)
	defer func() { must.NoError(t, file.Close()) }()
	o := &oldHost{config: &peer.ConfigRecord{}, list: &peer.EndpointList{}}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var m recordedMessage
		must.NoError(t, json.Unmarshal(lines.Bytes(), &m))
		data, err := base64.StdEncoding.DecodeString(m.Data)
		must.NoError(t, err)
		digest := &peer.LoadDigest{}
		into := map[string]proto.Message{"Share": digest, "FetchConfig": o.config, "FetchEndpoints": o.list}[m.Call]
		if into == nil {
			o.token = m.Token
			continue
		}
		must.NoError(t, proto.Unmarshal(data, into))
		if m.Call == "Share" {
			o.sent = append(o.sent, digest)
		}
	}
	must.NoError(t, lines.Err())
	o.serve(t)
	for _, d := range o.sent {
		d.Address = o.address
		for _, e := range d.GetChanges().GetEntries() {
			e.Address = endpoint
		}
	}
	for _, e := range o.list.GetEntries() {
		e.Address = endpoint
	}
	return o
}

// peerOf returns what a host knows of the host at an address, or nil.
func peerOf(t *testing.T, g *Gateway, address string) *gateway.PeerView {
	status, ok := g.gateway.PeerStatus(t.Context())
	must.True(t, ok)
	for _, p := range status.Peers {
		if p.Address == address {
			return &p
		}
	}
	return nil
}

// A host that reads nothing from the platform serves with what a host of an older build tells it,
// and takes nothing from what that build does not say.
func TestMessagesOfAnOlderBuildAreUnderstood(t *testing.T) {
	f := newFleet(t)
	r := f.runReplica(replica.Options{Instance: "i-1"})
	old := readRecorded(t, r.Address())
	must.Greater(t, 10, len(old.sent))
	f.useSilentStore()
	g := f.startHost("h1", old.address)
	conn, ctx := dialPeer(t, g.Address("peers"), old.token)
	stream, err := peer.NewPeerClient(conn).Share(ctx)
	must.NoError(t, err)
	next := 0
	f.within(10*time.Second, func() bool {
		must.NoError(t, stream.Send(old.sent[next%len(old.sent)]))
		next++
		return next >= len(old.sent) && g.Ready()
	})
	got := f.send(g, http.MethodPost, "/confirm/1", "order", nil)
	must.Eq(t, http.StatusOK, got.status)
	view := peerOf(t, g, old.address)
	must.NotNil(t, view)
	must.True(t, view.Live)
	must.Eq(t, old.sent[len(old.sent)-1].GetVersion(), uint64(view.Version))
	must.Nil(t, view.Build, must.Sprint("it states none"))
	f.eventually(func() bool { return len(old.take()) > 0 })
	for _, d := range old.take() {
		must.Nil(t, d.GetEcho(), must.Sprint("its digests do not say when they were sent"))
	}
	_, err = stream.CloseAndRecv()
	must.NoError(t, err)
}

// bytesCodec sends messages that are bytes as they are.
type bytesCodec struct{}

func (bytesCodec) Name() string { return "proto" }

func (bytesCodec) Marshal(v any) ([]byte, error) { return v.([]byte), nil }

func (bytesCodec) Unmarshal([]byte, any) error { return nil }

// A spoilt message ends its own stream, not the host, and the next stream is taken.
func TestSpoiltMessagesOfPeersEndNoHost(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	r := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	old := readRecorded(t, r.Address())
	g := f.startReadyHost("h1")
	conn, ctx := dialPeer(t, g.Address("peers"), old.token)
	whole, err := proto.Marshal(old.sent[0])
	must.NoError(t, err)
	flipped := append([]byte{whole[0] ^ 7}, whole[1:]...)
	for i, data := range [][]byte{whole[:len(whole)/2], flipped, {0xff, 0xff, 0xff}, []byte("HTTP/1.1 400 Bad Request")} {
		stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, peer.Peer_Share_FullMethodName, grpc.ForceCodec(bytesCodec{}))
		must.NoError(t, err)
		must.NoError(t, stream.SendMsg(data))
		must.NoError(t, stream.CloseSend())
		// A message that was cut off between two fields is a whole one.
		if err := stream.RecvMsg(nil); i > 1 {
			must.Eq(t, codes.Internal, status.Code(err), must.Sprint(i))
		}
	}
	must.Eq(t, http.StatusOK, f.send(g, http.MethodPost, "/confirm/1", "order", nil).status)
	stream, err := peer.NewPeerClient(conn).Share(ctx)
	must.NoError(t, err)
	must.NoError(t, stream.Send(old.sent[0]))
	f.eventually(func() bool { return peerOf(t, g, old.address) != nil })
	_, err = stream.CloseAndRecv()
	must.NoError(t, err)
}
