// Package settings holds the settings of a host: what a process must know
// before it can reach the platform. Everything else is configuration, which
// operators publish.
package settings

import (
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Settings is the content of host.toml.
type Settings struct {
	// Host names this host, unique among all hosts.
	Host string `toml:"host"`
	// Domain is the host's failure domain.
	Domain string `toml:"domain"`

	Listen    Listen   `toml:"listen"`
	Platform  Platform `toml:"platform"`
	Peers     Peers    `toml:"peers"`
	Operators []Token  `toml:"operator"`
	Limits    Limits   `toml:"limits"`
	Log       Log      `toml:"log"`
}

// Listen holds the addresses that the host listens on, as host:port.
type Listen struct {
	// Callers serves the callers.
	Callers string `toml:"callers"`
	// Operators serves the operators.
	Operators string `toml:"operators"`
	// Peers serves the other hosts.
	Peers string `toml:"peers"`
}

// Platform tells how to reach the platform's services.
type Platform struct {
	// URL is the root of the platform's HTTP services.
	URL string `toml:"url"`
	// Timeout bounds one call.
	Timeout opconfig.Duration `toml:"timeout"`
	// ListEvery is the time between reads of the host list.
	ListEvery opconfig.Duration `toml:"list_every"`
}

// Peers tells how hosts talk to each other.
type Peers struct {
	// Secret authenticates hosts to each other where TLS is not set.
	Secret string `toml:"secret"`
	// TLS files; all three or none.
	CertFile string `toml:"cert_file,omitempty"`
	KeyFile  string `toml:"key_file,omitempty"`
	CAFile   string `toml:"ca_file,omitempty"`
	// Seeds are peer addresses to try while the host list is out of reach.
	Seeds []string `toml:"seeds,omitempty"`
	// HeartbeatEvery is the time between heartbeats to a peer.
	HeartbeatEvery opconfig.Duration `toml:"heartbeat_every"`
}

// Token is an operator's token. Every change is attributed to its name.
type Token struct {
	Name string `toml:"name"`
	// Hash is the hex SHA-256 digest of the token.
	Hash string `toml:"hash"`
}

// Limits bounds what one caller can take of the host.
type Limits struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `toml:"max_body"`
	// MaxHeader is the largest header in bytes.
	MaxHeader int `toml:"max_header"`
	// MaxOutcome is the largest answer in bytes that is recorded for retries.
	MaxOutcome int `toml:"max_outcome"`
	// HeaderTimeout bounds reading a request's header.
	HeaderTimeout opconfig.Duration `toml:"header_timeout"`
	// IdleTimeout bounds an idle connection.
	IdleTimeout opconfig.Duration `toml:"idle_timeout"`
}

// Log tells what the host logs.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is text or json.
	Format string `toml:"format"`
}
