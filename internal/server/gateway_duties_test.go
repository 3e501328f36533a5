package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/internal/standin/duties"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

const (
	testLease  = time.Second
	testWindow = 500 * time.Millisecond
)

// dutyFleet is a fleet with a service for calls of duties.
type dutyFleet struct {
	*fleet
	duties *duties.Server
}

func newDutyFleet(t *testing.T) *dutyFleet {
	f := &dutyFleet{fleet: newFleet(t), duties: duties.New(testLease)}
	server := httptest.NewServer(f.duties)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	f.configure = func(s *settings.Gateway) {
		s.Duties = settings.GatewayDuties{
			Address: strings.TrimPrefix(server.URL, "http://"), Names: []string{"usage_report"},
			Lease: opconfig.Duration(testLease), UsageWindow: opconfig.Duration(testWindow),
			UsageDue: opconfig.Duration(8 * testWindow), CallsPerSecond: 50,
		}
	}
	f.publish(fleetConfig(1))
	f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	t.Cleanup(func() { must.SliceEmpty(t, f.duties.Violations()) })
	return f
}

// reported returns the number of requests in all reports.
func (f *dutyFleet) reported() int64 {
	var total int64
	for _, counts := range f.duties.Reports() {
		total += counts["club"]
	}
	return total
}

// holder returns the host that made the last call, empty for none.
func (f *dutyFleet) holder() string {
	calls := f.duties.Calls()
	if len(calls) == 0 {
		return ""
	}
	return calls[len(calls)-1].Holder
}

// startThree starts three hosts that know each other.
func (f *dutyFleet) startThree() map[string]*Gateway {
	first := f.startReadyHost("h1")
	seed := first.Address("peers")
	return map[string]*Gateway{"h1": first, "h2": f.startReadyHost("h2", seed), "h3": f.startReadyHost("h3", seed)}
}

// sendEach sends a number of requests through each host and returns how many there were.
func (f *dutyFleet) sendEach(hosts map[string]*Gateway, count int) int64 {
	for _, g := range hosts {
		for range count {
			must.Eq(f.t, http.StatusOK, f.postConfirm(g).status)
		}
	}
	return int64(count * len(hosts))
}

func (f *dutyFleet) shutdown(g *Gateway) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	must.NoError(f.t, g.Shutdown(ctx))
}

func TestUsageOfAllHostsIsReportedByOne(t *testing.T) {
	f := newDutyFleet(t)
	hosts := f.startThree()
	f.within(10*time.Second, func() bool { return f.holder() != "" })
	sent := f.sendEach(hosts, 10)
	f.within(10*time.Second, func() bool { return f.reported() == sent })
	for _, call := range f.duties.Calls() {
		must.Eq(t, f.holder(), call.Holder)
	}
}

// The holder is stopped. Its last counts are reported by the host that takes over.
func TestStoppedHolderHandsOver(t *testing.T) {
	f := newDutyFleet(t)
	hosts := f.startThree()
	f.within(10*time.Second, func() bool { return f.holder() != "" })
	before := f.holder()
	sent := f.sendEach(hosts, 10)
	f.settle()
	f.shutdown(hosts[before])
	delete(hosts, before)
	sent += f.sendEach(hosts, 10)
	f.within(10*time.Second, func() bool { return f.holder() != before && f.reported() == sent })
}

// settle waits until the hosts have exchanged their counts.
func (f *dutyFleet) settle() {
	timer := time.NewTimer(testWindow)
	defer timer.Stop()
	<-timer.C
}

// Reports that are refused, not answered or carried out late are sent again with the same
// counts. After a conflict the holder uses a higher fence.
func TestReportsSurviveFaultsOfThePlatform(t *testing.T) {
	for name, fault := range map[string]duties.Fault{
		"conflict": duties.FaultConflict, "too many": duties.FaultTooManyRequests,
		"silent": duties.FaultSilent, "late": duties.FaultLate,
	} {
		t.Run(name, func(t *testing.T) {
			f := newDutyFleet(t)
			hosts := f.startThree()
			f.within(10*time.Second, func() bool { return f.holder() != "" })
			first := f.duties.Calls()[0].Fence
			f.duties.SetFault(fault, testWindow)
			sent := f.sendEach(hosts, 5)
			f.settle()
			f.duties.SetFault(duties.FaultNone, 0)
			f.within(10*time.Second, func() bool { return f.reported() == sent })
			f.duties.Wait()
			if fault == duties.FaultConflict {
				calls := f.duties.Calls()
				must.Greater(t, first, calls[len(calls)-1].Fence)
			}
		})
	}
}

// Requests that endpoints have run count also if they failed. Each counts once, although
// the endpoint was asked again.
func TestFailedRequestsCountAsUsage(t *testing.T) {
	f := newDutyFleet(t)
	f.replicas["i-1"].SetFaults(replica.Faults{Status: 500})
	g := f.startReadyHost("h1")
	f.within(10*time.Second, func() bool { return f.holder() != "" })
	for range 5 {
		must.Eq(t, http.StatusInternalServerError, f.send(g, http.MethodGet, "/read/1", "", nil).status)
	}
	f.within(10*time.Second, func() bool { return f.reported() == 5 })
}
