package peergrpc

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

var _ port.LoadShareClient = (*Client)(nil)

const shareOp = "share"

// OpenLoadStream implements port.LoadShareClient. The stream is ended by ctx or
// Close.
func (c *Client) OpenLoadStream(ctx context.Context, address string) (port.LoadStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	ctx, flag := withSentFlag(ctx)
	conn, release, err := c.connections.get(address)
	if err != nil {
		cancel()
		return nil, peerError(shareOp, address, flag, err)
	}
	end := sync.OnceFunc(func() {
		cancel()
		release()
	})
	// A stream without responses keeps all messages for a transparent retry, up to a size.
	// A digest is worth nothing after the next one.
	stream, err := peer.NewPeerClient(conn).Share(ctx, grpc.MaxRetryRPCBufferSize(0))
	if err != nil {
		end()
		return nil, peerError(shareOp, address, flag, err)
	}
	return &loadStream{stream: stream, address: address, flag: flag, end: end}, nil
}

// loadStream implements port.LoadStream.
type loadStream struct {
	stream  grpc.ClientStreamingClient[peer.LoadDigest, peer.ShareEnd]
	address string
	flag    *sentFlag
	end     func()
}

// Send implements port.LoadStream.
func (s *loadStream) Send(d port.LoadDigest) error {
	message, err := digestToWire(d)
	if err != nil {
		return peerError(shareOp, s.address, s.flag, err)
	}
	err = s.stream.Send(message)
	if errors.Is(err, io.EOF) {
		// The status of the stream contains the reason why it ended.
		_, err = s.stream.CloseAndRecv()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil {
		return peerError(shareOp, s.address, s.flag, err)
	}
	return nil
}

// Close implements port.LoadStream.
func (s *loadStream) Close() { s.end() }

// NewLoadServer returns a Server for hosts that exchange their load. It fails with
// an *AuthError.
func NewLoadServer(auth Auth, handler port.LoadHandler) (*Server, error) {
	return newServer(auth, &loadService{handler: handler})
}

// loadService implements the load-sharing part of peer.PeerServer by a
// port.LoadHandler.
type loadService struct {
	peer.UnimplementedPeerServer
	handler port.LoadHandler
	config  compressedConfig
}

// Share implements peer.PeerServer.
func (s *loadService) Share(stream grpc.ClientStreamingServer[peer.LoadDigest, peer.ShareEnd]) error {
	for {
		d, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peer.ShareEnd{})
		}
		if err != nil {
			return err
		}
		digest, err := digestFromWire(d)
		if err != nil {
			// The sender logs the status.
			return status.Error(codes.InvalidArgument, err.Error())
		}
		s.handler.HandleDigest(digest)
	}
}

// FetchConfig implements peer.PeerServer.
func (s *loadService) FetchConfig(ctx context.Context, req *peer.FetchConfigRequest) (*peer.ConfigRecord, error) {
	rec, err := s.handler.HandleFetchConfig(ctx, model.Version(req.GetNewerThan()))
	if err != nil {
		return nil, callError(ctx, err)
	}
	return s.config.toWire(rec)
}

// FetchHosts implements port.LoadShareClient.
func (c *Client) FetchHosts(ctx context.Context, address string, self port.HostInfo) ([]port.HostInfo, error) {
	// All hosts of a fleet may ask the same few seeds when they start, so no
	// connection stays open.
	defer c.connections.closeUnused(address)
	req := &peer.FetchHostsRequest{Caller: hostInfoToWire(self)}
	res, err := unary(ctx, c, "fetch hosts", address, req, peer.PeerClient.FetchHosts)
	if err != nil {
		return nil, err
	}
	return convert(res.GetHosts(), hostInfoFromWire), nil
}

// FetchHosts implements peer.PeerServer.
func (s *loadService) FetchHosts(ctx context.Context, req *peer.FetchHostsRequest) (*peer.HostList, error) {
	hosts, err := s.handler.HandleFetchHosts(ctx, hostInfoFromWire(req.GetCaller()))
	if err != nil {
		return nil, callError(ctx, err)
	}
	return &peer.HostList{Hosts: convert(hosts, hostInfoToWire)}, nil
}

