// Package platformhttp reaches the platform's services over HTTP: the log, the
// host list and the weight store. It bounds every call, retries only reads,
// and tells whether a failed call may have taken effect.
package platformhttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/adapter/platformhttp/wire"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	defaultTimeout  = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	// maxIdleConns is enough for the host's long polls and its appends.
	maxIdleConns = 64
)

// Options configures a Platform.
type Options struct {
	// URL is the root of the platform's services, for example
	// "http://127.0.0.1:8500".
	URL string
	// Host is the name of this host; the platform sees it with every call.
	Host model.HostID
	// Timeout bounds one call; a long poll has it in addition to its wait.
	// Zero means 2 s.
	Timeout time.Duration
}

// Platform implements port.Log, port.HostList and port.WeightStore. It is
// safe for concurrent use.
type Platform struct {
	root    string
	host    model.HostID
	timeout time.Duration
	client  *http.Client
	health  *tracker
}

var (
	_ port.Log         = (*Platform)(nil)
	_ port.HostList    = (*Platform)(nil)
	_ port.WeightStore = (*Platform)(nil)
)

// New returns a Platform. It opens no connection.
func New(opts Options) *Platform {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Platform{
		root:    strings.TrimRight(opts.URL, "/"),
		host:    opts.Host,
		timeout: opts.Timeout,
		client:  &http.Client{Transport: transport},
		health:  newTracker(opts.Timeout, logState),
	}
}

func logState(h Health) {
	if h.State == StateUp {
		log.Info("platform: up")
		return
	}
	log.Warnf("platform: %s", h.State)
}

// Health returns the platform's state as seen by the calls of this host.
func (p *Platform) Health() Health { return p.health.get() }

// Close closes the idle connections.
func (p *Platform) Close() { p.client.CloseIdleConnections() }

// Append implements port.Log. It never tries twice.
func (p *Platform) Append(ctx context.Context, stream port.StreamName, data []byte) (model.Offset, error) {
	var res wire.AppendResponse
	err := p.do(ctx, call{
		op:     "append",
		method: http.MethodPost,
		path:   recordsPath(stream),
		body:   wire.AppendRequest{Data: data},
		into:   &res,
	})
	return model.Offset(res.Offset), err
}

// Read implements port.Log.
func (p *Platform) Read(ctx context.Context, stream port.StreamName, from model.Offset, max int, wait time.Duration) (port.Batch, error) {
	query := url.Values{}
	query.Set(wire.FromParam, strconv.FormatUint(uint64(from), 10))
	query.Set(wire.MaxParam, strconv.Itoa(max))
	query.Set(wire.WaitParam, wait.String())
	var res wire.ReadResponse
	err := p.retry(ctx, call{
		op:     "read",
		method: http.MethodGet,
		path:   recordsPath(stream) + "?" + query.Encode(),
		into:   &res,
		wait:   wait,
	})
	if err != nil {
		return port.Batch{}, err
	}
	return batch(res), nil
}

func recordsPath(stream port.StreamName) string {
	return wire.StreamsPath + url.PathEscape(string(stream)) + wire.RecordsSuffix
}

func batch(res wire.ReadResponse) port.Batch {
	b := port.Batch{Earliest: model.Offset(res.Earliest), Next: model.Offset(res.Next)}
	for _, r := range res.Records {
		b.Records = append(b.Records, port.Record{Offset: model.Offset(r.Offset), Data: r.Data})
	}
	return b
}

// Hosts implements port.HostList.
func (p *Platform) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	var res wire.HostsResponse
	err := p.retry(ctx, call{op: "hosts", method: http.MethodGet, path: wire.HostsPath, into: &res})
	if err != nil {
		return nil, err
	}
	hosts := make([]port.ListedHost, 0, len(res.Hosts))
	for _, h := range res.Hosts {
		hosts = append(hosts, port.ListedHost{
			Name:        h.Name,
			Domain:      model.DomainName(h.Domain),
			PeerAddress: h.PeerAddress,
			Leaving:     h.Leaving,
		})
	}
	return hosts, nil
}

// Announce implements port.HostList.
func (p *Platform) Announce(ctx context.Context, host port.ListedHost) error {
	return p.do(ctx, call{
		op:     "announce",
		method: http.MethodPut,
		path:   wire.HostsPath + "/" + url.PathEscape(host.Name),
		body: wire.Host{
			Name:        host.Name,
			Domain:      string(host.Domain),
			PeerAddress: host.PeerAddress,
			Leaving:     host.Leaving,
		},
	})
}

// Stat implements port.WeightStore.
func (p *Platform) Stat(ctx context.Context, name model.ModelName) (int64, error) {
	var res wire.WeightResponse
	err := p.do(ctx, call{
		op:     "stat",
		method: http.MethodGet,
		path:   wire.WeightsPath + escapeSegments(string(name)),
		into:   &res,
	})
	return res.Bytes, err
}

// escapeSegments escapes a name whose slashes separate path segments.
func escapeSegments(name string) string {
	segments := strings.Split(name, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/")
}
