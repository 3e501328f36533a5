package settings

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Gateway is the content of gateway.toml, the settings of a host that passes
// requests on for a platform.
type Gateway struct {
	// Host names this host, Domain its failure domain.
	Host   string `toml:"host"`
	Domain string `toml:"domain"`

	Listen   GatewayListen   `toml:"listen"`
	Platform GatewayPlatform `toml:"platform"`
	Peers    GatewayPeers    `toml:"peers"`
	Retries  GatewayRetries  `toml:"retries"`
	Shutdown GatewayShutdown `toml:"shutdown"`
	Limits   GatewayLimits   `toml:"limits"`
	Log      Log             `toml:"log"`
}

// GatewayListen holds the addresses that the host listens on, as ip:port.
type GatewayListen struct {
	// Callers serves the callers, Readiness says whether they should come.
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	// Peers serves the other hosts.
	Peers string `toml:"peers"`
	// Metrics serves counters and histograms.
	Metrics string `toml:"metrics"`
}

// GatewayPlatform tells how to reach the platform's log service.
type GatewayPlatform struct {
	// Address is the service's, as ip:port.
	Address string `toml:"address"`
	// ListEvery is the time between reads of the list of endpoints.
	ListEvery opconfig.Duration `toml:"list_every"`
}

// GatewayPeers tells how hosts talk to each other.
type GatewayPeers struct {
	// Secret authenticates hosts to each other.
	Secret string `toml:"secret"`
	// Seeds are peer addresses of other hosts to begin with.
	Seeds []string `toml:"seeds"`
	// ShareEvery is the least time between two digests to a peer.
	ShareEvery opconfig.Duration `toml:"share_every"`
}

// GatewayRetries is the budget of second sends that all hosts share.
type GatewayRetries struct {
	// Ratio is the allowed number of retries for each request, Slack what all
	// hosts have beyond that in a Window.
	Ratio  float64           `toml:"ratio"`
	Slack  float64           `toml:"slack"`
	Window opconfig.Duration `toml:"window"`
}

// GatewayShutdown tells how the host ends after SIGTERM.
type GatewayShutdown struct {
	// Grace is the time until the host is killed.
	Grace opconfig.Duration `toml:"grace"`
	// Linger is the time in which callers notice that the host leaves.
	Linger opconfig.Duration `toml:"linger"`
}

// GatewayLimits bounds what the process takes of its machine.
type GatewayLimits struct {
	// Memory is the process's memory in MB.
	Memory int `toml:"memory_mb"`
}

// DefaultGateway returns the settings of a file that leaves all keys out.
func DefaultGateway() Gateway {
	return Gateway{
		Platform: GatewayPlatform{ListEvery: opconfig.Duration(time.Second)},
		Peers:    GatewayPeers{ShareEvery: opconfig.Duration(40 * time.Millisecond)},
		Retries:  GatewayRetries{Ratio: 0.2, Slack: 50, Window: opconfig.Duration(10 * time.Second)},
		Shutdown: GatewayShutdown{
			Grace:  opconfig.Duration(8 * time.Second),
			Linger: opconfig.Duration(3 * time.Second),
		},
		Limits: GatewayLimits{Memory: 256},
		Log:    Log{Level: "info", Format: "json"},
	}
}

// LoadGateway reads and checks a settings file. It returns an *Error for the
// first fault.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadable(path, "", err)
	}
	idx := indexLines(data)
	s := DefaultGateway()
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&s); err != nil {
		return nil, decodeError(path, idx, err)
	}
	if f := s.check(); f != nil {
		return nil, f.at(path, idx)
	}
	return &s, nil
}

// check returns the first fault.
func (s *Gateway) check() *fault {
	if s.Host == "" {
		return &fault{key: "host", problem: "missing"}
	}
	if s.Domain == "" {
		return &fault{key: "domain", problem: "missing failure domain"}
	}
	for _, l := range []listener{
		{"listen.callers", s.Listen.Callers},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.peers", s.Listen.Peers},
		{"listen.metrics", s.Listen.Metrics},
		{"platform.address", s.Platform.Address},
	} {
		if problem := addressProblem(l.address); problem != "" {
			return &fault{key: l.key, problem: problem}
		}
	}
	for _, seed := range s.Peers.Seeds {
		if problem := addressProblem(seed); problem != "" {
			return &fault{key: "peers.seeds", problem: problem}
		}
	}
	if len(s.Peers.Secret) < minSecretLength {
		return &fault{key: "peers.secret", problem: fmt.Sprintf("shorter than %d characters", minSecretLength)}
	}
	return s.checkNumbers()
}

func (s *Gateway) checkNumbers() *fault {
	for _, span := range []struct {
		key   string
		value opconfig.Duration
	}{
		{"platform.list_every", s.Platform.ListEvery},
		{"peers.share_every", s.Peers.ShareEvery},
		{"retries.window", s.Retries.Window},
		{"shutdown.grace", s.Shutdown.Grace},
		{"shutdown.linger", s.Shutdown.Linger},
	} {
		if span.value <= 0 {
			return &fault{key: span.key, problem: "not over 0"}
		}
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 {
		return &fault{key: "retries", problem: "below 0"}
	}
	if s.Limits.Memory <= 0 {
		return &fault{key: "limits.memory_mb", problem: "not over 0"}
	}
	return nil
}
