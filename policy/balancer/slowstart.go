package balancer

import (
	"cmp"
	"math"
	"time"

	"lemontack/policy/portable"
)

// SlowStartConfig configures how the load of endpoints that have just started increases.
type SlowStartConfig struct {
	// MinWeight is the share of its capacity that an endpoint has at its start.
	MinWeight float64
	// Window is the time in which the capacity grows linearly to the full capacity; zero disables slow
	// start.
	Window time.Duration
	// BudgetMultiple is the multiple of an endpoint's capacity that all gateways together may send to it
	// within BudgetPeriod; zero means no limit.
	BudgetMultiple float64
	// BudgetPeriod is the period to which BudgetMultiple applies.
	BudgetPeriod time.Duration
}

const (
	// minSlowStartWeight is the minimum weight of an endpoint, so that it gets some attempts with any
	// settings.
	minSlowStartWeight = 0.01
	// slowStartRateFactor limits the rate of attempts at an endpoint in slow start, in multiples of the
	// answer rate of a warm endpoint scaled to the weight. It is above 1 so that the endpoint is kept busy.
	slowStartRateFactor = 1.5
	// slowStartBudgetShare additionally limits this factor to a share of BudgetMultiple. The rest is a
	// margin for random variation and for the attempts of other gateways, which this gateway does not
	// observe.
	slowStartBudgetShare = 0.6
	// minBudgetPeriodSeconds is the minimum of BudgetPeriod, in seconds: the answer rate over a shorter
	// period is too uncertain.
	minBudgetPeriodSeconds = 1
)

// capacityCache holds cached sums over the serving endpoints.
type capacityCache struct {
	computedAt          time.Duration
	warmEquivalents     float64 // capacity in warm endpoints: sum of the slow-start weights
	warmConnectionShare float64 // share of the warm endpoints that probably have a warm connection
}

// expire invalidates the cache, so that the next use computes the capacity again.
func (cache *capacityCache) expire(interval time.Duration) { cache.computedAt = -interval }

// answerRates are the rates of successful answers at this gateway, with exponential decay.
type answerRates struct {
	lastAnswerAt time.Duration
	perSecond    float64 // answers per second, with a time constant of one second

	budgetAnswersPerSecond   float64 // answers per second; the time constant is the budget period
	budgetCapacity           float64 // capacity in warm endpoints; the time constant is the budget period
	perSecondPerWarmEndpoint float64 // answers per second of one warm endpoint, at the last answer
}

// slowStartWeight returns the share of its capacity that an endpoint has at its age. It grows linearly from
// the minimum to 1.
func (b *Balancer) slowStartWeight(now time.Duration, e *Endpoint) float64 {
	age := now - e.StartedAt
	if e.StartedAt == 0 || age >= b.config.SlowStart.Window || b.config.SlowStart.Window <= 0 {
		return 1
	}
	minWeight := max(b.config.SlowStart.MinWeight, minSlowStartWeight)
	return minWeight + (1-minWeight)*max(0, age.Seconds())/b.config.SlowStart.Window.Seconds()
}

// servingCapacity returns the capacity of the serving endpoints, in warm endpoints.
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

// recordAnswer counts an answer in the rates. The time constant is the budget period, in which the settings
// limit the attempts at an endpoint in slow start: with a shorter one, the rate of a gateway with few
// requests, computed at each answer, would be too high. The rate is divided by the capacity over the same
// time, so that after a restart of all endpoints the answers of warm endpoints do not overstate the rate of
// those in slow start.
func (b *Balancer) recordAnswer(now time.Duration) {
	elapsed := (now - b.answerRates.lastAnswerAt).Seconds()
	period := max(b.config.SlowStart.BudgetPeriod.Seconds(), minBudgetPeriodSeconds)
	current := b.servingCapacity(now)
	decay := portable.Exp(-elapsed / period)
	rates := &b.answerRates
	rates.budgetCapacity = current + (rates.budgetCapacity-current)*decay
	rates.budgetAnswersPerSecond = 1/period + rates.budgetAnswersPerSecond*decay
	rates.perSecondPerWarmEndpoint = rates.budgetAnswersPerSecond / rates.budgetCapacity
	rates.perSecond = 1 + rates.perSecond*portable.Exp(-elapsed)
	rates.lastAnswerAt = now
}

// pacingAllows reports whether an endpoint in slow start may get an attempt now. The interval between
// attempts is derived from the rate at which one warm endpoint answers this gateway, scaled to the weight,
// so that the sum over all gateways stays within the endpoint's capacity. The first attempt comes after a
// random part of the interval, counted from when the endpoint was added, so that the gateways do not all
// start at once.
func (b *Balancer) pacingAllows(now time.Duration, e *Endpoint, weight float64) bool {
	multiple := cmp.Or(b.config.SlowStart.BudgetMultiple, math.Inf(1))
	rateFactor := min(slowStartRateFactor, slowStartBudgetShare*multiple)
	rate := rateFactor * weight *
		max(b.answerRates.perSecondPerWarmEndpoint, initialAttemptsPerEndpoint/b.gatewaysPerEndpoint)
	return (now - e.lastAttemptAt).Seconds() >= e.pacingIntervalShare/rate
}
