package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// example returns the settings of an example, which are valid.
func example(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/silbato/host.toml")
	must.NoError(t, err)
	return string(data)
}

// TestLoadRejectsInvalidSettings makes one change to a valid file in each case.
func TestLoadRejectsInvalidSettings(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           string
	}{
		{"unknown key", `list_every =`, `list_evry =`, `:14: platform.list_evry: unknown key; allowed: url, timeout, retention, list_every`},
		{"unknown table", `[log]`, `[logs]`, `: logs: unknown key; allowed: host, domain, listen`},
		{"wrong unit", `timeout = "2s"`, `timeout = "2 sec"`, `:13: platform.timeout: unknown unit " sec" in duration "2 sec"; allowed: a time span`},
		{"missing unit", `timeout = "2s"`, `timeout = 2`, `:13: platform.timeout: number without a unit; allowed: a time span`},
		{"size with unit", `max_body = 4194304`, `max_body = "4MB"`, `limits.max_body: wrong type or unit: found a TOML string; allowed: a whole number of bytes`},
		{"syntax", `host = "silbato-north-1"`, `host = `, `:3: `},
		{"no host", `host = "silbato-north-1"`, ``, `: host: missing; allowed: a name`},
		{"no domain", `domain = "north"`, ``, `: domain: missing failure domain; allowed: the name`},
		{"port clash", `1.1:18082`, `1.1:18080`, `:9: listen.peers: 127.20.1.1:18080 clashes with listen.callers; allowed: an address`},
		{"clash of all interfaces", `127.20.1.1:18081`, `0.0.0.0:18080`, `:8: listen.operators: 0.0.0.0:18080 clashes`},
		{"name as address", `127.20.1.1:18081`, `localhost:18081`, `:8: listen.operators: "localhost" is not an IP address`},
		{"bad port", `127.20.1.1:18081`, `127.20.1.1:99999`, `:8: listen.operators: "99999" is not a port`},
		{"no listener", `operators = "127.20.1.1:18081"`, ``, `:6: listen.operators: missing address`},
		{"bad URL", `http://127`, `ftp://127`, `:12: platform.url:`},
		{"short secret", `silbato-example-secret`, `abc`, `peers.secret: only 3 characters; allowed: at least 16`},
		{"half-set TLS", `secret = "silbato`, "cert_file = \"x.pem\"\nsecret = \"silbato", `: peers.key_file: missing while another TLS file is set; allowed: a readable PEM file`},
		{"unreadable TLS", `secret = "silbato`, "cert_file = \"x.pem\"\nkey_file = \"x.pem\"\nca_file = \"x.pem\"\nsecret = \"silbato", `:17: peers.cert_file: cannot read the file: no such file`},
		{"bad seed", `127.20.2.1:18082`, `127.20.2.1`, `:18: peers.seeds: "127.20.2.1" is not an address`},
		{"bad hash", `name = "shift-lagos"`, "name = \"shift-lagos\"\nhash = \"12\"\n[[operator]]\nname = \"other\"", `:27: operator[1].hash: bad hash of operator shift-lagos; allowed: the SHA-256`},
		{"operator twice", `shift-lagos`, `shift-manila`, `:26: operator[1].name: operator shift-manila is listed twice`},
		{"span of 0", `"200ms"`, `"0s"`, `:19: peers.heartbeat_every: 0s is not over 0`},
		{"size of 0", `max_body = 4194304`, `max_body = 0`, `limits.max_body: 0 is not over 0`},
		{"unknown level", `"info"`, `"loud"`, `log.level: unknown level "loud"; allowed: debug`},
		{"unknown format", `"text"`, `"xml"`, `log.format: unknown format "xml"; allowed: text or json`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			good := example(t)
			changed := strings.Replace(good, c.old, c.new, 1)
			must.NotEqOp(t, good, changed)
			_, err := parse("host.toml", []byte(changed))
			var invalid *Error
			must.True(t, errors.As(err, &invalid))
			must.StrContains(t, err.Error(), c.want)
			must.StrHasPrefix(t, "host.toml", err.Error())
			must.StrNotContains(t, err.Error(), "\n")
		})
	}
}

func TestLoadUnreadableFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "absent.toml")
	_, err := Load(path)
	must.EqError(t, err, path+": cannot read the file: no such file or directory; allowed: a readable file in TOML")
	must.ErrorIs(t, err, os.ErrNotExist)
}

func TestLoadExamples(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/host.toml")
	must.NoError(t, err)
	must.SliceLen(t, 3, paths)
	for _, path := range paths {
		_, err := Load(path)
		must.NoError(t, err)
	}
}

// TestSettingsPageMatchesFields compares docs/SETTINGS.md with the struct tags.
func TestSettingsPageMatchesFields(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	must.NoError(t, err)
	var rows []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	var want []string
	for _, f := range append(Fields(), GatewayFields()...) {
		must.NotEqOp(t, "", f.Allowed, must.Sprint(f.Key))
		want = append(want, "| `"+f.Key+"` | "+f.Default+" | "+f.Allowed+" |")
	}
	must.Eq(t, want, rows)
}
