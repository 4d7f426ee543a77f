package balancer

import (
	"math"
	"time"

	"lemontack/policy/latency"
)

const (
	// relativeLatencyGain is the weight of one answer in an endpoint's relative latency.
	relativeLatencyGain = 0.15
	// failureRelativeLatency is what a failed attempt counts for: as much as the slowest answer.
	failureRelativeLatency = latency.MaxRelative
	// halfLifeInObjectives is the half-life of a relative latency, in longest latency objectives.
	halfLifeInObjectives = 8.0
	// minAnswerRate is the least rate that the half-life is computed from, in answers a second: it bounds the
	// half-life above.
	minAnswerRate = 1e-3

	// failuresToEject is the number of consecutive failures that eject an endpoint.
	failuresToEject = 3
	// maxEjectionDoublings bounds the time of an ejection, which doubles with each further failure, to 16
	// longest latency objectives.
	maxEjectionDoublings = 4

	// overdueMeanMultiple is the number of mean latencies that an attempt in flight may last before it shows that
	// its endpoint is slow: most latencies are spread widely around their mean.
	overdueMeanMultiple = 3
)

// RecordSuccess takes in an attempt that was answered well. relativeLatency is its latency in multiples of
// the mean of its class.
func (b *Balancer) RecordSuccess(now time.Duration, e *Endpoint, relativeLatency float64) {
	e.consecutiveFailures = 0
	e.ejectedUntil = 0
	e.lastSuccessAt = now
	b.recordAnswer(now)
	b.recordRelativeLatency(now, e, relativeLatency)
}

// RecordFailure takes in an attempt that failed, and ejects the endpoint after several in a row: for longer
// each time.
func (b *Balancer) RecordFailure(now time.Duration, e *Endpoint) {
	e.consecutiveFailures++
	if e.consecutiveFailures >= failuresToEject {
		doublings := min(e.consecutiveFailures-failuresToEject, maxEjectionDoublings)
		e.ejectedUntil = now + b.config.MaxLatencyObjective*time.Duration(uint(1)<<doublings)
	}
	b.recordRelativeLatency(now, e, failureRelativeLatency)
}

// recordRelativeLatency moves the relative latency towards an observed one: the more of it was forgotten, the
// further.
func (b *Balancer) recordRelativeLatency(now time.Duration, e *Endpoint, observed float64) {
	decay := b.latencyDecay(now, e)
	e.relativeLatency = 1 + (e.relativeLatency-1)*decay
	e.relativeLatency += (1 - (1-relativeLatencyGain)*decay) * (observed - e.relativeLatency)
	e.relativeLatencyAt = now
}

// latencyDecay is the share left of what was learned of an endpoint's latency. The half-life is some
// latency objectives, or the time between two answers of an endpoint where that is longer.
func (b *Balancer) latencyDecay(now time.Duration, e *Endpoint) float64 {
	halfLife := max(halfLifeInObjectives*b.config.MaxLatencyObjective.Seconds(),
		float64(len(b.serving))/max(b.answerRates.perSecond, minAnswerRate))
	return math.Exp2(-(now - e.relativeLatencyAt).Seconds() / halfLife)
}

// decayedRelativeLatency is the relative latency by now: it returns to 1 as it is forgotten.
func (b *Balancer) decayedRelativeLatency(now time.Duration, e *Endpoint) float64 {
	return 1 + (e.relativeLatency-1)*b.latencyDecay(now, e)
}

// currentRelativeLatency is the relative latency by now, or what the oldest attempt in flight already shows
// of it.
func (b *Balancer) currentRelativeLatency(now time.Duration, e *Endpoint) float64 {
	relative := b.decayedRelativeLatency(now, e)
	if mean := b.latency.Seconds(); len(e.inFlight) > 0 && mean > 0 {
		relative = max(relative, (now-e.inFlight[0].StartedAt).Seconds()/(overdueMeanMultiple*mean))
	}
	return relative
}

// sampleRelativeLatency is what a new endpoint starts with: the relative latency of a random other one. With
// the mean it would lose to all that have been lucky, with the best it would get the requests of all gateways
// at once.
func (b *Balancer) sampleRelativeLatency(now time.Duration) float64 {
	if len(b.serving) == 0 {
		return 1
	}
	return b.decayedRelativeLatency(now, b.serving[b.rng.IntN(len(b.serving))])
}

// isEjected reports whether the endpoint is ejected as an outlier. After its time one attempt at a time shows
// whether it has recovered.
func (e *Endpoint) isEjected(now time.Duration) bool {
	return e.consecutiveFailures >= failuresToEject && (e.ejectedUntil > now || len(e.inFlight) > 0)
}
