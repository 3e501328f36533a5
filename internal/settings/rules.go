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

// minSecretLength is the shortest secret between hosts, in characters.
const minSecretLength = 16

// fault is a value that a rule refuses.
type fault struct {
	key     string
	problem string
	cause   error
}

// at adds the place in the file.
func (f *fault) at(path string, idx *lineIndex, fields []Field) *Error {
	return &Error{
		File:    path,
		Line:    idx.line(f.key),
		Key:     f.key,
		Problem: f.problem,
		Allowed: allowedFor(fields, f.key),
		Cause:   f.cause,
	}
}

// rules are checked in order on a file that could be decoded.
var rules = []func(*Settings) *fault{
	checkNames,
	checkListeners,
	checkPlatform,
	checkPeerAuth,
	checkSeeds,
	checkOperators,
	checkSpans,
	checkSizes,
	checkLog,
}

func checkNames(s *Settings) *fault {
	if s.Host == "" {
		return &fault{key: "host", problem: "missing"}
	}
	if s.Domain == "" {
		return &fault{key: "domain", problem: "missing failure domain"}
	}
	return nil
}

type listener struct{ key, address string }

func checkListeners(s *Settings) *fault {
	listeners := []listener{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
	}
	for i, l := range listeners {
		if problem := addressProblem(l.address); problem != "" {
			return &fault{key: l.key, problem: problem}
		}
		for _, earlier := range listeners[:i] {
			if clash(l.address, earlier.address) {
				return &fault{key: l.key, problem: fmt.Sprintf("%s clashes with %s", l.address, earlier.key)}
			}
		}
	}
	return nil
}

func addressProblem(address string) string {
	if address == "" {
		return "missing address"
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is no address", address)
	}
	if host != "" && net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is no IP number", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("%q is no port from 0 to 65535", port)
	}
	return ""
}

// clash tells whether two valid addresses cannot be listened on together.
// Port 0 never clashes.
func clash(a, b string) bool {
	hostA, portA, _ := net.SplitHostPort(a)
	hostB, portB, _ := net.SplitHostPort(b)
	if portA != portB || portA == "0" {
		return false
	}
	return hostA == hostB || allInterfaces(hostA) || allInterfaces(hostB)
}

func allInterfaces(host string) bool {
	return host == "" || net.ParseIP(host).IsUnspecified()
}

func checkPlatform(s *Settings) *fault {
	if s.Platform.URL == "" {
		return &fault{key: "platform.url", problem: "missing"}
	}
	u, err := url.Parse(s.Platform.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &fault{key: "platform.url", problem: fmt.Sprintf("%q is no URL of a service", s.Platform.URL), cause: err}
	}
	return nil
}

func checkPeerAuth(s *Settings) *fault {
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
		return &fault{key: missing, problem: "missing while another TLS file is set"}
	}
	for _, f := range files {
		if _, err := os.ReadFile(f.path); err != nil {
			return &fault{key: f.key, problem: unreadable(f.path, f.key, err).Problem + " " + f.path, cause: err}
		}
	}
	return nil
}

// checkSecret keeps the secret itself out of the message.
func checkSecret(secret string) *fault {
	if secret == "" {
		return &fault{key: "peers.secret", problem: "missing, and no TLS files are set"}
	}
	if len(secret) < minSecretLength {
		return &fault{key: "peers.secret", problem: fmt.Sprintf("only %d characters", len(secret))}
	}
	return nil
}

func checkSeeds(s *Settings) *fault {
	for _, seed := range s.Peers.Seeds {
		if problem := addressProblem(seed); problem != "" {
			return &fault{key: "peers.seeds", problem: problem}
		}
	}
	return nil
}

func checkOperators(s *Settings) *fault {
	for i, op := range s.Operators {
		key := fmt.Sprintf("operator[%d].", i)
		if op.Name == "" {
			return &fault{key: key + "name", problem: "missing"}
		}
		if digest, err := hex.DecodeString(op.Hash); err != nil || len(digest) != sha256.Size {
			return &fault{key: key + "hash", problem: fmt.Sprintf("bad hash of operator %s", op.Name)}
		}
		if slices.ContainsFunc(s.Operators[:i], func(o Token) bool { return o.Name == op.Name }) {
			return &fault{key: key + "name", problem: fmt.Sprintf("operator %s stands twice", op.Name)}
		}
		if slices.ContainsFunc(s.Operators[:i], func(o Token) bool { return o.Hash == op.Hash }) {
			return &fault{key: key + "hash", problem: "two operators have the same token"}
		}
	}
	return nil
}

func checkSpans(s *Settings) *fault {
	spans := []struct {
		key  string
		span opconfig.Duration
	}{
		{"platform.timeout", s.Platform.Timeout},
		{"platform.list_every", s.Platform.ListEvery},
		{"peers.heartbeat_every", s.Peers.HeartbeatEvery},
		{"limits.header_timeout", s.Limits.HeaderTimeout},
		{"limits.idle_timeout", s.Limits.IdleTimeout},
	}
	for _, v := range spans {
		if v.span <= 0 {
			return &fault{key: v.key, problem: fmt.Sprintf("%s is not over 0", v.span.Std())}
		}
	}
	return nil
}

func checkSizes(s *Settings) *fault {
	sizes := []struct {
		key   string
		bytes int64
	}{
		{"limits.max_body", s.Limits.MaxBody},
		{"limits.max_header", int64(s.Limits.MaxHeader)},
		{"limits.max_outcome", int64(s.Limits.MaxOutcome)},
	}
	for _, v := range sizes {
		if v.bytes <= 0 {
			return &fault{key: v.key, problem: fmt.Sprintf("%d is not over 0", v.bytes)}
		}
	}
	return nil
}

func checkLog(s *Settings) *fault {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		return &fault{key: "log.level", problem: fmt.Sprintf("unknown level %q", s.Log.Level)}
	}
	if !slices.Contains([]string{"text", "json"}, s.Log.Format) {
		return &fault{key: "log.format", problem: fmt.Sprintf("unknown format %q", s.Log.Format)}
	}
	return nil
}
