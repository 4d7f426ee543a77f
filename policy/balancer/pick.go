package balancer

import (
	"math"
	"slices"
	"time"

	"lemontack/policy/model"
)

const (
	// MaxCandidates is the number of endpoints that the choice for a first attempt looks at: its cost stays
	// bounded, and the best of a sample that large is nearly as good as the best of all.
	MaxCandidates = 256

	// tieBreakSpread is the random part of a score: equal endpoints share the requests, and the gateways do
	// not all choose the same one.
	tieBreakSpread = 0.1
	// handshakeCostFactor times the price of a handshake is the share by which a handshake raises a score:
	// one of price 0.1 counts as much as the expected latency.
	handshakeCostFactor = 10.0
	// crossZoneFactor is the factor on the score of an endpoint in another zone, where crossing zones has a
	// price.
	crossZoneFactor = 1.3
	// lastResortFactor is the factor on the score of an endpoint that is chosen only where there is no other.
	lastResortFactor = 100.0
)

// Query is what the choice for one attempt has to respect.
type Query struct {
	// TriedEndpoints are the endpoints of the request's earlier attempts; others are preferred.
	TriedEndpoints []*Endpoint
	// MaybeExecutedAt is the endpoint at which the request may have been executed, or nil. The choice is then
	// limited to the endpoints that share its idempotency keys in DeduplicationScope.
	MaybeExecutedAt *Endpoint
	// DeduplicationScope is the deduplication scope of the request's class.
	DeduplicationScope model.DeduplicationScope
}

// allows reports whether the attempt may go to an endpoint without the risk of a second execution.
func (query *Query) allows(e *Endpoint) bool {
	return query.MaybeExecutedAt == nil ||
		query.DeduplicationScope.Shares(query.MaybeExecutedAt.Endpoint, e.Endpoint)
}

// Pick returns the endpoint with the least expected latency among those that may take the request now, or nil
// if there is none.
//
// For a first attempt it looks at an evenly spaced sample of a long list. A further attempt, which may be
// limited to the few endpoints of a deduplication scope, looks at all.
func (b *Balancer) Pick(now time.Duration, query Query) *Endpoint {
	step := (len(b.serving) + MaxCandidates - 1) / MaxCandidates
	if step > 1 && len(query.TriedEndpoints) == 0 {
		if e := b.pickFrom(now, &query, b.rng.IntN(step), step); e != nil {
			return e
		}
	}
	return b.pickFrom(now, &query, 0, 1)
}

// pickFrom is the choice among each step-th endpoint from an index on.
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

// score is the expected latency of an attempt, in mean latencies, with the prices of a handshake and of
// another zone.
//
// Where many gateways share the endpoints, nearly all have no attempt in flight from here, and one in slow
// start would always look worse than a warm one. Therefore its weight is the probability that it takes part
// in the choice, where it then counts as any other. It is charged for a handshake only as often as warm
// endpoints are.
func (b *Balancer) score(now time.Duration, e *Endpoint, weight float64) float64 {
	score := b.currentRelativeLatency(now, e) * (1 + float64(len(e.inFlight)))
	score *= 1 + tieBreakSpread*b.rng.Float64()
	isWarm := weight == 1
	if weight < 1 && b.rng.Float64() >= weight {
		score *= 1 / weight // takes no part, unless the others have as many attempts in flight
	} else if !b.hasWarmConnection(now, e) && (isWarm || b.rng.Float64() >= b.capacity.warmConnectionShare) {
		score *= 1 + handshakeCostFactor*b.config.HandshakePrice
	}
	if e.Zone != b.config.Zone && b.config.CrossZonePrice > 0 {
		score *= crossZoneFactor
	}
	return score
}

// hasWarmConnection reports whether an open and free connection to the endpoint is likely: one that lately
// carried an answer.
func (b *Balancer) hasWarmConnection(now time.Duration, e *Endpoint) bool {
	return e.lastSuccessAt > 0 && len(e.inFlight) == 0 &&
		now-e.lastSuccessAt < b.config.ConnectionIdleTimeout/2
}
