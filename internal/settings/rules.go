package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

// minSecretLength is the minimum length of the peer secret in characters.
const minSecretLength = 16

// violation is a setting that a rule rejects.
type violation struct {
	key     string
	problem string
	cause   error
}

// toError returns the violation as an error with its position in the file and the
// valid values of the key.
func (v *violation) toError(path string, idx *lineIndex, fields []Field) *Error {
	return &Error{
		File:    path,
		Line:    idx.line(v.key),
		Key:     v.key,
		Problem: v.problem,
		Allowed: allowedValues(fields, v.key),
		Cause:   v.cause,
	}
}

// rules are applied in order to decoded settings.
var rules = []func(*Settings) *violation{
	checkNames,
	checkListeners,
	checkPlatform,
	checkPeerAuth,
	checkSeeds,
	checkOperators,
	checkDurations,
	checkSizes,
	checkLog,
}

func checkNames(s *Settings) *violation {
	if s.Host == "" {
		return &violation{key: "host", problem: "missing"}
	}
	if s.Domain == "" {
		return &violation{key: "domain", problem: "missing failure domain"}
	}
	return nil
}

// listener is an address with its key in the settings.
type listener struct{ key, address string }

func checkListeners(s *Settings) *violation {
	listeners := []listener{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
	}
	for i, l := range listeners {
		if problem := addressProblem(l.address); problem != "" {
			return &violation{key: l.key, problem: problem}
		}
		for _, earlier := range listeners[:i] {
			if addressesConflict(l.address, earlier.address) {
				return &violation{key: l.key, problem: fmt.Sprintf("%s clashes with %s", l.address, earlier.key)}
			}
		}
	}
	return nil
}

// addressProblem describes what is wrong with an address; empty if it is valid.
func addressProblem(address string) string {
	if address == "" {
		return "missing address"
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is not an address", address)
	}
	if host != "" && net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("%q is not a port from 0 to 65535", port)
	}
	return ""
}

// addressesConflict reports whether two valid addresses cannot be listened on at
// the same time. Port 0 never conflicts.
func addressesConflict(a, b string) bool {
	hostA, portA, _ := net.SplitHostPort(a)
	hostB, portB, _ := net.SplitHostPort(b)
	if portA != portB || portA == "0" {
		return false
	}
	return hostA == hostB || isUnspecified(hostA) || isUnspecified(hostB)
}

// isUnspecified reports whether host stands for all interfaces.
func isUnspecified(host string) bool {
	return host == "" || net.ParseIP(host).IsUnspecified()
}

func checkPlatform(s *Settings) *violation {
	if s.Platform.URL == "" {
		return &violation{key: "platform.url", problem: "missing"}
	}
	u, err := url.Parse(s.Platform.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &violation{key: "platform.url", problem: fmt.Sprintf("%q is not the URL of a service", s.Platform.URL), cause: err}
	}
	return nil
}

// checkPeerAuth requires either all TLS files, readable, or a secret.
func checkPeerAuth(s *Settings) *violation {
	files := []struct{ key, path string }{
		{"peers.cert_file", s.Peers.CertFile},
		{"peers.key_file", s.Peers.KeyFile},
		{"peers.ca_file", s.Peers.CAFile},
	}
	set := 0
	missing := ""
	for _, f := range files {
		if f.path != "" {
			set++
		} else if missing == "" {
			missing = f.key
		}
	}
	if set == 0 {
		return checkSecret(s.Peers.Secret)
	}
	if missing != "" {
		return &violation{key: missing, problem: "missing while another TLS file is set"}
	}
	for _, f := range files {
		if _, err := os.ReadFile(f.path); err != nil {
			return &violation{key: f.key, problem: unreadableFileError(f.path, f.key, err).Problem + " " + f.path, cause: err}
		}
	}
	return nil
}

// checkSecret checks the peer secret. The problem never contains the secret.
func checkSecret(secret string) *violation {
	if secret == "" {
		return &violation{key: "peers.secret", problem: "missing, and no TLS files are set"}
	}
	if len(secret) < minSecretLength {
		return &violation{key: "peers.secret", problem: fmt.Sprintf("only %d characters", len(secret))}
	}
	return nil
}

func checkSeeds(s *Settings) *violation {
	for _, seed := range s.Peers.Seeds {
		if problem := addressProblem(seed); problem != "" {
			return &violation{key: "peers.seeds", problem: problem}
		}
	}
	return nil
}

func checkOperators(s *Settings) *violation {
	for i, op := range s.Operators {
		key := fmt.Sprintf("operator[%d].", i)
		if op.Name == "" {
			return &violation{key: key + "name", problem: "missing"}
		}
		if digest, err := hex.DecodeString(op.Hash); err != nil || len(digest) != sha256.Size {
			return &violation{key: key + "hash", problem: fmt.Sprintf("bad hash of operator %s", op.Name)}
		}
		if slices.ContainsFunc(s.Operators[:i], func(o Token) bool { return o.Name == op.Name }) {
			return &violation{key: key + "name", problem: fmt.Sprintf("operator %s is listed twice", op.Name)}
		}
		if slices.ContainsFunc(s.Operators[:i], func(o Token) bool { return o.Hash == op.Hash }) {
			return &violation{key: key + "hash", problem: "two operators have the same token"}
		}
	}
	return nil
}

func checkDurations(s *Settings) *violation {
	durations := []struct {
		key   string
		value opconfig.Duration
	}{
		{"platform.timeout", s.Platform.Timeout},
		{"platform.list_every", s.Platform.ListEvery},
		{"peers.heartbeat_every", s.Peers.HeartbeatEvery},
		{"limits.header_timeout", s.Limits.HeaderTimeout},
		{"limits.idle_timeout", s.Limits.IdleTimeout},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return &violation{key: d.key, problem: fmt.Sprintf("%s is not over 0", d.value.Std())}
		}
	}
	return nil
}

func checkSizes(s *Settings) *violation {
	sizes := []struct {
		key   string
		bytes int64
	}{
		{"limits.max_body", s.Limits.MaxBody},
		{"limits.max_header", int64(s.Limits.MaxHeader)},
		{"limits.max_outcome", int64(s.Limits.MaxOutcome)},
	}
	for _, size := range sizes {
		if size.bytes <= 0 {
			return &violation{key: size.key, problem: fmt.Sprintf("%d is not over 0", size.bytes)}
		}
	}
	return nil
}

func checkLog(s *Settings) *violation {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		return &violation{key: "log.level", problem: fmt.Sprintf("unknown level %q", s.Log.Level)}
	}
	if !slices.Contains([]string{"text", "json"}, s.Log.Format) {
		return &violation{key: "log.format", problem: fmt.Sprintf("unknown format %q", s.Log.Format)}
	}
	return nil
}
