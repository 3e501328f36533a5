package gateway

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// A relay sends all hosts of its failure domain the same total, which includes the loads of
// the receiver, with the number of the receiver's report that it includes. So the total is
// made and encoded once. The receiver subtracts that report.

// maxSentReports is the number of own reports that a host keeps. At the shortest interval
// between digests they cover 2.5 s; a relay drops older ones.
const maxSentReports = 64

// sentReports are the newest load reports of this host.
type sentReports struct {
	reports [maxSentReports]sentReport
	next    int
}

// sentReport is a report with the number under which it was sent.
type sentReport struct {
	number int64
	loads  []balance.EndpointLoad
}

// record keeps a report and returns its number. Later reports have higher numbers, also
// after a restart of the host.
func (s *sentReports) record(now time.Time, loads []balance.EndpointLoad) int64 {
	number := now.UnixNano()
	s.reports[s.next] = sentReport{number: number, loads: loads}
	s.next = (s.next + 1) % maxSentReports
	return number
}

// find returns the loads of a report. It returns false if it is not kept.
func (s *sentReports) find(number int64) ([]balance.EndpointLoad, bool) {
	for i := range s.reports {
		if s.reports[i].number == number {
			return s.reports[i].loads, true
		}
	}
	return nil, false
}

// totalFor returns the total of the local failure domain for a host there. Hosts of earlier
// builds cannot subtract their own loads.
func (c *control) totalFor(p *peer, total port.DomainLoad) port.DomainLoad {
	own := c.balancer.PeerLoad(p.host)
	report := c.balancer.PeerReport(p.host)
	if len(own) == 0 {
		return total
	}
	if p.unpacks && report != 0 {
		total.Included = report
		return total
	}
	total.Loads, total.Encoded = balance.Subtract(total.Loads, own), nil
	return total
}

// othersLoad returns the loads of a total without those of this host. It returns false if
// the total includes a report that this host has not sent of late.
func (c *control) othersLoad(total port.DomainLoad) ([]balance.EndpointLoad, bool) {
	if total.Included == 0 {
		return total.Loads, true
	}
	own, known := c.peers.digests.reports.find(total.Included)
	return balance.Subtract(total.Loads, own), known
}
