package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Gateway is the content of gateway.toml, the settings of a host that routes
// requests for a platform.
type Gateway struct {
	// Host is the name of this host, Domain that of its failure domain.
	Host   string `toml:"host" allowed:"a name that no other host has"`
	Domain string `toml:"domain" allowed:"the name of the host's failure domain"`
	// FirstStart is true if the whole system starts for the first time, so that
	// the caches of all endpoints are still empty.
	FirstStart bool `toml:"first_start" allowed:"true or false"`
	// FairShares divides pools that are short of room among client accounts.
	FairShares bool `toml:"fair_shares" allowed:"true or false"`

	Listen   GatewayListen   `toml:"listen"`
	Platform GatewayPlatform `toml:"platform"`
	Peers    GatewayPeers    `toml:"peers"`
	Retries  GatewayRetries  `toml:"retries"`
	Shutdown GatewayShutdown `toml:"shutdown"`
	Duties   GatewayDuties   `toml:"duties"`
	Limits   GatewayLimits   `toml:"limits"`
	Log      Log             `toml:"log"`
}

// GatewayListen holds the addresses that the host listens on, as ip:port.
type GatewayListen struct {
	// Callers serves callers, Readiness the readiness check.
	Callers   string `toml:"callers" allowed:"an address as ip:port"`
	Readiness string `toml:"readiness" allowed:"an address as ip:port"`
	// Peers serves the other hosts.
	Peers string `toml:"peers" allowed:"an address as ip:port"`
	// Metrics serves the metrics.
	Metrics string `toml:"metrics" allowed:"an address as ip:port"`
}

// GatewayPlatform configures access to the platform's log service.
type GatewayPlatform struct {
	// Address is the address of the service as ip:port.
	Address string `toml:"address" allowed:"an address as ip:port"`
	// ListEvery is the time between reads of the list of endpoints.
	ListEvery opconfig.Duration `toml:"list_every" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// GatewayPeers configures the communication between hosts.
type GatewayPeers struct {
	// Secret authenticates hosts to each other.
	Secret string `toml:"secret" allowed:"at least 16 characters, the same on all hosts"`
	// Seeds are peer addresses of other hosts to contact first.
	Seeds []string `toml:"seeds" allowed:"peer addresses of other hosts, each as ip:port"`
	// ShareEvery is the minimum time between two digests sent to a peer.
	ShareEvery opconfig.Duration `toml:"share_every" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// GatewayRetries is the retry budget that all hosts share.
type GatewayRetries struct {
	// Ratio is the allowed number of retries per request. Slack is the number of
	// retries that all hosts together may make beyond that within a Window.
	Ratio  float64           `toml:"ratio" allowed:"a number of 0 or more"`
	Slack  float64           `toml:"slack" allowed:"a number of 0 or more"`
	Window opconfig.Duration `toml:"window" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// GatewayShutdown configures the shutdown of the host after SIGTERM.
type GatewayShutdown struct {
	// Grace is the time after which the platform kills the process.
	Grace opconfig.Duration `toml:"grace" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// Linger is how long the host still accepts requests while it reports not
	// ready, so that callers notice that it leaves.
	Linger opconfig.Duration `toml:"linger" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// GatewayDuties configures the calls to the platform that one host at a time makes for all
// hosts. Without an address there are none.
type GatewayDuties struct {
	// Address is the address of the platform's service for these calls as ip:port.
	Address string `toml:"address" allowed:"an address as ip:port, or nothing"`
	// Names are the platform's names of the duties that the hosts have.
	Names []string `toml:"names" allowed:"names of duties that the platform knows"`
	// Lease is how long the host that makes the calls may do so without renewal.
	Lease opconfig.Duration `toml:"lease" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// UsageWindow is the length of the windows of usage, UsageDue the time after the end of
	// a window within which it must be reported.
	UsageWindow opconfig.Duration `toml:"usage_window" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	UsageDue    opconfig.Duration `toml:"usage_due" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// CallsPerSecond is the number of these calls that the platform takes.
	CallsPerSecond float64 `toml:"calls_per_second" allowed:"a number over 0"`
}

// GatewayLimits describes the resources of the machine that the process may use.
type GatewayLimits struct {
	// Memory is the memory of the process in MB.
	Memory int `toml:"memory_mb" allowed:"a whole number of megabytes over 0"`
	// Requests is the part of it for the requests in progress: their bodies, and what callers
	// have not read of the responses.
	Requests int `toml:"requests_mb" allowed:"a whole number of megabytes, at most half of memory_mb; 45 % of it if not set"`
	// Link is the bandwidth of the machine's network link in Mbit/s. Hosts with
	// slow links forward less for other hosts.
	Link float64 `toml:"link_mbps" allowed:"a number over 0"`
}

// defaultRequestShare is the part of the memory for the requests in progress, if it is not set.
const defaultRequestShare = 0.45

// RequestMemory returns the number of bytes for the requests in progress.
func (l *GatewayLimits) RequestMemory() int64 {
	if l.Requests > 0 {
		return int64(l.Requests) << 20
	}
	return int64(defaultRequestShare * float64(int64(l.Memory)<<20))
}

// DefaultGateway returns the settings of a gateway.toml that sets no key.
func DefaultGateway() Gateway {
	return Gateway{
		Platform: GatewayPlatform{ListEvery: opconfig.Duration(700 * time.Millisecond)},
		Peers:    GatewayPeers{ShareEvery: opconfig.Duration(40 * time.Millisecond)},
		Retries:  GatewayRetries{Ratio: 0.2, Slack: 50, Window: opconfig.Duration(10 * time.Second)},
		Shutdown: GatewayShutdown{
			Grace:  opconfig.Duration(8 * time.Second),
			Linger: opconfig.Duration(3 * time.Second),
		},
		Duties: GatewayDuties{
			Lease: opconfig.Duration(3 * time.Second), UsageWindow: opconfig.Duration(5 * time.Second),
			UsageDue: opconfig.Duration(10 * time.Second), CallsPerSecond: 10,
		},
		Limits: GatewayLimits{Memory: 256, Link: 1000},
		Log:    Log{Level: "info", Format: "json"},
	}
}

// dutiesVariable is the environment variable that holds the section [duties] of a file
// without one.
const dutiesVariable = "WIGEONSAIL_DUTIES"

// LoadGateway reads and validates gateway.toml, with the section [duties] of the
// environment variable WIGEONSAIL_DUTIES if it is set. It returns an *Error for the first
// problem.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadableFileError(path, "", err)
	}
	if duties := os.Getenv(dutiesVariable); duties != "" {
		data = fmt.Appendf(data, "\n[duties]\n%s", duties)
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
		return nil, f.toError(path, idx, fields)
	}
	return &s, nil
}