func hostInfoToWire(h port.HostInfo) *peer.HostInfo {
	return &peer.HostInfo{
		Host: string(h.Host), Domain: string(h.Domain), Address: h.Address, LinkMbps: h.LinkSpeedMbps, AgeMs: h.Age.Milliseconds(),
	}
}

func hostInfoFromWire(h *peer.HostInfo) port.HostInfo {
	return port.HostInfo{
		Host: model.HostID(h.GetHost()), Domain: model.DomainName(h.GetDomain()), Address: h.GetAddress(),
		LinkSpeedMbps: h.GetLinkMbps(), Age: time.Duration(h.GetAgeMs()) * time.Millisecond,
	}
}

func loadDigestToWire(d port.LoadDigest) *peer.LoadDigest {
	out := &peer.LoadDigest{
		Host:             string(d.Host),
		Incarnation:      uint64(d.Incarnation),
		Domain:           string(d.Domain),
		Address:          d.Address,
		Leaving:          d.Leaving,
		Version:          uint64(d.Version),
		ReadAgeMs:        d.ListReadAge.Milliseconds(),
		ListChange:       uint64(d.ListChange.Offset),
		ListEra:          uint64(d.ListChange.Era),
		LeavingEndpoints: convert(d.LeavingEndpoints, instanceToWire),
		Reading:          d.ReadsList,
		ReadFailing:      d.ListReadFailing,
		Limits:           convert(d.Limits, endpointLimitToWire),
		Crashes:          convert(d.Crashes, crashToWire),
		Loads:            convert(d.Loads, endpointLoadToWire),
		Hosts:            convert(d.Hosts, hostInfoToWire),
		Subscribes:       d.Subscribes,
		KnownReadAgeMs:   d.ListKnownAge.Milliseconds(),
		ConfigAgeMs:      proto.Int64(d.ConfigAge.Milliseconds()),
		Marks:            convert(d.CacheUpdates, cacheUpdateToWire),
		ByRelay:          d.ViaRelay,
		KeepLoads:        d.LoadsUnchanged,
		LinkMbps:         d.LinkSpeedMbps,
		Changes:          changesToWire(d.Changes),
		Domains:          convert(d.Domains, domainLoadToWire),
		ClockMs:          clockToWire(d.Clock),
		Usage:            convert(d.Usage, usageToWire),
		Demand:           convert(d.Demand, poolDemandToWire),
		EngineSpeeds:     convert(d.EngineSpeeds, engineSpeedToWire),
		AccountWork:      convert(d.AccountWork, accountWorkToWire),
	}
	pathsToWire(d.Paths, out)
	out.Brittle = convert(d.Brittle, brittleToWire)
	out.QuarantinedParts, out.SuspectedRequests = suspectsToWire(d.Suspects)
	out.SentMs, out.Echo, out.Build = d.SentAt.Milliseconds(), echoToWire(d.Echo), buildToWire(d.Build)
	out.StreamBegins = beginsToWire(d.StreamBegins)
	out.StreamSources = convert(d.StreamSources, sourcedToWire)
	out.ClearedParts, out.ClearedRequests = suspectsToWire(d.ClearedSuspects)
	return out
}

