package metrics

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scrape closes the metrics, which reports the last counts, and returns the page
// of the handler.
func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	must.NoError(t, m.Close())
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	must.Eq(t, 200, rec.Code)
	return rec.Body.String()
}

func TestScrapeReturnsEveryMetric(t *testing.T) {
	m, err := New(Options{})
	must.NoError(t, err)
	m.Completed("draft", model.OutcomeRan)
	m.Completed("draft", model.OutcomeRan)
	m.Refused("draft", dispatch.ReasonQueueFull)
	m.Spilled("draft", "south")
	m.Retried("draft", "endpoint_failed")
	m.Ejected("drafters", "slow")
	m.Preempted("draft")
	m.Drained("drafters", "list")
	m.Wasted("draft", burn.WasteRetry, 40)
	m.PeerError("exchange")
	m.PlatformError("append", model.OutcomeUnknown)
	m.ObserveFirstToken("draft", 3*time.Millisecond)
	m.ObserveBetweenTokens("draft", 2*time.Millisecond)
	m.SetPeers(12, 2, true)
	m.SetListAge(1500*time.Millisecond, 3)
	page := scrape(t, m)
	documented, err := os.ReadFile("../../docs/operations/logs-and-metrics.md")
	must.NoError(t, err)
	for _, name := range regexp.MustCompile(`(?m)^# TYPE (\S+)`).FindAllStringSubmatch(page, -1) {
		must.StrContains(t, string(documented), "| `"+name[1]+"` |")
	}
	for _, line := range []string{
		`wigeonsail_requests_total{class="draft",outcome="ran"} 2`,
		`wigeonsail_refusals_total{class="draft",reason="queue_full"} 1`,
		`wigeonsail_spills_total{class="draft",domain="south"} 1`,
		`wigeonsail_retries_total{class="draft",reason="endpoint_failed"} 1`,
		`wigeonsail_ejections_total{pool="drafters",reason="slow"} 1`,
		`wigeonsail_preemptions_total{class="draft"} 1`,
		`wigeonsail_drains_total{pool="drafters",source="list"} 1`,
		`wigeonsail_wasted_tokens_total{cause="retry",class="draft"} 40`,
		`wigeonsail_peer_errors_total{op="exchange"} 1`,
		`wigeonsail_platform_errors_total{op="append",outcome="unknown"} 1`,
		`wigeonsail_first_token_seconds_bucket{class="draft",le="0.002"} 0`,
		`wigeonsail_first_token_seconds_bucket{class="draft",le="0.004"} 1`,
		`wigeonsail_between_tokens_seconds_count{class="draft"} 1`,
		`wigeonsail_known_hosts 12`,
		`wigeonsail_peer_links 2`,
		`wigeonsail_relay 1`,
		`wigeonsail_list_age_seconds 1.5`,
		`wigeonsail_store_era 3`,
	} {
		must.StrContains(t, page, line+"\n")
	}
}

func TestLabelValuesAreBounded(t *testing.T) {
	m, err := New(Options{MaxValues: 2})
	must.NoError(t, err)
	for range 2 {
		for i := range 5 {
			m.Preempted(model.ClassName("c" + strconv.Itoa(i)))
		}
	}
	page := scrape(t, m)
	must.StrContains(t, page, `wigeonsail_preemptions_total{class="c1"} 2`)
	must.StrContains(t, page, `wigeonsail_preemptions_total{class="other"} 6`)
	must.Eq(t, 3, strings.Count(page, "\nwigeonsail_preemptions_total{"))
}

func TestNewRejectsNegativeMaxValues(t *testing.T) {
	_, err := New(Options{MaxValues: -1})
	must.EqError(t, err, "set up metrics: MaxValues is -1, allowed is 0 or more")
}

func BenchmarkBetweenTokens(b *testing.B) {
	m, err := New(Options{})
	must.NoError(b, err)
	defer m.Close()
	for b.Loop() {
		m.ObserveBetweenTokens("draft", 20*time.Millisecond)
	}
}

func TestDiscardAcceptsGauges(t *testing.T) {
	m := Discard()
	m.SetPeers(1, 1, true)
	m.SetListAge(time.Second, 1)
	m.SetConfigAge(time.Second)
	m.SetLimitedEndpoints(1)
	m.SetBrittleEndpoints(1)
	m.SetEngineSpeeds(2, time.Microsecond, time.Millisecond)
	m.SetQuarantined(2, 1)
}