// check returns the first violated rule, or nil.
func (s *Gateway) check() *violation {
	if s.Host == "" {
		return &violation{key: "host", problem: "missing"}
	}
	if s.Domain == "" {
		return &violation{key: "domain", problem: "missing failure domain"}
	}
	for _, l := range []listener{
		{"listen.callers", s.Listen.Callers},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.peers", s.Listen.Peers},
		{"listen.metrics", s.Listen.Metrics},
		{"platform.address", s.Platform.Address},
	} {
		if problem := addressProblem(l.address); problem != "" {
			return &violation{key: l.key, problem: problem}
		}
	}
	for _, seed := range s.Peers.Seeds {
		if problem := addressProblem(seed); problem != "" {
			return &violation{key: "peers.seeds", problem: problem}
		}
	}
	if problem := addressProblem(s.Duties.Address); problem != "" && s.Duties.Address != "" {
		return &violation{key: "duties.address", problem: problem}
	}
	if len(s.Peers.Secret) < minSecretLength {
		return &violation{key: "peers.secret", problem: fmt.Sprintf("shorter than %d characters", minSecretLength)}
	}
	return s.checkNumbers()
}

// checkNumbers returns the first number or time span out of range, or nil.
func (s *Gateway) checkNumbers() *violation {
	for _, span := range []struct {
		key   string
		value opconfig.Duration
	}{
		{"platform.list_every", s.Platform.ListEvery},
		{"peers.share_every", s.Peers.ShareEvery},
		{"retries.window", s.Retries.Window},
		{"shutdown.grace", s.Shutdown.Grace},
		{"shutdown.linger", s.Shutdown.Linger},
		{"duties.lease", s.Duties.Lease},
		{"duties.usage_window", s.Duties.UsageWindow},
		{"duties.usage_due", s.Duties.UsageDue},
	} {
		if span.value <= 0 {
			return &violation{key: span.key, problem: "not over 0"}
		}
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 {
		return &violation{key: "retries", problem: "below 0"}
	}
	if s.Duties.CallsPerSecond <= 0 {
		return &violation{key: "duties.calls_per_second", problem: "not over 0"}
	}
	if s.Limits.Memory <= 0 {
		return &violation{key: "limits.memory_mb", problem: "not over 0"}
	}
	if s.Limits.Requests < 0 || s.Limits.Requests > s.Limits.Memory/2 {
		return &violation{key: "limits.requests_mb", problem: "not from 0 to half of limits.memory_mb"}
	}
	if s.Limits.Link <= 0 {
		return &violation{key: "limits.link_mbps", problem: "not over 0"}
	}
	return nil
}
