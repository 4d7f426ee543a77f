package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	relativeLatencyGain        = 0.15  // weight of one answer in a server's relative latency
	failurePenalty             = 8.0   // what a failed attempt counts for, in mean latencies
	lastResortFactor           = 100.0 // factor on a server that is taken only where there is no other
	failuresToEject            = 3     // failures in a row that eject a server
	handshakeCostFactor        = 10.0  // mean waits that one handshake is worth, times its price
	slowStartPacing            = 1.5   // sends to a cold server, in what a warm one so small answers
	slowStartBudgetShare       = 0.6   // the same at most, in what the settings let a cold one get
	maxCandidates              = 256   // servers that a choice looks at
	latencyHalfLifeObjectives  = 8.0   // longest aims after which half of a slowness is forgotten
	initialAttemptsPerEndpoint = 4.0   // first window: attempts for each server, two cores of two
)

type endpoint struct {
	Endpoint
	inFlight                           []*attempt
	relativeLatency, pacingPhase       float64 // latency relative to the fleet's; part of the space to the next send
	relativeLatencyAt, lastSend        time.Duration
	lastSuccess                        time.Duration // its last good answer
	ejectedUntil                       time.Duration // no work before, unless too many are
	consecutiveFailures, lastLateRound int           // failures in a row; last round with an untimely end
}

// effectiveLatency is the relative latency as remembered, or what the longest wait already shows.
func (g *Gateway) effectiveLatency(s *endpoint) float64 {
	v := g.decayedLatency(s)
	if len(s.inFlight) > 0 && g.meanLatency > 0 {
		v = max(v, (g.now-s.inFlight[0].sentAt).Seconds()/(3*g.meanLatency))
	}
	return v
}

func (g *Gateway) decayedLatency(s *endpoint) float64 {
	return 1 + (s.relativeLatency-1)*g.latencyMemory(s)
}

// sampleLatency is what a new server starts with: it is taken to be like one of the others, any of them. With the
// mean it would lose to all that have been lucky, with the best it would get the work of all gateways at
// once.
func (g *Gateway) sampleLatency() float64 {
	if len(g.serving) == 0 {
		return 1
	}
	return g.decayedLatency(g.serving[g.rng.IntN(len(g.serving))])
}

// latencyMemory is the part left of what was learned: half goes in some aims, or between two answers of a server.
func (g *Gateway) latencyMemory(s *endpoint) float64 {
	half := max(latencyHalfLifeObjectives*g.maxLatencyObjective.Seconds(), float64(len(g.serving))/max(g.answerRate, 1e-3))
	return math.Exp2(-(g.now - s.relativeLatencyAt).Seconds() / half)
}

// pickEndpoint picks the server with the least expected wait among those that may take the request. Where many
// gateways share the fleet nearly all servers have nothing out from here, and a cold one would always look
// worse than a warm one: it takes part in as many choices as it is warm, and then counts as any other.
//
// For a first attempt it looks at an even sample of a long fleet, half of mostLooked at least, which has one
// nearly as good as the best of all; for a further one, which may have to go to a cell, at every one.
func (g *Gateway) pickEndpoint(r *request) *endpoint {
	if every := (len(g.serving) + maxCandidates - 1) / maxCandidates; every > 1 && len(r.attempts) == 0 {
		if s := g.bestEndpoint(r, g.rng.IntN(every), every); s != nil {
			return s
		}
	}
	return g.bestEndpoint(r, 0, 1)
}

// bestEndpoint is the choice among the servers at the given places of the fleet.
func (g *Gateway) bestEndpoint(r *request, from, every int) *endpoint {
	var best *endpoint
	bestScore := math.Inf(1)
	anchor := r.firstMaybeExecuted()
	for i := from; i < len(g.serving); i += every {
		s := g.serving[i]
		if anchor != nil && !r.class.DeduplicationScope.Shares(anchor.endpoint.Endpoint, s.Endpoint) || !g.slowStartAllows(s) {
			continue
		}
		score := g.effectiveLatency(s) * (1 + float64(len(s.inFlight))) * (1 + 0.1*g.rng.Float64())
		if w := g.slowStartWeight(s); w < 1 && g.rng.Float64() >= w {
			score *= 1 / w // out of this choice, unless the others are as full
		} else if !g.hasWarmConnection(s) && (w == 1 || g.rng.Float64() >= g.warmConnectionShare) {
			score *= 1 + handshakeCostFactor*g.settings.HandshakePrice // as many cold ones are spared as warm ones are
		}
		if s.Zone != g.settings.Zone && g.settings.CrossZonePrice > 0 {
			score *= 1.3
		}
		if r.triedEndpoint(s) || s.consecutiveFailures >= failuresToEject && (s.ejectedUntil > g.now || len(s.inFlight) > 0) {
			score *= lastResortFactor
		}
		if score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// hasWarmConnection says whether a connection to the server is likely to be open and free: one that carried a request
// lately.
func (g *Gateway) hasWarmConnection(s *endpoint) bool {
	return s.lastSuccess > 0 && len(s.inFlight) == 0 && g.now-s.lastSuccess < g.settings.ConnectionIdleTimeout/2
}

func (r *request) triedEndpoint(s *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.endpoint == s })
}

