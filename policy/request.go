package policy

import (
	"time"

	"lemontack/policy/balancer"
	"lemontack/policy/latency"
	"lemontack/policy/limiter"
	"lemontack/policy/quota"
)

// classState holds a class with its latency estimate and limiter samples at this gateway.
type classState struct {
	Class
	latency        latency.Estimate
	limiterSamples limiter.ClassSamples
}

// request holds the state of a request from its arrival to its final answer and the end of its last attempt,
// whichever is later.
type request struct {
	Request
	class           *classState
	charge          quota.Charge // units and permits that it has taken from its customer's quotas
	plan            *Plan
	arrivedAt       time.Duration
	overQuota       bool // admitted although it is over its quota
	queued          bool // waits in Gateway.queue
	dispatched      bool // its first attempt has started
	finished        bool // it has its final answer, or its client has disconnected
	objectiveMissed bool // it was queued again because it would miss the latency objective
	streaming       bool // the answer of an attempt has begun to reach the client
	attempts        []*attempt
	// attemptsInFlight is the number of attempts that have not ended, including overdue ones.
	attemptsInFlight int
}

// attempt holds the state of one attempt of a request.
type attempt struct {
	balancer.Attempt
	number          int
	ended           bool
	overdue         bool // in flight beyond the latency objective; not counted in the limiter's window
	mayHaveExecuted bool // in flight, or ended without proof that it was not executed
}

// handleArrival processes a new request: it rejects the request, queues it, or lets it wait for the reply of
// the counter.
func (g *Gateway) handleArrival(arrival Request) {
	r := &request{
		Request:   arrival,
		class:     g.classes[arrival.Class],
		arrivedAt: g.now,
	}
	g.setDefaults(r)
	if r.Deadline <= g.now { // rejected before any quota is charged
		g.emit(Reject{ID: r.ID, RetryAfter: min(r.class.LatencyObjective, g.settings.MaxRetryAfter)})
		return
	}
	g.newCharge(r)
	g.requestsByID[r.ID] = r
	g.requestsByArrival = append(g.requestsByArrival, r)
	g.applyQuotaDecision(r, g.quota.Admit(&r.charge))
	if !r.dispatched && !r.finished {
		g.expireIfUnanswerable(r) // its deadline may pass before the next tick
	}
}

// setDefaults gives a request of an unknown class a non-idempotent class whose latency objective is the time
// until its deadline, and a request without units one unit.
func (g *Gateway) setDefaults(r *request) {
	if r.class == nil {
		objective := max(r.Deadline-g.now, time.Millisecond)
		r.class = g.newClassState(Class{Name: r.Class, LatencyObjective: objective})
	}
	if r.Units <= 0 {
		r.Units = 1
	}
}

// expireIfUnanswerable ends a waiting request if no further attempt may start, or if by the latency estimate
// of its class it can no longer be answered by its deadline. A queued request that would miss only its
// latency objective is queued again at the priority of a late answer, or ended if a late answer has no value.
func (g *Gateway) expireIfUnanswerable(r *request) {
	expected := min(r.class.latency.Expected(answerDeviations), r.class.LatencyObjective)
	isTooLate := g.now+min(expected, r.class.latency.Expected(0)) >= r.Deadline-2*g.tickInterval
	if isTooLate || !g.mayAttempt(r) {
		g.rejectOrFail(r)
		return
	}
	if !r.queued || r.objectiveMissed { // it waits for the counter, or was queued again already
		return
	}
	if g.now+expected < r.arrivedAt+r.class.LatencyObjective {
		return
	}
	if r.class.LateWeight <= 0 {
		g.rejectOrFail(r)
		return
	}
	g.dequeue(r)
	r.objectiveMissed = true
	g.enqueue(r)
}

// rejectOrFail ends a request with its final answer: a rejection if a retry by the client is safe, otherwise
// a failure.
func (g *Gateway) rejectOrFail(r *request) {
	if r.firstMaybeExecuted() != nil && !r.class.clientMayRetry() {
		g.emit(Fail{ID: r.ID})
		g.finish(r)
		return
	}
	g.reject(r, r.class.LatencyObjective)
}

// clientMayRetry reports whether a client may safely retry a request of the class that may have been
// executed, whichever endpoint receives the retry.
func (class *classState) clientMayRetry() bool {
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKey:
		return class.DeduplicationScope == ScopeAll
	default:
		return false
	}
}

// reject ends a request with a rejection. Its retry delay is retryAfter, limited to Settings.MaxRetryAfter.
func (g *Gateway) reject(r *request, retryAfter time.Duration) {
	g.emit(Reject{ID: r.ID, RetryAfter: min(retryAfter, g.settings.MaxRetryAfter)})
	g.finish(r)
}

// finish marks a request as finished, removes it from the queue, releases its unused units and permits, and
// cancels its attempts in flight unless cancelling is not allowed or its answer is streaming.
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
