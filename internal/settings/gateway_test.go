package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// placeholder matches a field of the template that the platform fills in.
var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// renderTemplate returns the template with the fields filled in as the platform
// does.
func renderTemplate(t *testing.T) string {
	template, err := os.ReadFile("../../deploy/gateway.toml")
	must.NoError(t, err)
	text := strings.NewReplacer(
		"{{node_name}}", "front-a-1", "{{zone}}", "a", "{{bootstrap}}", "false", "{{ip}}", "10.1.0.40",
		"{{listen.front}}", "10.1.0.40:8227", "{{listen.ready}}", "10.1.0.40:8220", "{{listen.control}}", "10.1.0.40:8229",
		"{{platform.address}}", "10.200.1.7:8223", "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", `"10.1.0.40:8229","10.2.0.29:8229"`,
		"{{bounds.budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "58", "{{bounds.budget_window_s}}", "10",
		"{{bounds.grace_s}}", "8", "{{limits.memory_mb}}", "134", "{{limits.link_mbps}}", "1000.0",
	).Replace(string(template))
	must.Eq(t, "", placeholder.FindString(text), must.Sprint("a placeholder that the test does not fill in"))
	return text
}

func TestGatewayTemplate(t *testing.T) {
	s, err := parseGateway("gateway.toml", []byte(renderTemplate(t)))
	must.NoError(t, err)
	must.Eq(t, "front-a-1", s.Host)
	must.Eq(t, 58, s.Retries.Slack)
	must.Eq(t, 8*time.Second, s.Shutdown.Grace.Std())
	must.Len(t, 2, s.Peers.Seeds)
}

func TestLoadGatewayRejectsInvalidSettings(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"unknown key", "[limits]", "[limits]\nother = 1", "limits.other: unknown key; allowed: memory_mb, requests_mb, link_mbps"},
		{"no name", `host = "front-a-1"`, "", "host: missing; allowed: a name that no other host has"},
		{"no address", "10.200.1.7:8223", "store", `platform.address: "store" is not an address; allowed: an address as ip:port`},
		{"no unit", `grace = "8s"`, "grace = 8", "shutdown.grace: "},
		{"bad seed", "10.2.0.29:8229", "10.2.0.29", "peers.seeds: "},
		{"no memory", "memory_mb = 134", "memory_mb = 0", "limits.memory_mb: not over 0"},
		{"too much for requests", "memory_mb = 134", "memory_mb = 134\nrequests_mb = 68", "limits.requests_mb: not from 0 to half of limits.memory_mb"},
		{"no link", "link_mbps = 1000.0", "link_mbps = 0", "limits.link_mbps: not over 0"},
		{"short secret", "wigeonsail-entry-hosts", "short", "peers.secret: shorter than 16 characters"},
		{"negative budget", "ratio = 0.2", "ratio = -1", "retries: below 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(renderTemplate(t), c.from, c.to, 1)
			_, err := parseGateway("gateway.toml", []byte(text))
			must.Error(t, err)
			must.StrContains(t, err.Error(), c.want)
			must.StrNotContains(t, err.Error(), "\n")
		})
	}
}

func TestDutiesFromEnvironment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway.toml")
	must.NoError(t, os.WriteFile(path, []byte(renderTemplate(t)), 0o600))
	s, err := LoadGateway(path)
	must.NoError(t, err)
	must.Eq(t, "", s.Duties.Address)
	t.Setenv("WIGEONSAIL_DUTIES", "address = \"10.200.0.1:8424\"\nnames = [\"usage\"]\nusage_window = \"7s\"\n")
	s, err = LoadGateway(path)
	must.NoError(t, err)
	must.Eq(t, "10.200.0.1:8424", s.Duties.Address)
	must.Eq(t, 7*time.Second, s.Duties.UsageWindow.Std())
	must.Eq(t, []string{"usage"}, s.Duties.Names)
	t.Setenv("WIGEONSAIL_DUTIES", "address = \"10.200.0.1\"")
	_, err = LoadGateway(path)
	must.ErrorContains(t, err, "duties.address")
}
