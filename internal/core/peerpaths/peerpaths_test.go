package peerpaths_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/peerpaths"
)

const endpoint balance.EndpointKey = 7

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// report returns the report of a host that reaches all endpoints.
func report(host model.HostID, domain model.DomainName) peerpaths.Report {
	return peerpaths.Report{
		Host: host, Domain: domain, Address: string(host), LinkMbps: 100, Takes: true, Endpoints: 10, At: at(0), Until: at(10 * time.Second),
	}
}

// chosen returns how often each host is chosen while the attempts stay in progress.
func chosen(t *peerpaths.Table, domain model.DomainName, attempts int) map[model.HostID]int {
	out := make(map[model.HostID]int)
	for range attempts {
		if r, found := t.Choose(at(0), endpoint, domain); found {
			t.Begin(r.Host)
			out[r.Host]++
		}
	}
	return out
}

// An attempt goes to no host that cannot or will not send it.
func TestHostsThatCannotSendAreNotChosen(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *peerpaths.Report)
	}{
		{"takes none", func(r *peerpaths.Report) { r.Takes = false }},
		{"reaches no endpoint", func(r *peerpaths.Report) { r.Unreached = 10 }},
		{"does not reach this one", func(r *peerpaths.Report) { r.Unreached, r.Keys = 1, []balance.EndpointKey{endpoint} }},
		{"is not heard from", func(r *peerpaths.Report) { r.Until = at(0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := peerpaths.New("north", 1)
			r := report("a", "north")
			c.change(&r)
			table.Set(r)
			must.False(t, table.Reaches(at(0), endpoint))
			must.MapEmpty(t, chosen(table, "north", 3))
			table.Set(report("b", "north"))
			must.Eq(t, map[model.HostID]int{"b": 3}, chosen(table, "north", 3))
		})
	}
}

// A host that has refused, or did not reach the endpoint, is passed over for a while.
func TestHostThatFailedAnAttemptIsPassedOver(t *testing.T) {
	table := peerpaths.New("north", 1)
	table.Set(report("a", "north"))
	table.RecordRefused(at(0), "a")
	must.False(t, table.Reaches(at(400*time.Millisecond), endpoint))
	must.True(t, table.Reaches(at(600*time.Millisecond), endpoint))
	table.RecordUnreached(at(600*time.Millisecond), "a", endpoint)
	must.False(t, table.Reaches(at(700*time.Millisecond), endpoint))
	must.True(t, table.Reaches(at(700*time.Millisecond), endpoint+1))
}

// Attempts are shared by the speed of the links, with fewer over two borders of domains.
func TestAttemptsAreSharedAmongHosts(t *testing.T) {
	table := peerpaths.New("north", 1)
	fast := report("fast", "north")
	fast.LinkMbps = 300
	table.Set(fast)
	table.Set(report("slow", "north"))
	counts := chosen(table, "south", 400)
	must.Between(t, 260, counts["fast"], 340)

	table = peerpaths.New("north", 1)
	table.Set(report("near", "south"))
	table.Set(report("far", "west"))
	counts = chosen(table, "south", 300)
	must.Between(t, 180, counts["near"], 220)
}

// Only a host of the endpoint's domain that has paths itself shows that the endpoint is down.
func TestUnreachedElsewhere(t *testing.T) {
	table := peerpaths.New("north", 1)
	r := report("a", "south")
	r.Unreached, r.Keys, r.At = 1, []balance.EndpointKey{endpoint}, at(time.Second)
	table.Set(r)
	must.True(t, table.IsUnreachedAt("south", endpoint, at(0)))
	must.False(t, table.IsUnreachedAt("north", endpoint, at(0)))
	must.False(t, table.IsUnreachedAt("south", endpoint, at(2*time.Second)))
	r.Unreached = r.Endpoints
	table.Set(r)
	must.False(t, table.IsUnreachedAt("south", endpoint, at(0)))
}
