package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Gateway is the content of gateway.toml, the settings of a host that passes
// requests on for a platform.
type Gateway struct {
	// Host names this host, Domain its failure domain.
	Host   string `toml:"host" allowed:"a name that no other host has"`
	Domain string `toml:"domain" allowed:"the name of the host's failure domain"`
	// FirstStart says that the whole system starts for the first time, so that
	// no endpoint caches anything yet.
	FirstStart bool `toml:"first_start" allowed:"true or false"`

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
	Callers   string `toml:"callers" allowed:"an address as ip:port"`
	Readiness string `toml:"readiness" allowed:"an address as ip:port"`
	// Peers serves the other hosts.
	Peers string `toml:"peers" allowed:"an address as ip:port"`
	// Metrics serves counters and histograms.
	Metrics string `toml:"metrics" allowed:"an address as ip:port"`
}

// GatewayPlatform tells how to reach the platform's log service.
type GatewayPlatform struct {
	// Address is the service's, as ip:port.
	Address string `toml:"address" allowed:"an address as ip:port"`
	// ListEvery is the time between reads of the list of endpoints.
	ListEvery opconfig.Duration `toml:"list_every" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// GatewayPeers tells how hosts talk to each other.
type GatewayPeers struct {
	// Secret authenticates hosts to each other.
	Secret string `toml:"secret" allowed:"at least 16 characters, the same on all hosts"`
	// Seeds are peer addresses of other hosts to begin with.
	Seeds []string `toml:"seeds" allowed:"peer addresses of other hosts, each as ip:port"`
	// ShareEvery is the least time between two digests to a peer.
	ShareEvery opconfig.Duration `toml:"share_every" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// GatewayRetries is the budget of second sends that all hosts share.
type GatewayRetries struct {
	// Ratio is the allowed number of retries for each request, Slack what all
	// hosts have beyond that in a Window.
	Ratio  float64           `toml:"ratio" allowed:"a number of 0 or more"`
	Slack  float64           `toml:"slack" allowed:"a number of 0 or more"`
	Window opconfig.Duration `toml:"window" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// GatewayShutdown tells how the host ends after SIGTERM.
type GatewayShutdown struct {
	// Grace is the time until the host is killed.
	Grace opconfig.Duration `toml:"grace" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// Linger is the time in which callers notice that the host leaves.
	Linger opconfig.Duration `toml:"linger" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// GatewayLimits bounds what the process takes of its machine.
type GatewayLimits struct {
	// Memory is the process's memory in MB.
	Memory int `toml:"memory_mb" allowed:"a whole number of megabytes over 0"`
	// Link is the speed of the machine's link to the network in Mbit/s. Hosts
	// with slow links pass less on for others.
	Link float64 `toml:"link_mbps" allowed:"a number over 0"`
}

// DefaultGateway returns the settings of a file that leaves all keys out.
func DefaultGateway() Gateway {
	return Gateway{
		Platform: GatewayPlatform{ListEvery: opconfig.Duration(700 * time.Millisecond)},
		Peers:    GatewayPeers{ShareEvery: opconfig.Duration(40 * time.Millisecond)},
		Retries:  GatewayRetries{Ratio: 0.2, Slack: 50, Window: opconfig.Duration(10 * time.Second)},
		Shutdown: GatewayShutdown{
			Grace:  opconfig.Duration(8 * time.Second),
			Linger: opconfig.Duration(3 * time.Second),
		},
		Limits: GatewayLimits{Memory: 256, Link: 1000},
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
	return parseGateway(path, data)
}

func parseGateway(path string, data []byte) (*Gateway, error) {
	s := DefaultGateway()
	fields := GatewayFields()
	idx, err := decode(path, data, &s, fields)
	if err != nil {
		return nil, err
	}
	if f := s.check(); f != nil {
		return nil, f.at(path, idx, fields)
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
	if s.Limits.Link <= 0 {
		return &fault{key: "limits.link_mbps", problem: "not over 0"}
	}
	return nil
}
