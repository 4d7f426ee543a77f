package balancer

import (
	"math"
	"slices"
	"time"

	"lemontack/policy/model"
)

const (
	// MaxCandidates is the maximum size of the sample of endpoints that is examined for a first attempt. It
	// limits the cost of the choice; the best of a large sample is nearly as good as the best of all
	// endpoints.
	MaxCandidates = 256

	// tieBreakSpread is the maximum random increase of a score, as a share of it, so that equal endpoints
	// share the requests and the gateways do not all choose the same endpoint.
	tieBreakSpread = 0.1
	// handshakeCostFactor multiplies the price of a handshake to give the relative increase of the score: a
	// price of 0.1 doubles the score.
	handshakeCostFactor = 10.0
	// crossZoneFactor is the factor on the score of an endpoint in another zone, if cross-zone attempts
	// have a price.
	crossZoneFactor = 1.3
	// lastResortFactor is the factor on the score of an endpoint that is chosen only if there is no other.
	lastResortFactor = 100.0
)

// Query holds the constraints on the endpoint of one attempt.
type Query struct {
	// TriedEndpoints are the endpoints of the request's earlier attempts. Other endpoints are preferred.
	TriedEndpoints []*Endpoint
	// MaybeExecutedAt is the endpoint at which the request may have been executed, or nil. If set, the
	// choice is limited to the endpoints that share its idempotency keys in DeduplicationScope.
	MaybeExecutedAt *Endpoint
	// DeduplicationScope is the deduplication scope of the request's class.
	DeduplicationScope model.DeduplicationScope
}

// allows reports whether the attempt may be sent to an endpoint without the risk of a second execution.
func (query *Query) allows(e *Endpoint) bool {
	return query.MaybeExecutedAt == nil ||
		query.DeduplicationScope.Shares(query.MaybeExecutedAt.Endpoint, e.Endpoint)
}

// Pick returns the endpoint with the least expected latency among those that may get the request now, or
// nil if there is none.
//
// For a first attempt, Pick examines an evenly spaced sample of a long list, and all endpoints only if none
// of the sample may get the request. Further attempts may be limited to the few endpoints of a deduplication
// scope, so Pick then always examines all endpoints.
func (b *Balancer) Pick(now time.Duration, query Query) *Endpoint {
	step := (len(b.serving) + MaxCandidates - 1) / MaxCandidates
	if step > 1 && len(query.TriedEndpoints) == 0 {
		if e := b.pickFrom(now, &query, b.rng.IntN(step), step); e != nil {
			return e
		}
	}
	return b.pickFrom(now, &query, 0, 1)
}

// pickFrom chooses among every step-th endpoint, starting at index first.
func (b *Balancer) pickFrom(now time.Duration, query *Query, first, step int) *Endpoint {
	var best *Endpoint
	bestScore := math.Inf(1)
	for i := first; i < len(b.serving); i += step {
		e := b.serving[i]
		if !query.allows(e) {
			continue
		}
		weight := b.slowStartWeight(now, e)
		if weight < 1 && !b.pacingAllows(now, e, weight) {
			continue
		}
		score := b.score(now, e, weight)
		if slices.Contains(query.TriedEndpoints, e) || e.isEjected(now) {
			score *= lastResortFactor
		}
		if score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// score returns the expected latency of an attempt, in mean latencies, increased by the prices of a
// handshake and of another zone.
//
// If many gateways share the endpoints, most endpoints have no attempt in flight from this gateway, so an
// endpoint in slow start would always score worse than a warm one. Its slow-start weight is therefore used
// as the probability that it competes equally with the warm endpoints. The price of a handshake is applied
// to it with the same probability as to a warm endpoint.
func (b *Balancer) score(now time.Duration, e *Endpoint, weight float64) float64 {
	score := b.currentRelativeLatency(now, e) * (1 + float64(len(e.inFlight)))
	score *= 1 + tieBreakSpread*b.rng.Float64()
	isWarm := weight == 1
	if weight < 1 && b.rng.Float64() >= weight {
		score *= 1 / weight // that of a warm endpoint with 1/weight - 1 attempts in flight
	} else if !b.hasWarmConnection(now, e) && (isWarm || b.rng.Float64() >= b.capacity.warmConnectionShare) {
		score *= 1 + handshakeCostFactor*b.config.HandshakePrice
	}
	if e.Zone != b.config.Zone && b.config.CrossZonePrice > 0 {
		score *= crossZoneFactor
	}
	return score
}

// hasWarmConnection reports whether the gateway probably has an open, idle connection to the endpoint, over
// which it recently received an answer.
func (b *Balancer) hasWarmConnection(now time.Duration, e *Endpoint) bool {
	return e.lastSuccessAt > 0 && len(e.inFlight) == 0 &&
		now-e.lastSuccessAt < b.config.ConnectionIdleTimeout/2
}
