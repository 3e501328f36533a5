package gateway

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// fields are the fields of a log line.
type fields = log.Fields

// Sources of changes of the list of endpoints other than peers.
const (
	sourceStore = "store"
	// sourceReport is a response or a digest that says that an endpoint is leaving.
	sourceReport = "report"
	// sourceTimer is the end of the time for which a change was delayed.
	sourceTimer = "timer"
)

// logEndpoint logs a change of the list of endpoints. age is the age of the
// list.
func logEndpoint(logger log.Interface, c directory.Change, age time.Duration, source string) {
	entry := logger.WithFields(fields{
		"endpoint": c.Entry.Name, "pool": c.Entry.Pool, "address": c.Entry.Address,
		"domain": c.Entry.Domain, "list_age": age.Milliseconds(), "source": source,
	})
	switch {
	case c.Removed:
		entry.Info("endpoints: removed")
	case c.Entry.Draining:
		entry.Info("endpoints: draining")
	case c.Restarted:
		entry.Info("endpoints: restarted")
	default:
		entry.Info("endpoints: added or changed")
	}
}

// logHistoryIgnored logs that a saved history of a pool says nothing about the store in the
// era in which it was read.
func logHistoryIgnored(logger log.Interface, pool model.PoolName, h resume.History, era model.Era) {
	logger.WithFields(fields{"pool": pool, "versions": h.Software, "era": h.Era, "store_era": era}).
		Warn("versions: saved history is from before the store was restored, ignored")
}

// logUnprovenEnd logs what became of a response that ended with its connection, while its
// endpoint accepted no other.
func logUnprovenEnd(logger log.Interface, end unprovenEnd, result endResult) {
	logger.WithFields(fields{
		"endpoint": end.instance.Name, "waited_ms": time.Since(end.at).Milliseconds(),
		"proven": result == endProven, "endpoint_ended": result == endOfEndpoint,
	}).Info("request: end of a response without a length")
}

// logRemovalDelayed logs that an endpoint stays in use for a while although the store
// no longer lists it.
func logRemovalDelayed(logger log.Interface, name model.EndpointName, source string) {
	logger.WithFields(fields{"endpoint": name, "source": source}).Info("endpoints: removal delayed")
}

// logLimit logs that an endpoint has stated a request limit, another one than before, or
// none any more.
func logLimit(logger log.Interface, report balance.LimitReport, source string) {
	entry := logger.WithFields(fields{"endpoint": report.Instance.Name, "source": source})
	if !report.Limited {
		entry.Info("endpoints: request limit ended")
		return
	}
	entry.WithField("limit_per_s", report.PerSecond).Warn("endpoints: request limit stated")
}

// logBrittleness logs that an endpoint states that it is brittle, with another number than
// before, or no more.
func logBrittleness(logger log.Interface, report balance.BrittleReport, source string) {
	entry := logger.WithFields(fields{"endpoint": report.Instance.Name, "source": source})
	if !report.Brittle {
		entry.Info("endpoints: brittleness ended")
		return
	}
	entry.WithField("rejections_per_s", report.Rejections).Warn("endpoints: brittleness stated")
}

// logCrash logs a request that was in progress at an endpoint which has crashed.
func logCrash(logger log.Interface, c quarantine.Crash) {
	logger.WithFields(fields{
		"endpoint": c.Endpoint.Name, "fingerprint": c.Request, "parts": c.Parts, "generation": c.Generation,
	}).Warn("endpoints: crashed under a request")
}

// logQuarantine logs that a suspect enters the quarantine, is suspended, or is released.
func logQuarantine(logger log.Interface, change quarantine.Change, source string) {
	entry := logger.WithFields(fields{"suspect": change.Suspect, "crashes": change.Crashes, "source": source})
	switch {
	case change.Released:
		entry.Info("quarantine: suspect is sent to endpoints again")
	case change.IsQuarantined():
		entry.Error("quarantine: requests are refused, endpoints crash under them")
	default:
		entry.Warn("quarantine: request is suspended, endpoints have crashed under it")
	}
}

// logCheck logs whether a connection to an endpoint could be opened.
func logCheck(logger log.Interface, check balance.Check, err error) {
	entry := logger.WithFields(fields{"endpoint": check.Endpoint, "address": check.Address})
	if err != nil {
		entry.WithError(err).Info("endpoints: connection check failed")
		return
	}
	entry.Info("endpoints: connection check succeeded")
}

