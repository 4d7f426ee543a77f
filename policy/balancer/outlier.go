package balancer

import (
	"time"

	"lemontack/policy/latency"
	"lemontack/policy/portable"
)

const (
	// relativeLatencyGain is the weight of one answer in an endpoint's relative latency.
	relativeLatencyGain = 0.15
	// failureRelativeLatency is the relative latency recorded for a failed attempt: that of the slowest
	// answer.
	failureRelativeLatency = latency.MaxRelative
	// halfLifeInObjectives is the half-life of a relative latency, in longest latency objectives.
	halfLifeInObjectives = 8.0
	// minAnswerRate is the lowest rate from which the half-life is computed, in answers per second. It bounds
	// the half-life.
	minAnswerRate = 1e-3

	// failuresToEject is the number of consecutive failures that eject an endpoint.
	failuresToEject = 3
	// maxEjectionDoublings limits the duration of an ejection, which doubles with each further failure, to
	// 16 longest latency objectives.
	maxEjectionDoublings = 4

	// overdueMeanMultiple is the number of mean latencies after which an attempt in flight indicates a slow
	// endpoint. Most latencies are spread widely around their mean, so that a lower multiple would be common.
	overdueMeanMultiple = 3
)

// RecordSuccess records a successful attempt. relativeLatency is its latency in multiples of the mean of
// its class.
func (b *Balancer) RecordSuccess(now time.Duration, e *Endpoint, relativeLatency float64) {
	e.consecutiveFailures = 0
	e.ejectedUntil = 0
	e.lastSuccessAt = now
	b.recordAnswer(now)
	b.recordRelativeLatency(now, e, relativeLatency)
}

// RecordFailure records a failed attempt, and ejects the endpoint after several consecutive failures. Each
// further failure doubles the duration of the ejection, up to a limit.
func (b *Balancer) RecordFailure(now time.Duration, e *Endpoint) {
	e.consecutiveFailures++
	if e.consecutiveFailures >= failuresToEject {
		doublings := min(e.consecutiveFailures-failuresToEject, maxEjectionDoublings)
		e.ejectedUntil = now + b.config.MaxLatencyObjective*time.Duration(uint(1)<<doublings)
	}
	b.recordRelativeLatency(now, e, failureRelativeLatency)
}

// recordRelativeLatency updates the moving average of the relative latency with an observation, whose
// weight is higher the more the average has decayed.
func (b *Balancer) recordRelativeLatency(now time.Duration, e *Endpoint, observed float64) {
	decay := b.latencyDecay(now, e)
	e.relativeLatency = 1 + (e.relativeLatency-1)*decay
	e.relativeLatency += (1 - (1-relativeLatencyGain)*decay) * (observed - e.relativeLatency)
	e.relativeLatencyAt = now
}

// latencyDecay returns the share of an endpoint's relative latency that remains after exponential decay.
// The half-life is a number of latency objectives, or the mean time between two answers of an endpoint if
// that is longer.
func (b *Balancer) latencyDecay(now time.Duration, e *Endpoint) float64 {
	halfLife := max(halfLifeInObjectives*b.config.MaxLatencyObjective.Seconds(),
		float64(len(b.serving))/max(b.answerRates.perSecond, minAnswerRate))
	return portable.Exp2(-(now - e.relativeLatencyAt).Seconds() / halfLife)
}

// decayedRelativeLatency returns the relative latency decayed to the current time. It decays to 1.
func (b *Balancer) decayedRelativeLatency(now time.Duration, e *Endpoint) float64 {
	return 1 + (e.relativeLatency-1)*b.latencyDecay(now, e)
}

// currentRelativeLatency returns the decayed relative latency, or a higher one if the oldest attempt in
// flight is overdue.
func (b *Balancer) currentRelativeLatency(now time.Duration, e *Endpoint) float64 {
	relative := b.decayedRelativeLatency(now, e)
	if mean := b.latency.Seconds(); len(e.inFlight) > 0 && mean > 0 {
		relative = max(relative, (now-e.inFlight[0].StartedAt).Seconds()/(overdueMeanMultiple*mean))
	}
	return relative
}

// sampleRelativeLatency returns the initial relative latency of a new endpoint: that of a random serving
// endpoint. With the mean, the new endpoint would rank behind all endpoints that were fast by chance; with
// the lowest, it would get the requests of all gateways at once.
func (b *Balancer) sampleRelativeLatency(now time.Duration) float64 {
	if len(b.serving) == 0 {
		return 1
	}
	return b.decayedRelativeLatency(now, b.serving[b.rng.IntN(len(b.serving))])
}

// isEjected reports whether the endpoint is ejected as an outlier. After the ejection it gets one attempt
// at a time until an attempt succeeds.
func (e *Endpoint) isEjected(now time.Duration) bool {
	return e.consecutiveFailures >= failuresToEject && (e.ejectedUntil > now || len(e.inFlight) > 0)
}
