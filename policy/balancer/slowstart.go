package balancer

import (
	"cmp"
	"math"
	"time"
)

// SlowStartConfig tells how endpoints that have just started take up work.
type SlowStartConfig struct {
	// MinWeight is the share of its capacity that an endpoint has at its start.
	MinWeight float64
	// Window is the time in which the capacity grows evenly to the whole; 0 turns slow start off.
	Window time.Duration
	// BudgetMultiple is the multiple of an endpoint's capacity that all gateways together may send within
	// BudgetSpan; 0 sets no limit.
	BudgetMultiple float64
	// BudgetSpan is the time over which BudgetMultiple is counted.
	BudgetSpan time.Duration
}

const (
	// minSlowStartWeight bounds the weight of an endpoint below, so that it gets some attempts whatever the
	// settings say.
	minSlowStartWeight = 0.01
	// slowStartRateFactor limits the rate of attempts at an endpoint in slow start, in multiples of what a warm
	// endpoint answers for the same weight: above 1, so that the endpoint is kept busy.
	slowStartRateFactor = 1.5
	// slowStartBudgetShare limits them also to this share of BudgetMultiple: the rest is a margin for random
	// variation and for what the gateways do not know of each other.
	slowStartBudgetShare = 0.6
	// minBudgetSpanSeconds bounds BudgetSpan below, in seconds: over a shorter span the rate of answers is too
	// uncertain.
	minBudgetSpanSeconds = 1
)

// capacityCache is a cached sum over the serving endpoints.
type capacityCache struct {
	computedAt          time.Duration
	warmEquivalents     float64 // sum of the slow-start weights
	warmConnectionShare float64 // share of the warm endpoints that likely have a warm connection
}

// expire makes the capacity be computed anew at the next use.
func (c *capacityCache) expire(interval time.Duration) { c.computedAt = -interval }

// answerRates are the rates of successful answers at this gateway, with exponential decay.
type answerRates struct {
	lastAnswerAt time.Duration // of the last answer
	perSecond    float64       // answers a second, with a time constant of one second

	spanAnswersPerSecond     float64 // answers a second, with the budget span as the time constant
	spanCapacity             float64 // capacity that they came from, in warm endpoints, with the same time constant
	perSecondPerWarmEndpoint float64 // answers a second of one warm endpoint, as of the last answer
}

// slowStartWeight is the share of its capacity that an endpoint has at its age: it grows evenly from the
// minimum to 1.
func (b *Balancer) slowStartWeight(now time.Duration, e *Endpoint) float64 {
	age := now - e.StartedAt
	if e.StartedAt == 0 || age >= b.config.SlowStart.Window || b.config.SlowStart.Window <= 0 {
		return 1
	}
	minWeight := max(b.config.SlowStart.MinWeight, minSlowStartWeight)
	return minWeight + (1-minWeight)*max(0, age.Seconds())/b.config.SlowStart.Window.Seconds()
}

// servingCapacity is the capacity of the serving endpoints, in warm endpoints.
func (b *Balancer) servingCapacity(now time.Duration) float64 {
	if now >= b.capacity.computedAt+b.config.CapacityCacheTTL {
		b.computeCapacity(now)
	}
	return max(b.capacity.warmEquivalents, b.config.SlowStart.MinWeight, minSlowStartWeight)
}

func (b *Balancer) computeCapacity(now time.Duration) {
	sum, warm, connected := 0.0, 0.0, 0.0
	for _, e := range b.serving {
		weight := b.slowStartWeight(now, e)
		sum += weight
		if weight < 1 {
			continue
		}
		warm++
		if b.hasWarmConnection(now, e) {
			connected++
		}
	}
	b.capacity = capacityCache{computedAt: now, warmEquivalents: sum, warmConnectionShare: 1}
	if warm > 0 {
		b.capacity.warmConnectionShare = connected / warm
	}
}

// recordAnswer counts an answer in the rates. The budget span is the one over which the settings count what
// an endpoint in slow start gets: over a shorter one the rate of a gateway with few requests, computed as an
// answer comes, would seem larger than it is. The rate is put in relation to the capacity of that time: where
// all endpoints restart at once, what they answered when they were warm is no measure of what they can now.
func (b *Balancer) recordAnswer(now time.Duration) {
	elapsed := (now - b.answerRates.lastAnswerAt).Seconds()
	span := max(b.config.SlowStart.BudgetSpan.Seconds(), minBudgetSpanSeconds)
	current := b.servingCapacity(now)
	decay := math.Exp(-elapsed / span)
	rates := &b.answerRates
	rates.spanCapacity = current + (rates.spanCapacity-current)*decay
	rates.spanAnswersPerSecond = 1/span + rates.spanAnswersPerSecond*decay
	rates.perSecondPerWarmEndpoint = rates.spanAnswersPerSecond / rates.spanCapacity
	rates.perSecond = 1 + rates.perSecond*math.Exp(-elapsed)
	rates.lastAnswerAt = now
}

// pacingAllows reports whether an endpoint in slow start may get an attempt now. Attempts are spaced by what
// one warm endpoint answers to this gateway, scaled to the weight, so that the sum over all gateways stays
// within the endpoint's capacity. The first comes after a random part of the pause, from when the endpoint is
// known: the gateways do not all start at once.
func (b *Balancer) pacingAllows(now time.Duration, e *Endpoint, weight float64) bool {
	multiple := cmp.Or(b.config.SlowStart.BudgetMultiple, math.Inf(1))
	rateFactor := min(slowStartRateFactor, slowStartBudgetShare*multiple)
	rate := rateFactor * weight *
		max(b.answerRates.perSecondPerWarmEndpoint, initialAttemptsPerEndpoint/b.gatewaysPerEndpoint)
	return (now - e.lastAttemptAt).Seconds() >= e.pacingPauseShare/rate
}