// recordLatency learns from an attempt's end.
func (g *Gateway) recordLatency(a *attempt, c *classState, o Outcome, took time.Duration) {
	if o == Cancelled || o == NotSent {
		return
	}
	s, t := a.endpoint, took.Seconds()
	seen := failurePenalty
	if o == Succeeded {
		if c.meanLatency == 0 {
			c.meanLatency, c.latencyDeviation, g.meanLatency = t, t/2, max(g.meanLatency, t)
		}
		seen = min(t/c.meanLatency, failurePenalty)
		clipped := min(t, c.meanLatency*failurePenalty)
		c.recordLatency(clipped)
		g.meanLatency += 0.05 * (clipped - g.meanLatency)
		s.consecutiveFailures, s.ejectedUntil, s.lastSuccess = 0, 0, g.now
		g.recordAnswer()
	} else {
		s.consecutiveFailures++
		if s.consecutiveFailures >= failuresToEject {
			s.ejectedUntil = g.now + g.maxLatencyObjective*time.Duration(uint(1)<<min(s.consecutiveFailures-failuresToEject, 4))
		}
	}
	left := g.latencyMemory(s)
	s.relativeLatency = 1 + (s.relativeLatency-1)*left
	s.relativeLatency += (1 - (1-relativeLatencyGain)*left) * (seen - s.relativeLatency)
	s.relativeLatencyAt = g.now
}

func (g *Gateway) handleEndpointsChanged(ev EndpointsChanged) {
	if ev.Failed {
		g.watchingEndpoints = false
		return
	}
	first := len(g.serving) == 0
	if ev.Snapshot {
		for _, s := range g.serving {
			s.State = Removed
		}
	}
	for _, e := range ev.Endpoints {
		s := g.endpoints[e.ID]
		if s == nil {
			s = &endpoint{}
			g.endpoints[e.ID] = s
		}
		if s.relativeLatency == 0 || s.StartedAt != e.StartedAt { // new or restarted: only what is still out stays
			*s = endpoint{inFlight: s.inFlight, relativeLatency: g.sampleLatency(), relativeLatencyAt: g.now, lastLateRound: -1, pacingPhase: g.rng.Float64(),
				lastSend: g.now}
		}
		s.Endpoint = e
	}
	g.serving = g.serving[:0]
	for id, s := range g.endpoints {
		if s.State == Serving {
			g.serving = append(g.serving, s)
		} else if s.State == Removed && len(s.inFlight) == 0 { // ids are ever new: it would stay for good
			delete(g.endpoints, id)
		}
	}
	slices.SortFunc(g.serving, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	g.gatewaysPerEndpoint = cmp.Or(ev.GatewaysPerEndpoint, float64(g.settings.GatewayCount))
	g.capacityAt = -g.tickInterval
	if first {
		g.window, g.retryBudget = g.initialWindow(), g.initialWindow()
	}
}

// slowStartWeight is the share of its capacity that a server surely has: it grows evenly from the cold share.
func (g *Gateway) slowStartWeight(s *endpoint) float64 {
	age := g.now - s.StartedAt
	if s.StartedAt == 0 || age >= g.settings.SlowStartWindow || g.settings.SlowStartWindow <= 0 {
		return 1
	}
	cold := max(g.settings.SlowStartMinWeight, 0.01)
	return cold + (1-cold)*max(0, age.Seconds())/g.settings.SlowStartWindow.Seconds()
}

// servingCapacity is that of the fleet, in warm servers.
func (g *Gateway) servingCapacity() float64 {
	if g.now >= g.capacityAt+g.tickInterval {
		g.capacityAt, g.warmCapacity = g.now, 0
		warm, linked := 0.0, 0.0
		for _, s := range g.serving {
			w := g.slowStartWeight(s)
			g.warmCapacity += w
			if w < 1 {
				continue
			}
			warm++
			if g.hasWarmConnection(s) {
				linked++
			}
		}
		g.warmConnectionShare = 1
		if warm > 0 {
			g.warmConnectionShare = linked / warm
		}
	}
	return max(g.warmCapacity, g.settings.SlowStartMinWeight, 0.01)
}

// recordAnswer adds an answer to the flow, and to that of the span over which the settings count what a cold
// server gets: in a shorter one a thin flow, looked at as an answer comes, would seem larger than it is. It
// is weighed with the capacity of that time: where all turn cold at once, what they did when warm is no
// measure of what is left.
func (g *Gateway) recordAnswer() {
	dt, span, c := (g.now - g.answerRateAt).Seconds(), max(g.settings.SlowStartBudgetSpan.Seconds(), 1), g.servingCapacity()
	left := math.Exp(-dt / span)
	g.budgetSpanCapacity = c + (g.budgetSpanCapacity-c)*left
	g.budgetSpanRate = 1/span + g.budgetSpanRate*left
	g.ratePerWarmEndpoint = g.budgetSpanRate / g.budgetSpanCapacity
	g.answerRate, g.answerRateAt = 1+g.answerRate*math.Exp(-dt), g.now
}

// slowStartAllows spaces sends to a cold server by what warm ones answer here, scaled to its warmth, so that the sum
// over all gateways stays within it; the first comes at a random part of the space, from when it is heard of.
func (g *Gateway) slowStartAllows(s *endpoint) bool {
	w := g.slowStartWeight(s)
	if w >= 1 {
		return true
	}
	most := min(slowStartPacing, slowStartBudgetShare*cmp.Or(g.settings.SlowStartBudgetMultiple, math.Inf(1)))
	rate := most * w * max(g.ratePerWarmEndpoint, initialAttemptsPerEndpoint/g.gatewaysPerEndpoint)
	return (g.now - s.lastSend).Seconds() >= s.pacingPhase/rate
}
