package policy

import (
	"time"

	"lemontack/policy/quota"
)

type request struct {
	Request
	class                        *classState
	charge                       quota.Charge // its account with the quotas
	plan                         *Plan
	arrived                      time.Duration
	priority                     float64 // worth, as queued
	overQuota                    bool    // admitted although it is over its quota
	queued, dispatched, finished bool    // in the queue; first attempt has gone; answered for good
	objectiveMissed, streaming   bool    // the aim can no longer be met; the answer has begun
	attempts                     []*attempt
	attemptsInFlight             int
}

type attempt struct {
	number                          int
	endpoint                        *endpoint
	sentAt                          time.Duration
	ended, overdue, mayHaveExecuted bool // lost: out for so long that it no longer fills the window
}

func (g *Gateway) handleArrival(q Request) {
	r := &request{Request: q, class: g.classes[q.Class], arrived: g.now}
	if r.class == nil { // unknown: unsafe to repeat
		r.class = &classState{Class: Class{Name: q.Class, LatencyObjective: max(q.Deadline-g.now, time.Millisecond)}}
	}
	if r.Units <= 0 {
		r.Units = 1
	}
	if r.Deadline <= g.now { // its time was over as it came: no quota is asked for it
		g.emit(Reject{ID: r.ID, RetryAfter: min(r.class.LatencyObjective, g.settings.MaxRetryAfter)})
		return
	}
	g.openCharge(r)
	g.requests[q.ID] = r
	g.activeRequests = append(g.activeRequests, r)
	g.resolveQuota(r, g.quota.Admit(&r.charge))
	if !r.dispatched && !r.finished {
		g.expire(r) // it may come with less time than a sweep takes
	}
}

// priorityValue is the request's priority: class worth x plan price, times what is left of it.
func (r *request) priorityValue() float64 {
	w := r.class.PriorityWeight * r.plan.Price
	if r.overQuota {
		w *= r.plan.OverQuotaWeight
	}
	if r.objectiveMissed {
		w *= r.class.LateWeight
	}
	return w
}

// saturated says whether requests inside their quotas wait, or are about to.
func (g *Gateway) saturated() bool {
	return len(g.queue) > 0 || float64(g.inFlight) > max(1, 0.7*g.window)
}

// expire ends a held request that cannot be answered in time, by the learned latency; where lateness still
// earns something it goes on at that worth.
func (g *Gateway) expire(r *request) {
	need := min(r.class.expectedLatency(answerDeviations), r.class.LatencyObjective)
	if g.now+min(need, r.class.expectedLatency(0)) >= r.Deadline-2*g.tickInterval {
		g.giveUp(r)
		return
	}
	switch {
	case !r.queued, r.objectiveMissed, g.now+need < r.arrived+r.class.LatencyObjective: // not held: it waits for the counter
	case r.class.LateWeight <= 0:
		g.giveUp(r)
	default:
		g.dequeue(r)
		r.objectiveMissed = true
		g.enqueue(r)
	}
}

// giveUp answers for good: refused where trying again is surely harmless, else failed.
func (g *Gateway) giveUp(r *request) {
	if r.firstMaybeExecuted() != nil && r.class.Idempotency != Idempotent && (r.class.Idempotency != IdempotencyKey || r.class.DeduplicationScope != ScopeAll) {
		g.emit(Fail{ID: r.ID})
		g.finish(r)
		return
	}
	g.reject(r, r.class.LatencyObjective)
}

func (g *Gateway) reject(r *request, after time.Duration) {
	g.emit(Reject{ID: r.ID, RetryAfter: min(after, g.settings.MaxRetryAfter)})
	g.finish(r)
}

// finish marks the request as finally answered and calls off what is still out for it.
func (g *Gateway) finish(r *request) {
	if r.queued {
		g.dequeue(r)
	}
	r.finished = true
	g.quota.Finish(&r.charge)
	for _, a := range r.attempts {
		if !a.ended && g.settings.MayCancel && !r.streaming {
			g.emit(Cancel{ID: r.ID, Attempt: a.number})
		}
	}
}
