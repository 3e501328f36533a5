// Package settings holds the settings of a host: what a process must know
// before it can reach the platform. Everything else is configuration, which
// operators publish.
package settings

import (
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Settings is the content of host.toml. The tag "allowed" tells users what a
// key takes; it stands in error messages and in docs/SETTINGS.md.
type Settings struct {
	// Host names this host, unique among all hosts.
	Host string `toml:"host" allowed:"a name that no other host has"`
	// Domain is the host's failure domain.
	Domain string `toml:"domain" allowed:"the name of the host's failure domain"`

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
	Callers string `toml:"callers" allowed:"an address as ip:port that no other listener has"`
	// Operators serves the operators.
	Operators string `toml:"operators" allowed:"an address as ip:port that no other listener has"`
	// Peers serves the other hosts.
	Peers string `toml:"peers" allowed:"an address as ip:port that no other listener has"`
}

// Platform tells how to reach the platform's services.
type Platform struct {
	// URL is the root of the platform's HTTP services.
	URL string `toml:"url" allowed:"an http or https URL"`
	// Timeout bounds one call.
	Timeout opconfig.Duration `toml:"timeout" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// Retention is how long the log keeps a record. Hosts carry the
	// configuration in force forward well before.
	Retention opconfig.Duration `toml:"retention" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// ListEvery is the time between reads of the host list.
	ListEvery opconfig.Duration `toml:"list_every" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// Peers tells how hosts talk to each other.
type Peers struct {
	// Secret authenticates hosts to each other where TLS is not set.
	Secret string `toml:"secret" allowed:"at least 16 characters, the same on all hosts; may be left out with TLS files"`
	// TLS files; all three or none.
	CertFile string `toml:"cert_file,omitempty" allowed:"a readable PEM file; set all of cert_file, key_file and ca_file or none"`
	KeyFile  string `toml:"key_file,omitempty" allowed:"a readable PEM file; set all of cert_file, key_file and ca_file or none"`
	CAFile   string `toml:"ca_file,omitempty" allowed:"a readable PEM file; set all of cert_file, key_file and ca_file or none"`
	// Seeds are peer addresses to try while the host list is out of reach.
	Seeds []string `toml:"seeds,omitempty" allowed:"peer addresses of other hosts, each as ip:port"`
	// HeartbeatEvery is the time between heartbeats to a peer.
	HeartbeatEvery opconfig.Duration `toml:"heartbeat_every" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// Token is an operator's token. Every change is attributed to its name.
type Token struct {
	Name string `toml:"name" allowed:"a name that no other operator has"`
	// Hash is the hex SHA-256 digest of the token.
	Hash string `toml:"hash" allowed:"the SHA-256 digest of the token as 64 hex digits, which no other operator has"`
}

// Limits bounds what one caller can take of the host.
type Limits struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `toml:"max_body" allowed:"a whole number of bytes over 0"`
	// MaxHeader is the largest header in bytes.
	MaxHeader int `toml:"max_header" allowed:"a whole number of bytes over 0"`
	// MaxOutcome is the largest answer in bytes that is recorded for retries.
	MaxOutcome int `toml:"max_outcome" allowed:"a whole number of bytes over 0"`
	// HeaderTimeout bounds reading a request's header.
	HeaderTimeout opconfig.Duration `toml:"header_timeout" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// IdleTimeout bounds an idle connection.
	IdleTimeout opconfig.Duration `toml:"idle_timeout" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// Log tells what the host logs.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level" allowed:"debug, info, warn or error"`
	// Format is text or json.
	Format string `toml:"format" allowed:"text or json"`
}