// logDomain logs that a failure domain became unreachable or reachable again.
func logDomain(logger log.Interface, change balance.DomainChange) {
	entry := logger.WithField("domain", change.Domain)
	if change.Unreachable {
		entry.Warn("domains: unreachable")
		return
	}
	entry.Info("domains: reachable again")
}

// logPaths logs that this host has lost its paths to all endpoints, or has one again, and how
// many other hosts send attempts for it.
func logPaths(logger log.Interface, lost bool, receivers int) {
	entry := logger.WithField("receivers", receivers)
	if lost {
		entry.Warn("paths: no endpoint can be reached")
		return
	}
	entry.Info("paths: an endpoint can be reached again")
}

// logReserved logs how many engines of a pool are reserved for urgent requests.
func logReserved(logger log.Interface, pool model.PoolName, count int) {
	logger.WithFields(fields{"pool": pool, "count": count}).Info("engines: number reserved for urgent requests changed")
}

// logPlaced logs a placement decision and its inputs, and counts a refusal.
func (x *exchange) logPlaced(d placement) {
	f := fields{
		"request": x.call.ID, "route": x.route.Name, "pool": x.req.Pool, "account": x.account,
		"config": x.version, "try": x.delivered + x.unreachable + 1, "tier": x.req.Tier, "rank": x.req.Rank,
		"prompt": x.req.Prompt.InputTokens, "shared": x.req.Prompt.SharedPrefixTokens(),
		"left_ms": time.Until(x.deadline).Milliseconds(), "fingerprint": x.fingerprint,
	}
	if d.IsRefused() {
		f["reason"] = string(d.Reason)
		f["retry_after_ms"] = d.RetryAfter.Milliseconds()
		if d.Reason == balance.ReasonQuarantine || d.Reason == balance.ReasonSuspended {
			f["suspect"] = d.suspect
		}
		x.gateway.opts.Metrics.Refused(model.ClassName(x.route.Name), d.Reason)
		x.gateway.opts.Log.WithFields(f).Info("request: no endpoint available")
		return
	}
	f["endpoint"] = d.Endpoint
	if d.Indirect {
		f["through"] = d.through.Host
	}
	f["software"] = d.Software
	f["fetch_from"] = d.FetchFrom
	f["expected_ms"] = d.Expected.Milliseconds()
	f["in_flight"] = d.InFlight
	f["pending"] = d.QueuedPrefill
	f["own"] = d.OwnPrefill
	f["priority"] = d.Priority
	if d.Limit > 0 {
		f["limit_per_s"] = d.Limit
	}
	f["peers_age_ms"] = d.PeersAge.Milliseconds()
	x.gateway.opts.Log.WithFields(f).Info("request: placed")
}

// logAttemptFailed logs an attempt unless it was answered.
func (x *exchange) logAttemptFailed(d placement, result attemptResult) {
	if result.answered {
		return
	}
	entry := x.gateway.opts.Log.WithFields(fields{
		"request": x.call.ID, "endpoint": d.Endpoint, "outcome": result.outcome.String(),
		"failure": failureName(result.failure), "events": x.eventsSent, "attempt_events": result.events, "age_ms": x.ageMS(),
	})
	if result.failure == balance.FailureBroken {
		entry = entry.WithFields(fields{"fingerprint": x.fingerprint, "parts": x.req.Prompt.SharedPartIDs()})
	}
	if result.err != nil {
		entry = entry.WithError(result.err)
	}
	entry.Info("request: attempt failed")
}

// logResumed logs a request that resumes a stream, and how it is known where it began.
func (g *Gateway) logResumed(x *exchange, origin resume.Origin, source string) {
	g.opts.Log.WithFields(fields{
		"request": x.call.ID, "resumes": x.call.Resumes, "after_event": x.call.LastEventID,
		"pool": origin.Pool, "software": origin.Software, "source": source,
	}).Info("request: resumes a stream")
}

// ageMS returns the time since the call arrived, in milliseconds.
func (x *exchange) ageMS() int64 { return time.Since(x.call.Arrived).Milliseconds() }

// logAnswered logs a completed response and records its metrics.
func (x *exchange) logAnswered() {
	x.gateway.opts.Metrics.Completed(model.ClassName(x.route.Name), model.OutcomeRan)
	first := x.firstResponseAt.Sub(x.call.Arrived)
	x.gateway.opts.Metrics.ObserveFirstToken(model.ClassName(x.route.Name), first)
	x.gateway.opts.Log.WithFields(fields{
		"request": x.call.ID, "first_ms": first.Milliseconds(), "gap_ms": x.longestGap.Milliseconds(),
		"events": x.eventsSent, "age_ms": x.ageMS(),
	}).Info("request: answered")
}

