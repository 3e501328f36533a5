package report

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

var testTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// testInput returns 98 good and 2 refused confirmations in the failure domain
// north 5 minutes ago, and one host that did not answer.
func testInput() BurnInput {
	r := burn.NewRecorder("north")
	r.SetClasses([]opconfig.Class{{Name: "confirm <b>", Objective: 0.99}})
	recent := testTime.Add(-5 * time.Minute)
	for range 98 {
		r.Record(recent, burn.Event{Class: "confirm <b>", Result: burn.ResultServed, Tokens: 2})
	}
	for range 2 {
		r.Record(recent, burn.Event{Class: "confirm <b>", Result: burn.ResultRefused})
	}
	r.RecordWaste(recent, "confirm <b>", burn.WastePreempted, 4)
	return BurnInput{
		Aggregate: burn.Aggregate{
			Snapshot: r.Snapshot(testTime, time.Hour),
			Answered: []model.HostID{"h1"},
			Missing:  []burn.Missing{{Host: "h2", Reason: "no answer for 2s"}},
		},
		At:     testTime,
		Window: time.Hour,
	}
}

func TestBurnText(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, NewBurn(testInput()).WriteText(&out))
	must.Eq(t, `Service-level burn over 1h until 2026-03-01T12:00:00Z, from 1 hosts
No answer from host h2: no answer for 2s. All counts are too low.

CLASS        DOMAIN  OBJECTIVE  ATTAINED  BUDGET LEFT  REQUESTS  GOOD  LATE  REFUSED  FAILED  UNKNOWN  LOST  FIRING
confirm <b>  all     99.00%     98.00%    -100.00%     100       98    0     2        0       0        0     -
confirm <b>  north   99.00%     98.00%    -100.00%     100       98    0     2        0       0        0     -

CLASS        DOMAIN  BURN 5m  BURN 1h  FIRES FROM  BURN 30m  BURN 6h  FIRES FROM
confirm <b>  all     0.00     2.00     14.40       2.00      2.00     6.00
confirm <b>  north   0.00     2.00     14.40       2.00      2.00     6.00

CLASS        DOMAIN  GOOD/S  GOOD TOKENS/S  WASTED  CALLER_GONE  DEADLINE  RETRY  PREEMPTED  ENDPOINT  LIMITED  CANCELED
confirm <b>  all     0.03    0.05           2.00%   0            0         0      4          0         0        0
confirm <b>  north   0.03    0.05           2.00%   0            0         0      4          0         0        0
`, out.String())
}

func TestBurnWithoutRequests(t *testing.T) {
	var out bytes.Buffer
	b := NewBurn(BurnInput{At: testTime, Window: 90 * time.Minute})
	must.NoError(t, b.WriteText(&out))
	must.Eq(t, "Service-level burn over 1h30m until 2026-03-01T12:00:00Z, from 0 hosts\n\nNo requests in this time.\n", out.String())
	must.NoError(t, b.WriteHTML(&out))
}

func TestBurnJSON(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, NewBurn(testInput()).WriteJSON(&out))
	var got Burn
	must.NoError(t, json.Unmarshal(out.Bytes(), &got))
	must.Eq(t, 0.98, got.Classes[0].Attainment)
	must.Eq(t, []burn.Missing{{Host: "h2", Reason: "no answer for 2s"}}, got.Missing)
}

// TestBurnHTML checks that the page is complete, escapes names and loads no
// external resources.
func TestBurnHTML(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, NewBurn(testInput()).WriteHTML(&out))
	page := out.String()
	must.Eq(t, 3, strings.Count(page, "<svg"))
	must.StrContains(t, page, "<td>98.00%</td><td>-100.00%</td><td>100</td><td>98</td>")
	must.StrContains(t, page, "No answer from host h2")
	must.StrNotContains(t, page, "<b>")
	for _, loads := range []string{"src=", "href=\"http", "@import", "<script"} {
		must.StrNotContains(t, page, loads)
	}
	must.True(t, strings.HasSuffix(page, "</html>\n"))
}
