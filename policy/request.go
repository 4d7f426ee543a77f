package policy

import (
	"time"

	"lemontack/policy/balancer"
	"lemontack/policy/latency"
	"lemontack/policy/limiter"
	"lemontack/policy/quota"
)

// classState is a class, with what this gateway has learned of it.
type classState struct {
	Class
	latency latency.Estimate
	samples limiter.ClassSamples
}

// request is a request from its arrival to its last attempt's end, which may come after its final answer.
type request struct {
	Request
	class           *classState
	charge          quota.Charge // its account with the quotas
	plan            *Plan
	arrived         time.Duration
	overQuota       bool // admitted although it is over its quota
	queued          bool // in the queue
	dispatched      bool // its first attempt has started
	finished        bool // it has its final answer, or its client has disconnected
	objectiveMissed bool // it can no longer be answered within the latency objective
	streaming       bool // its answer has begun to reach the client
	attempts        []*attempt
	// attemptsInFlight counts the attempts that have not ended, overdue ones too.
	attemptsInFlight int
}

// attempt is one attempt of a request.
type attempt struct {
	balancer.Attempt
	number          int
	ended           bool
	overdue         bool // in flight for so long that it no longer counts in the limiter's window
	mayHaveExecuted bool // in flight, or ended without proof that it was not executed
}

// handleArrival starts the life of a request: it is rejected, waits for the counter, or is queued.
func (g *Gateway) handleArrival(arrival Request) {
	r := &request{
		Request: arrival,
		class:   g.classes[arrival.Class],
		arrived: g.now,
	}
	g.setDefaults(r)
	if r.Deadline <= g.now { // before any quota is charged
		g.emit(Reject{ID: r.ID, RetryAfter: min(r.class.LatencyObjective, g.settings.MaxRetryAfter)})
		return
	}
	g.openCharge(r)
	g.requests[r.ID] = r
	g.activeRequests = append(g.activeRequests, r)
	g.resolveQuota(r, g.quota.Admit(&r.charge))
	if !r.dispatched && !r.finished {
		g.expireIfLate(r) // its deadline may come before the next tick
	}
}

// setDefaults makes a request of an unknown class one that can be decided on: non-idempotent, with its
// deadline as the latency objective.
func (g *Gateway) setDefaults(r *request) {
	if r.class == nil {
		objective := max(r.Deadline-g.now, time.Millisecond)
		r.class = g.newClassState(Class{Name: r.Class, LatencyObjective: objective})
	}
	if r.Units <= 0 {
		r.Units = 1
	}
}

// expireIfLate ends a request that waits and, by the latency of its class, can no longer be answered by its
// deadline. One that will only miss its latency objective is queued again at the priority of a late answer,
// if that earns anything.
func (g *Gateway) expireIfLate(r *request) {
	expected := min(r.class.latency.Expected(answerDeviations), r.class.LatencyObjective)
	if g.now+min(expected, r.class.latency.Expected(0)) >= r.Deadline-2*g.tickInterval {
		g.giveUp(r)
		return
	}
	if !r.queued || r.objectiveMissed { // it waits for the counter, or was queued again before
		return
	}
	if g.now+expected < r.arrived+r.class.LatencyObjective {
		return
	}
	if r.class.LateWeight <= 0 {
		g.giveUp(r)
		return
	}
	g.dequeue(r)
	r.objectiveMissed = true
	g.enqueue(r)
}

// giveUp answers for good: it rejects where a retry of the client is surely harmless, else it fails.
func (g *Gateway) giveUp(r *request) {
	if r.maybeExecuted() != nil && !r.class.clientMayRetry() {
		g.emit(Fail{ID: r.ID})
		g.finish(r)
		return
	}
	g.reject(r, r.class.LatencyObjective)
}

// clientMayRetry reports whether a retry by the client is harmless, at whichever endpoint it ends up,
// although the request may have been executed.
func (c *classState) clientMayRetry() bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKey:
		return c.DeduplicationScope == ScopeAll
	default:
		return false
	}
}

// reject answers for good that the client may retry after a time.
func (g *Gateway) reject(r *request, retryAfter time.Duration) {
	g.emit(Reject{ID: r.ID, RetryAfter: min(retryAfter, g.settings.MaxRetryAfter)})
	g.finish(r)
}

// finish marks a request as finally answered, returns what it holds, and cancels its attempts in flight.
func (g *Gateway) finish(r *request) {
	if r.queued {
		g.dequeue(r)
	}
	r.finished = true
	g.quota.Finish(&r.charge)
	if !g.settings.MayCancel || r.streaming {
		return
	}
	for _, a := range r.attempts {
		if !a.ended {
			g.emit(Cancel{ID: r.ID, Attempt: a.number})
		}
	}
}
