// Package settings reads the settings of a host: what a process needs before it
// can reach the platform. Everything else is part of the configuration, which
// operators publish.
package settings

import (
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Settings is the content of host.toml. The tag "allowed" describes the valid
// values of a key in error messages and in docs/SETTINGS.md.
type Settings struct {
	// Host is the name of this host, unique among all hosts.
	Host string `toml:"host" allowed:"a name that no other host has"`
	// Domain is the failure domain of the host.
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
	// Callers serves callers.
	Callers string `toml:"callers" allowed:"an address as ip:port that no other listener has"`
	// Operators serves operators.
	Operators string `toml:"operators" allowed:"an address as ip:port that no other listener has"`
	// Peers serves the other hosts.
	Peers string `toml:"peers" allowed:"an address as ip:port that no other listener has"`
}

// Platform configures access to the platform's services.
type Platform struct {
	// URL is the root URL of the platform's HTTP services.
	URL string `toml:"url" allowed:"an http or https URL"`
	// Timeout bounds one call.
	Timeout opconfig.Duration `toml:"timeout" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// Retention is how long the log retains a record. Hosts append the
	// configuration in force again well before it expires.
	Retention opconfig.Duration `toml:"retention" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// ListEvery is the time between reads of the host list.
	ListEvery opconfig.Duration `toml:"list_every" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// Peers configures the communication between hosts.
type Peers struct {
	// Secret authenticates hosts to each other if no TLS files are set.
	Secret string `toml:"secret" allowed:"at least 16 characters, the same on all hosts; may be left out with TLS files"`
	// CertFile, KeyFile and CAFile enable mutual TLS; either all or none are set.
	CertFile string `toml:"cert_file,omitempty" allowed:"a readable PEM file; set all of cert_file, key_file and ca_file or none"`
	KeyFile  string `toml:"key_file,omitempty" allowed:"a readable PEM file; set all of cert_file, key_file and ca_file or none"`
	CAFile   string `toml:"ca_file,omitempty" allowed:"a readable PEM file; set all of cert_file, key_file and ca_file or none"`
	// Seeds are peer addresses to try while the host list is unreachable.
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

// Limits bounds the resources that a caller can use on the host.
type Limits struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `toml:"max_body" allowed:"a whole number of bytes over 0"`
	// MaxHeader is the largest header in bytes.
	MaxHeader int `toml:"max_header" allowed:"a whole number of bytes over 0"`
	// MaxOutcome is the largest response in bytes that is recorded for retries.
	MaxOutcome int `toml:"max_outcome" allowed:"a whole number of bytes over 0"`
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout opconfig.Duration `toml:"header_timeout" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout opconfig.Duration `toml:"idle_timeout" allowed:"a time span over 0 with its unit, such as \"200ms\" or \"2s\""`
}

// Log configures the log of the host.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level" allowed:"debug, info, warn or error"`
	// Format is text or json.
	Format string `toml:"format" allowed:"text or json"`
}