func loadDigestFromWire(d *peer.LoadDigest) port.LoadDigest {
	return port.LoadDigest{
		Host:             model.HostID(d.GetHost()),
		Incarnation:      model.Incarnation(d.GetIncarnation()),
		Domain:           model.DomainName(d.GetDomain()),
		Address:          d.GetAddress(),
		Leaving:          d.GetLeaving(),
		Version:          model.Version(d.GetVersion()),
		ListReadAge:      time.Duration(d.GetReadAgeMs()) * time.Millisecond,
		ListChange:       position(d.GetListEra(), d.GetListChange()),
		LeavingEndpoints: convert(d.GetLeavingEndpoints(), instanceFromWire),
		ReadsList:        d.GetReading(),
		ListReadFailing:  d.GetReadFailing(),
		Limits:           convert(d.GetLimits(), endpointLimitFromWire),
		Crashes:          convert(d.GetCrashes(), crashFromWire),
		Suspects:         suspectsFromWire(d.GetQuarantinedParts(), d.GetSuspectedRequests()),
		ClearedSuspects:  suspectsFromWire(d.GetClearedParts(), d.GetClearedRequests()),
		StreamBegins:     beginsFromWire(d.GetStreamBegins()),
		StreamSources:    convert(d.GetStreamSources(), sourcedFromWire),
		Loads:            convert(d.GetLoads(), endpointLoadFromWire),
		Hosts:            convert(d.GetHosts(), hostInfoFromWire),
		Subscribes:       d.GetSubscribes(),
		SentAt:           time.Duration(d.GetSentMs()) * time.Millisecond,
		Echo:             echoFromWire(d.GetEcho()),
		Build:            model.Build{Commit: d.GetBuild().GetCommit(), Protocol: d.GetBuild().GetProtocol()},
		ListKnownAge:     time.Duration(d.GetKnownReadAgeMs()) * time.Millisecond,
		ConfigAge:        configAgeFromWire(d.ConfigAgeMs),
		CacheUpdates:     convert(d.GetMarks(), cacheUpdateFromWire),
		ViaRelay:         d.GetByRelay(),
		LoadsUnchanged:   d.GetKeepLoads(),
		LinkSpeedMbps:    d.GetLinkMbps(),
		Changes:          changesFromWire(d.GetChanges()),
		Domains:          convert(d.GetDomains(), domainLoadFromWire),
		Clock:            clockFromWire(d.GetClockMs()),
		Usage:            convert(d.GetUsage(), usageFromWire),
		Demand:           convert(d.GetDemand(), poolDemandFromWire),
		EngineSpeeds:     convert(d.GetEngineSpeeds(), engineSpeedFromWire),
		AccountWork:      convert(d.GetAccountWork(), accountWorkFromWire),
		Paths:            pathsFromWire(d),
		Brittle:          convert(d.GetBrittle(), brittleFromWire),
	}
}

// buildToWire returns nil for the zero build.
func buildToWire(b model.Build) *peer.Build {
	if b == (model.Build{}) {
		return nil
	}
	return &peer.Build{Commit: b.Commit, Protocol: b.Protocol}
}

// echoToWire returns nil for the zero echo.
func echoToWire(e port.DigestEcho) *peer.DigestEcho {
	if e == (port.DigestEcho{}) {
		return nil
	}
	return &peer.DigestEcho{Incarnation: uint64(e.Incarnation), SentMs: e.SentAt.Milliseconds(), ReceivedMs: e.ReceivedAt.Milliseconds()}
}

func echoFromWire(e *peer.DigestEcho) port.DigestEcho {
	return port.DigestEcho{
		Incarnation: model.Incarnation(e.GetIncarnation()),
		SentAt:      time.Duration(e.GetSentMs()) * time.Millisecond,
		ReceivedAt:  time.Duration(e.GetReceivedMs()) * time.Millisecond,
	}
}

// configAgeFromWire returns the age of a sender's configuration, or port.UnknownAge if
// it omits it.
func configAgeFromWire(ms *int64) time.Duration {
	if ms == nil || *ms < 0 {
		return port.UnknownAge
	}
	return time.Duration(*ms) * time.Millisecond
}

func endpointLimitToWire(l port.EndpointLimit) *peer.EndpointLimit {
	return &peer.EndpointLimit{
		Instance: instanceToWire(l.Instance), Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: l.Age.Milliseconds(),
	}
}

func endpointLimitFromWire(l *peer.EndpointLimit) port.EndpointLimit {
	return port.EndpointLimit{
		Instance: instanceFromWire(l.GetInstance()), Limited: l.GetLimited(), PerSecond: l.GetPerSecond(),
		Age: ageFromWire(l.GetAgeMs()),
	}
}

// ageFromWire returns an age, which is never negative.
func ageFromWire(ms int64) time.Duration { return time.Duration(max(ms, 0)) * time.Millisecond }

func domainLoadToWire(d port.DomainLoad) *peer.DomainLoad {
	return &peer.DomainLoad{
		Domain: string(d.Domain),
		Hosts:  int64(d.Hosts),
		Loads:  convert(d.Loads, endpointLoadToWire),
		Marks:  convert(d.CacheUpdates, cacheUpdateToWire),
	}
}

func domainLoadFromWire(d *peer.DomainLoad) port.DomainLoad {
	return port.DomainLoad{
		Domain:       model.DomainName(d.GetDomain()),
		Hosts:        int(d.GetHosts()),
		Loads:        convert(d.GetLoads(), endpointLoadFromWire),
		CacheUpdates: convert(d.GetMarks(), cacheUpdateFromWire),
	}
}

