// Package enginespeed learns how fast engines prefill prompts from the times to
// the first events of their responses. A Pool holds what is known of the engines
// of one pool, an Engine the difference of one engine from its pool. Hosts send
// each other the estimates with the most evidence, which are never added up, so
// that no observation counts twice. It is a state machine without I/O and
// without a clock.
package enginespeed

import (
	"iter"
	"math"
	"time"
)

const (
	// DefaultPrefillMS is the time to prefill a prompt token before anything has
	// been learned, in milliseconds.
	DefaultPrefillMS = 0.028
	// DefaultBaseMS is the time to the first event of an idle engine for an empty
	// prompt before anything has been learned, in milliseconds.
	DefaultBaseMS = 95.0
	// maxFactor bounds what is learned, as a factor on the defaults.
	maxFactor = 16.0
	// maxResidual bounds the logarithm of the ratio of a measured to an expected
	// time, so that one response that was slow for other reasons counts little.
	maxResidual = 0.8
	// maxWeight bounds the evidence for one engine, in observations: a change of
	// its speed shows after about as many.
	maxWeight = 8.0
	// priorWeight is the weight of the pool in the estimate of an engine.
	priorWeight = 1.0
	// weightHalfLife is the time after which half of the evidence for an engine
	// has been forgotten.
	weightHalfLife = 20 * time.Second
	// baseWeight is the weight of the present base against one observation.
	baseWeight = 50.0
	// meanPriorWeight is the weight of the mean before in the mean of the engines.
	meanPriorWeight = 2.0
	// levelQuantile is the quantile of the measured times that is the level of a
	// pool, levelStep the step by which the level follows. levelEvidence is the least
	// evidence of an observation that counts for it.
	levelQuantile = 0.1
	levelStep     = 0.08
	levelEvidence = 0.5
	// queuedShare is the part of an observation's weight that remains if all of
	// the prefill was for the requests ahead in the queue, whose number is
	// known less well.
	queuedShare = 0.2
	// maxTransit is how long a report is on its way, during which its evidence does not
	// decay. A report with more evidence by less than that may be one that comes back.
	maxTransit = 300 * time.Millisecond
	// trustedWeight is the evidence from which an estimate is trustworthy.
	trustedWeight = 2.0
)

// Observation is a response of an engine.
type Observation struct {
	// Took is the time from placement to the first event.
	Took time.Duration
	// OtherMS is the part of it, in milliseconds, that was spent neither on the
	// base nor on prefill, such as for fetching cached tokens.
	OtherMS float64
	// OwnTokens and QueuedTokens are the tokens that were prefilled meanwhile:
	// those of the request and those ahead of it. A token counts for more by as
	// much as the requests that ran beside have delayed it.
	OwnTokens, QueuedTokens float64
}

// Pool is what has been learned of the engines of a pool.
type Pool struct {
	// logLevel is the logarithm of the time to prefill a token at an engine without
	// much load, logMean the mean of those of all engines under their load, and
	// logBase that of the base.
	logLevel, logMean, logBase float64
}

// NewPool returns a Pool with the default speed.
func NewPool() *Pool {
	prefill := math.Log(DefaultPrefillMS)
	return &Pool{logLevel: prefill, logMean: prefill, logBase: math.Log(DefaultBaseMS)}
}

// BaseMS returns the time to the first event for an empty prompt, in
// milliseconds.
func (p *Pool) BaseMS() float64 { return math.Exp(p.logBase) }

// Refresh updates the mean speed that the engines of the pool are compared with. It moves
// from the mean before to that of the engines with evidence, so that the speed of a whole
// pool is not taken for a difference of its engines.
func (p *Pool) Refresh(now time.Time, engines iter.Seq[*Engine]) {
	sum, weights := meanPriorWeight*p.logMean, meanPriorWeight
	for e := range engines {
		weight := min(e.weightAt(now), trustedWeight)
		sum += weight * e.logPrefill
		weights += weight
	}
	p.logMean = sum / weights
}

// observeLevel moves the level towards the levelQuantile of the measured times.
func (p *Pool) observeLevel(measured float64) {
	step := levelStep * levelQuantile
	if measured < p.logLevel {
		step = levelStep * (levelQuantile - 1)
	}
	p.logLevel = bounded(p.logLevel+step, DefaultPrefillMS)
}

