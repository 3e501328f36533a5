package metrics

import (
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Completed counts a request that received its final response.
func (m *Metrics) Completed(class model.ClassName, outcome model.Outcome) {
	m.requests.with(string(class), outcome.String()).Inc(1)
}

// Refused counts a refused request. The reason is a fixed text, for example
// "queue_full".
func (m *Metrics) Refused(class model.ClassName, reason fmt.Stringer) {
	m.refusals.with(string(class), reason.String()).Inc(1)
}

// Spilled counts a request that was forwarded to another failure domain.
func (m *Metrics) Spilled(class model.ClassName, to model.DomainName) {
	m.spills.with(string(class), string(to)).Inc(1)
}

// Retried counts a retry of a request. The reason is a fixed text, for example
// "endpoint_failed".
func (m *Metrics) Retried(class model.ClassName, reason string) {
	m.retries.with(string(class), reason).Inc(1)
}

// Ejected counts an ejection of an endpoint from its pool. The reason is a fixed
// text, for example "outlier".
func (m *Metrics) Ejected(pool model.PoolName, reason string) {
	m.ejections.with(string(pool), reason).Inc(1)
}

// Preempted counts an attempt that was preempted for a request of a higher tier.
func (m *Metrics) Preempted(class model.ClassName) {
	m.preemptions.with(string(class), "").Inc(1)
}

// Drained counts an endpoint that was found to be leaving. The source is what
// marked it so: "list", "config" or "report".
func (m *Metrics) Drained(pool model.PoolName, source string) {
	m.drains.with(string(pool), source).Inc(1)
}

// Wasted counts generated tokens that were not used.
func (m *Metrics) Wasted(class model.ClassName, cause fmt.Stringer, tokens int) {
	m.wasted.with(string(class), cause.String()).Inc(int64(tokens))
}

// ObserveFirstToken records the time from the arrival of a request to its first
// token.
func (m *Metrics) ObserveFirstToken(class model.ClassName, d time.Duration) {
	m.firstToken.with(string(class), "").RecordDuration(d)
}

// ObserveBetweenTokens records the time between two tokens of a response.
func (m *Metrics) ObserveBetweenTokens(class model.ClassName, d time.Duration) {
	m.betweenTokens.with(string(class), "").RecordDuration(d)
}

// PeerError counts a failed call to another host by operation.
func (m *Metrics) PeerError(op string) {
	m.peerErrors.with(op, "").Inc(1)
}

// PlatformError counts a failed call to the platform by operation and outcome.
func (m *Metrics) PlatformError(op string, outcome model.Outcome) {
	m.platformErrors.with(op, outcome.String()).Inc(1)
}

// SetPeers sets the numbers of other hosts that are known and that digests are sent
// to, and whether this host is a relay.
func (m *Metrics) SetPeers(known, links int, relay bool) {
	m.knownHosts.Update(float64(known))
	m.peerLinks.Update(float64(links))
	m.relay.Update(0)
	if relay {
		m.relay.Update(1)
	}
}

// SetBuild states the build of this host.
func (m *Metrics) SetBuild(b model.Build) {
	m.scope.Tagged(map[string]string{"commit": b.Commit, "protocol": b.Protocol}).Gauge("build_info").Update(1)
}

// SetBuilds sets the number of builds of the hosts that this host hears from, its own included,
// and how many hosts run the build of this one.
func (m *Metrics) SetBuilds(builds, same int) {
	m.builds.Update(float64(builds))
	m.sameBuild.Update(float64(same))
}

// SetListAge sets the age of the newest known read of the list of endpoints, and the
// era of the platform's store.
func (m *Metrics) SetListAge(age time.Duration, era uint64) {
	m.listAge.Update(age.Seconds())
	m.storeEra.Update(float64(era))
}

// SetConfigAge sets the time since the configuration in force was known to be the
// newest one.
func (m *Metrics) SetConfigAge(age time.Duration) { m.configAge.Update(age.Seconds()) }

// SetEngineSpeeds sets the number of engines whose speed is known well enough to rely on
// it, and the times that the fastest and the slowest of them take to prefill a token.
func (m *Metrics) SetEngineSpeeds(known int, fastest, slowest time.Duration) {
	m.knownSpeeds.Update(float64(known))
	m.fastest.Update(microseconds(fastest))
	m.slowest.Update(microseconds(slowest))
}

func microseconds(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / float64(time.Microsecond)
}

// SetLimitedEndpoints sets the number of endpoints that have stated a request limit.
func (m *Metrics) SetLimitedEndpoints(count int) { m.limited.Update(float64(count)) }

// SetBrittleEndpoints sets the number of endpoints that state that they are brittle.
func (m *Metrics) SetBrittleEndpoints(count int) { m.brittle.Update(float64(count)) }

// SetPathsLost sets whether this host reaches no endpoint.
func (m *Metrics) SetPathsLost(lost bool) {
	m.pathsLost.Update(0)
	if lost {
		m.pathsLost.Update(1)
	}
}

// SetMemoryHeld sets the number of bytes that are held for the requests in progress, and
// their limit.
func (m *Metrics) SetMemoryHeld(bytes, limit int64) {
	m.memoryHeld.Update(float64(bytes))
	m.memoryLimit.Update(float64(limit))
}

// ShedReader counts a response that was cut off because its caller reads slowly.
func (m *Metrics) ShedReader(class model.ClassName) { m.shedReaders.with(string(class), "").Inc(1) }

// SetQuarantined sets the numbers of parts of prompts and of requests that are in
// quarantine.
func (m *Metrics) SetQuarantined(parts, requests int) {
	m.quarantinedParts.Update(float64(parts))
	m.quarantinedRequests.Update(float64(requests))
}

// DutyCall counts a call of a duty to the platform by outcome.
func (m *Metrics) DutyCall(duty, outcome string) { m.dutyCalls.with(duty, outcome).Inc(1) }

// SetDutyHolder sets whether this host makes the calls of the duties.
func (m *Metrics) SetDutyHolder(holds bool) {
	m.dutyHolder.Update(0)
	if holds {
		m.dutyHolder.Update(1)
	}
}

// SetUsageReportAge sets the time from the end of a window until its report was taken.
func (m *Metrics) SetUsageReportAge(age time.Duration) { m.usageReportAge.Update(age.Seconds()) }

// Ordered counts an order of endpoints by its outcome: "accepted", "unavailable", "not_sent"
// or "unknown".
func (m *Metrics) Ordered(pool model.PoolName, outcome string) {
	m.orders.with(string(pool), outcome).Inc(1)
}

// AboveShare counts a request above its account's share of a pool, which came behind others
// or was refused.
func (m *Metrics) AboveShare(pool model.PoolName, refused bool) {
	effect := "deferred"
	if refused {
		effect = "refused"
	}
	m.aboveShare.with(string(pool), effect).Inc(1)
}

// SetCapacity sets the numbers of endpoints of the pools that can be scaled.
func (m *Metrics) SetCapacity(ordered, serving, booting, leaving int) {
	m.orderedEndpoints.Update(float64(ordered))
	m.servingEndpoints.Update(float64(serving))
	m.bootingEndpoints.Update(float64(booting))
	m.leavingEndpoints.Update(float64(leaving))
}

// Moved counts a stream that was to be moved to another endpoint. The result is a fixed text,
// for example "stopped".
func (m *Metrics) Moved(class model.ClassName, result string) {
	m.moves.with(string(class), result).Inc(1)
}

// PeerAttempt counts an attempt that was sent through another host, or by this host for
// another one. The direction is "sent" or "served", the result a fixed text, for example
// "refused".
func (m *Metrics) PeerAttempt(direction, result string) {
	m.peerAttempts.with(direction, result).Inc(1)
}
