package gateway

import (
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// fields are the values of a log line.
type fields = log.Fields

// logEndpoint logs a change of the list of endpoints.
func logEndpoint(logger log.Interface, c directory.Change, age time.Duration) {
	entry := logger.WithFields(fields{
		"endpoint": c.Entry.Name, "pool": c.Entry.Pool, "address": c.Entry.Address,
		"domain": c.Entry.Domain, "list_age": age.Milliseconds(),
	})
	switch {
	case c.Gone:
		entry.Info("endpoints: gone")
	case c.Entry.Draining:
		entry.Info("endpoints: draining")
	case c.Restarted:
		entry.Info("endpoints: restarted")
	default:
		entry.Info("endpoints: in use")
	}
}

// logChecked logs whether a connection to an endpoint could be opened.
func logChecked(logger log.Interface, check balance.Check, err error) {
	entry := logger.WithFields(fields{"endpoint": check.Endpoint, "address": check.Address})
	if err != nil {
		entry.WithError(err).Info("endpoints: not in reach")
		return
	}
	entry.Info("endpoints: in reach")
}

// logDomain logs that the way to a failure domain was lost or is back.
func logDomain(logger log.Interface, change balance.DomainChange) {
	entry := logger.WithField("domain", change.Domain)
	if change.CutOff {
		entry.Warn("domains: cut off")
		return
	}
	entry.Info("domains: back")
}

// logKept logs how many engines of a pool are kept for urgent requests.
func logKept(logger log.Interface, pool model.PoolName, count int) {
	logger.WithFields(fields{"pool": pool, "count": count}).Info("engines: kept for urgent requests")
}

// logPlaced logs where a request goes, and why.
func (x *exchange) logPlaced(d balance.Decision) {
	f := fields{
		"request": x.call.ID, "route": x.route.Name, "pool": x.ask.Pool, "account": x.account,
		"config": x.version, "try": x.tries + x.unreachable + 1, "tier": x.ask.Tier, "rank": x.ask.Rank,
		"prompt": x.ask.Prompt.InputTokens, "shared": x.ask.Prompt.SharedTokens(),
		"left_ms": time.Until(x.deadline).Milliseconds(),
	}
	if d.Refused() {
		f["reason"] = string(d.Reason)
		f["retry_after_ms"] = d.RetryAfter.Milliseconds()
		x.gateway.opts.Metrics.Refused(model.ClassName(x.route.Name), d.Reason)
		x.gateway.opts.Log.WithFields(f).Info("request: no endpoint")
		return
	}
	f["endpoint"] = d.Endpoint
	f["fetch_from"] = d.FetchFrom
	f["expected_ms"] = d.Expected.Milliseconds()
	f["in_flight"] = d.InFlight
	f["pending"] = d.Pending
	f["own"] = d.Own
	f["priority"] = d.Priority
	f["peers_age_ms"] = d.PeersAge.Milliseconds()
	x.gateway.opts.Log.WithFields(f).Info("request: placed")
}

// logTried logs an attempt that failed.
func (x *exchange) logTried(d balance.Decision, end tryEnd) {
	if end.answered {
		return
	}
	entry := x.gateway.opts.Log.WithFields(fields{
		"request": x.call.ID, "endpoint": d.Endpoint, "outcome": end.outcome.String(),
		"failure": failureName(end.failure), "events": x.events, "age_ms": x.ageMS(),
	})
	if end.err != nil {
		entry = entry.WithError(end.err)
	}
	entry.Info("request: attempt failed")
}

func (x *exchange) ageMS() int64 { return time.Since(x.call.Arrived).Milliseconds() }

func (x *exchange) logAnswered() {
	x.gateway.opts.Metrics.Completed(model.ClassName(x.route.Name), model.OutcomeRan)
	first := x.first.Sub(x.call.Arrived)
	x.gateway.opts.Metrics.ObserveFirstToken(model.ClassName(x.route.Name), first)
	x.gateway.opts.Log.WithFields(fields{
		"request": x.call.ID, "first_ms": first.Milliseconds(), "gap_ms": x.longestGap.Milliseconds(),
		"events": x.events, "age_ms": x.ageMS(),
	}).Info("request: answered")
}

func (x *exchange) logGone() {
	x.gateway.opts.Log.WithFields(fields{"request": x.call.ID, "events": x.events, "age_ms": x.ageMS()}).Info("request: caller has gone")
}

func (x *exchange) logBroken(cause error) {
	entry := x.gateway.opts.Log.WithFields(fields{"request": x.call.ID, "events": x.events, "age_ms": x.ageMS()})
	if cause != nil {
		entry = entry.WithError(cause)
	}
	x.gateway.opts.Metrics.Completed(model.ClassName(x.route.Name), model.OutcomeUnknown)
	entry.Warn("request: broken off")
}

func (x *exchange) logPassed() {
	x.gateway.opts.Metrics.Completed(model.ClassName(x.route.Name), model.OutcomeRan)
	x.gateway.opts.Log.WithFields(fields{
		"request": x.call.ID, "status": x.fallback.status, "age_ms": x.ageMS(),
	}).Info("request: endpoint's failure passed on")
}

func (g *Gateway) logGivenUp(x *exchange, answer *port.RequestError, cause error) {
	entry := g.opts.Log.WithFields(fields{
		"request": x.call.ID, "status": answer.Status, "outcome": answer.Outcome.String(),
		"retry_after_ms": answer.RetryAfter.Milliseconds(), "age_ms": x.ageMS(),
	})
	if cause != nil {
		entry = entry.WithError(cause)
	}
	g.opts.Metrics.Completed(model.ClassName(x.route.Name), answer.Outcome)
	entry.Info("request: given up")
}

// logRefused logs a request that fits no route or key.
func (g *Gateway) logRefused(call *port.RoutedCall, answer *port.RequestError) {
	version := model.Version(0)
	if table := g.table.Load(); table != nil {
		version = table.Version()
	}
	g.opts.Log.WithFields(fields{
		"request": call.ID, "status": answer.Status, "code": string(answer.Code), "config": version,
	}).Info("request: not admitted")
}