func endpointLoadToWire(l balance.EndpointLoad) *peer.EndpointLoad {
	out := &peer.EndpointLoad{Endpoint: string(l.Endpoint), Count: int64(l.Count), Memory: int64(l.Memory), Urgent: int64(l.Urgent)}
	for i, n := range l.PendingPrefill {
		if n == 0 {
			continue
		}
		for len(out.Pending) < i {
			out.Pending = append(out.Pending, 0)
		}
		out.Pending = append(out.Pending, int64(n))
	}
	return out
}

func cacheUpdateToWire(m balance.CacheUpdate) *peer.PartMark {
	return &peer.PartMark{Key: uint64(m.Key), Endpoint: string(m.Endpoint), Held: m.Cached}
}

func cacheUpdateFromWire(m *peer.PartMark) balance.CacheUpdate {
	return balance.CacheUpdate{Key: model.PartID(m.GetKey()), Endpoint: model.EndpointName(m.GetEndpoint()), Cached: m.GetHeld()}
}

func endpointLoadFromWire(l *peer.EndpointLoad) balance.EndpointLoad {
	out := balance.EndpointLoad{
		Endpoint: model.EndpointName(l.GetEndpoint()),
		Load:     balance.Load{Count: int(l.GetCount()), Memory: int(l.GetMemory()), Urgent: int(l.GetUrgent())},
	}
	for i, n := range l.GetPending() {
		if i < len(out.PendingPrefill) {
			out.PendingPrefill[i] = int(n)
		}
	}
	return out
}

func changesToWire(c port.ListChanges) *peer.ListChanges {
	if len(c.Records) == 0 {
		return nil
	}
	return &peer.ListChanges{
		After: uint64(c.After.Offset), Upto: uint64(c.UpTo.Offset), Era: uint64(c.UpTo.Era),
		Entries: convert(c.Records, recordToWire),
	}
}

func changesFromWire(c *peer.ListChanges) port.ListChanges {
	return port.ListChanges{
		After:   position(c.GetEra(), c.GetAfter()),
		UpTo:    position(c.GetEra(), c.GetUpto()),
		Records: convert(c.GetEntries(), recordFromWire),
	}
}

func recordToWire(r port.ListRecord) *peer.EndpointEntry {
	out := &peer.EndpointEntry{Name: string(r.Name), Removed: true}
	if !r.Removed {
		out = entryToWire(r.Entry)
	}
	out.Offset = uint64(r.At)
	return out
}

func recordFromWire(e *peer.EndpointEntry) port.ListRecord {
	return port.ListRecord{
		At: model.Offset(e.GetOffset()), Name: model.EndpointName(e.GetName()), Entry: entryFromWire(e), Removed: e.GetRemoved(),
	}
}

func entryToWire(e directory.Entry) *peer.EndpointEntry {
	return &peer.EndpointEntry{
		Name: string(e.Name), Pool: string(e.Pool), Address: e.Address, Domain: string(e.Domain),
		Slots: int64(e.Slots), Draining: e.Draining, Started: e.Started, Sequence: e.Sequence,
		Software: string(e.Software), Reclaimable: e.Reclaimable, LeavesMs: e.Leaves.Milliseconds(),
	}
}

func entryFromWire(e *peer.EndpointEntry) directory.Entry {
	return directory.Entry{
		Name: model.EndpointName(e.GetName()), Pool: model.PoolName(e.GetPool()), Address: e.GetAddress(),
		Domain: model.DomainName(e.GetDomain()), Slots: int(e.GetSlots()), Draining: e.GetDraining(), Started: e.GetStarted(), Sequence: e.GetSequence(),
		Software: model.SoftwareVersion(e.GetSoftware()), Reclaimable: e.GetReclaimable(),
		Leaves: time.Duration(e.GetLeavesMs()) * time.Millisecond,
	}
}

func position(era, offset uint64) model.Position {
	return model.Position{Era: model.Era(era), Offset: model.Offset(offset)}
}

func instanceToWire(i model.Instance) *peer.EndpointInstance {
	return &peer.EndpointInstance{Name: string(i.Name), Started: i.Started}
}

func instanceFromWire(i *peer.EndpointInstance) model.Instance {
	return model.Instance{Name: model.EndpointName(i.GetName()), Started: i.GetStarted()}
}