// Engine is what has been learned of one engine. The zero value has no evidence.
type Engine struct {
	logPrefill float64
	weight     float64
	weighedAt  time.Time
}

// Estimate is what a host sends to other hosts about an engine.
type Estimate struct {
	// PrefillMS is the time to prefill a token in milliseconds.
	PrefillMS float64
	// Weight is the evidence, in observations, which decays with their age.
	Weight float64
}

// weightAt returns the evidence that is left at a time.
func (e *Engine) weightAt(now time.Time) float64 {
	return e.weight * decayAfter(now.Sub(e.weighedAt))
}

// decayAfter returns the share of evidence that is left of an age.
func decayAfter(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / weightHalfLife.Seconds())
}

// PrefillMS returns the time to prefill a token without much load, in
// milliseconds: the level of the pool times the ratio of the engine to the mean.
func (e *Engine) PrefillMS(now time.Time, p *Pool) float64 {
	return math.Exp(bounded(p.logLevel+e.logEstimate(now, p)-p.logMean, DefaultPrefillMS))
}

// logEstimate returns the logarithm of the time to prefill a token under the present
// load: the learned one, or the nearer to the mean the less evidence there is.
func (e *Engine) logEstimate(now time.Time, p *Pool) float64 {
	weight := e.weightAt(now)
	return (weight*e.logPrefill + priorWeight*p.logMean) / (weight + priorWeight)
}

// IsTrusted reports whether there is enough evidence to rely on the estimate.
func (e *Engine) IsTrusted(now time.Time) bool { return e.weightAt(now) >= trustedWeight }

// Estimate returns the estimate for other hosts.
func (e *Engine) Estimate(now time.Time) Estimate {
	return Estimate{PrefillMS: math.Exp(e.logPrefill), Weight: e.weightAt(now)}
}

// Adopt replaces the estimate by that of another host if it rests on more
// evidence, also with the decay on its way. It reports whether it did.
func (e *Engine) Adopt(now time.Time, est Estimate) bool {
	weight := min(est.Weight, maxWeight)
	if !(est.PrefillMS > 0) || math.IsInf(est.PrefillMS, 0) || !(weight*decayAfter(maxTransit) > e.weightAt(now)) {
		return false
	}
	e.logPrefill = bounded(math.Log(est.PrefillMS), DefaultPrefillMS)
	e.weight, e.weighedAt = weight, now
	return true
}

// Observe updates the engine and its pool with a response. The difference to the
// expected time is attributed to prefill and base by their shares of it.
func (e *Engine) Observe(now time.Time, p *Pool, o Observation) {
	prefillMS := math.Exp(e.logEstimate(now, p))
	ownMS, queuedMS, baseMS := o.OwnTokens*prefillMS, o.QueuedTokens*prefillMS, p.BaseMS()
	expected := ownMS + queuedMS + baseMS
	took := float64(o.Took.Microseconds())/1000 - o.OtherMS
	residual := math.Log(max(took, 1) / expected)
	residual = min(max(residual, -maxResidual), maxResidual)
	certainty := 1 - (1-queuedShare)*queuedMS/expected
	prefillShare := (ownMS + queuedMS) / expected
	evidence := prefillShare * certainty

	p.logBase = bounded(p.logBase+residual*(1-prefillShare)*certainty/baseWeight, DefaultBaseMS)
	measured := math.Log(prefillMS) + residual
	if evidence > levelEvidence {
		p.observeLevel(measured)
	}
	// The residual refers to the estimate, the mean of all observations to them
	// alone: the pool would count again with each of them otherwise.
	if weight := e.weightAt(now) + evidence; weight > 0 {
		e.logPrefill = bounded(e.logPrefill+(measured-e.logPrefill)*evidence/weight, DefaultPrefillMS)
	}
	e.weight, e.weighedAt = min(e.weightAt(now)+evidence, maxWeight), now
}

// bounded returns a logarithm within maxFactor of a default value.
func bounded(log, value float64) float64 {
	return min(max(log, math.Log(value/maxFactor)), math.Log(value*maxFactor))
}
