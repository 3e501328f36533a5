package settings

import (
	"time"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Default values of settings.
const (
	defaultPlatformTimeout = 2 * time.Second
	defaultRetention       = time.Hour
	defaultListEvery       = time.Second
	defaultHeartbeatEvery  = 200 * time.Millisecond
	defaultMaxBodyBytes    = 4 << 20
	defaultMaxHeaderBytes  = 64 << 10
	defaultMaxOutcomeBytes = 64 << 10
	defaultHeaderTimeout   = 5 * time.Second
	defaultIdleTimeout     = 90 * time.Second
)

// Default returns the settings of a host.toml that sets no key.
func Default() Settings {
	return Settings{
		Platform: Platform{
			Timeout:   opconfig.Duration(defaultPlatformTimeout),
			Retention: opconfig.Duration(defaultRetention),
			ListEvery: opconfig.Duration(defaultListEvery),
		},
		Peers: Peers{HeartbeatEvery: opconfig.Duration(defaultHeartbeatEvery)},
		Limits: Limits{
			MaxBody:       defaultMaxBodyBytes,
			MaxHeader:     defaultMaxHeaderBytes,
			MaxOutcome:    defaultMaxOutcomeBytes,
			HeaderTimeout: opconfig.Duration(defaultHeaderTimeout),
			IdleTimeout:   opconfig.Duration(defaultIdleTimeout),
		},
		Log: Log{Level: "info", Format: "text"},
	}
}