// logCanceled logs that the caller has left. It records no metrics.
func (x *exchange) logCanceled() {
	x.gateway.opts.Log.WithFields(x.addLeaving(fields{"request": x.call.ID, "events": x.eventsSent, "age_ms": x.ageMS()})).Info("request: canceled by the caller")
}

// logInterrupted logs and counts a response that broke off after its header was
// sent.
func (x *exchange) logInterrupted(cause error) {
	entry := x.gateway.opts.Log.WithFields(x.addLeaving(fields{"request": x.call.ID, "events": x.eventsSent, "age_ms": x.ageMS()}))
	if cause != nil {
		entry = entry.WithError(cause)
	}
	x.gateway.opts.Metrics.Completed(model.ClassName(x.route.Name), model.OutcomeUnknown)
	entry.Warn("request: response interrupted")
}

// logFailureForwarded logs and counts an endpoint's error response that the
// caller receives.
func (x *exchange) logFailureForwarded() {
	x.gateway.opts.Metrics.Completed(model.ClassName(x.route.Name), model.OutcomeRan)
	x.gateway.opts.Log.WithFields(fields{
		"request": x.call.ID, "status": x.fallback.status, "age_ms": x.ageMS(),
	}).Info("request: endpoint's error response forwarded")
}

// logFailed logs and counts a request that receives an error of this host.
func (g *Gateway) logFailed(x *exchange, response *port.RequestError, cause error) {
	entry := g.opts.Log.WithFields(x.addLeaving(fields{
		"request": x.call.ID, "status": response.Status, "outcome": response.Outcome.String(),
		"retry_after_ms": response.RetryAfter.Milliseconds(), "age_ms": x.ageMS(),
	}))
	if cause != nil {
		entry = entry.WithError(cause)
	}
	g.opts.Metrics.Completed(model.ClassName(x.route.Name), response.Outcome)
	entry.Info("request: failed")
}

// logRejected logs a request that was rejected before placement.
func (g *Gateway) logRejected(call *port.RoutedCall, response *port.RequestError) {
	version := model.Version(0)
	if table := g.table.Load(); table != nil {
		version = table.Version()
	}
	g.opts.Log.WithFields(fields{
		"request": call.ID, "status": response.Status, "code": string(response.Code), "config": version,
		"config_age_ms": g.configAge(time.Now()).Milliseconds(),
	}).Info("request: rejected")
}

// logRelay logs that this host has become a relay or has ceased to be one, and the
// hosts that it relies on.
func logRelay(entry log.Interface, isRelay bool, localRelays, receivers []string) {
	entry.WithFields(fields{"relay": isRelay, "local_relays": localRelays, "receivers": receivers}).Info("peers: relay role changed")
}

// logDutyHolder logs that this host has begun or ceased to hold the duties, with its
// fencing number.
func logDutyHolder(logger log.Interface, holds bool, fence, before model.Offset) {
	if holds {
		logger.WithField("fence", fence).Info("duties: this host holds the duties")
		return
	}
	logger.WithField("fence", before).Info("duties: this host no longer holds the duties")
}

// logDutyRefused logs that the platform refused a call of a duty.
func logDutyRefused(logger log.Interface, holder port.DutyHolder, failure *port.DutyError) {
	logger.WithError(failure).WithFields(fields{"duty": failure.Duty.String(), "fence": holder.Fence}).Warn("duties: call refused")
}

// logOrder logs an order of endpoints and its result.
func logOrder(logger log.Interface, d capacity.Decision, err error) {
	kind := "steady"
	if d.Order.Reclaimable {
		kind = "reclaimable"
	}
	entry := logger.WithFields(fields{
		"pool": d.Order.Pool, "domain": d.Order.Domain, "kind": kind, "count": d.Order.Count, "before": d.Before,
		"serving": d.Serving, "need": math.Round(d.Need), "reason": d.Reason,
	})
	if err != nil {
		entry.WithError(err).Warn("capacity: order failed")
		return
	}
	entry.Info("capacity: endpoints ordered")
}

// logUsageReported logs that the platform has taken the report of a window, and the time
// since the window's end.
func logUsageReported(logger log.Interface, report usage.Report, holder port.DutyHolder, late time.Duration) {
	logger.WithFields(fields{
		"window": report.Window, "requests": report.Counts.Sum(), "accounts": len(report.Counts),
		"fence": holder.Fence, "after_ms": late.Milliseconds(),
	}).Info("usage: window reported")
}
