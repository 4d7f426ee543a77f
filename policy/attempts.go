package policy

import (
	"slices"
	"time"
)

const (
	retryBudgetRatio = 0.15 // further attempts that a first one earns
	hedgeDeviations  = 3.0  // mean deviations over the mean, after which a second copy goes
	answerDeviations = 2.0  // the same, within which nearly all answers come
)

// firstMaybeExecuted is the first attempt that is out or may have run.
func (r *request) firstMaybeExecuted() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.mayHaveExecuted }); i >= 0 {
		return r.attempts[i]
	}
	return nil
}

// mayRetry says whether another attempt may go out now.
func (g *Gateway) mayRetry(r *request) bool {
	if len(r.attempts) >= g.settings.MaxAttempts || r.streaming || r.finished {
		return false
	}
	a := r.firstMaybeExecuted()
	return a == nil || r.class.Idempotency == Idempotent || // the margin is for the way there
		r.class.Idempotency == IdempotencyKey && g.now-a.sentAt < r.class.DeduplicationWindow*9/10
}

func (g *Gateway) startAttempt(r *request, s *endpoint) {
	if !r.dispatched {
		r.dispatched = true
		g.retryBudget = min(g.initialWindow(), g.retryBudget+retryBudgetRatio)
	}
	a := &attempt{number: len(r.attempts), endpoint: s, sentAt: g.now, mayHaveExecuted: true}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight, g.inFlight = r.attemptsInFlight+1, g.inFlight+1
	s.inFlight = append(s.inFlight, a)
	g.quota.AttemptStarted(&r.charge)
	s.lastSend, g.lastSend, s.pacingPhase = g.now, g.now, 1
	var stop time.Duration
	if !g.settings.Hedging && r.class.meanLatency > 0 && r.class.Idempotency != NonIdempotent { // ends for another
		stop = g.now + max(r.class.expectedLatency(2*hedgeDeviations), r.class.LatencyObjective/3)
	}
	g.emit(Send{ID: r.ID, Endpoint: s.ID, AttemptDeadline: stop})
}

// hedgeIfOverdue looks after a request that is out: a copy goes to another server when the answer is overdue.
func (g *Gateway) hedgeIfOverdue(r *request) {
	for _, a := range r.attempts {
		if !a.ended && !a.overdue && g.now-a.sentAt > r.class.LatencyObjective {
			a.overdue = true
			g.inFlight--
			g.recordSample(a, r.class, TimedOut, 0, nil)
		}
	}
	if !g.settings.Hedging || r.attemptsInFlight != 1 || g.retryBudget < 1 || g.now > r.arrived+r.class.LatencyObjective || r.overQuota ||
		r.class.meanLatency == 0 || g.saturated() || !g.mayRetry(r) || !g.mayDispatch(r) {
		return
	}
	if last := r.attempts[len(r.attempts)-1]; g.now-last.sentAt < r.class.expectedLatency(hedgeDeviations) {
		return
	}
	if s := g.pickEndpoint(r); s != nil && !r.triedEndpoint(s) {
		g.retryBudget--
		g.startAttempt(r, s)
	}
}

func (g *Gateway) handleAttemptEnded(ev AttemptEnded) {
	r := g.requests[ev.ID]
	if r == nil || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].ended {
		return
	}
	a := r.attempts[ev.Attempt]
	a.ended, a.mayHaveExecuted = true, !ev.Outcome.NotExecuted()
	a.endpoint.inFlight = slices.DeleteFunc(a.endpoint.inFlight, func(b *attempt) bool { return a == b })
	r.attemptsInFlight--
	g.quota.AttemptEnded(&r.charge, ev.Outcome)
	if !a.overdue {
		g.inFlight--
		g.recordSample(a, r.class, ev.Outcome, ev.Latency, ev.LoadReport)
	}
	g.recordLatency(a, r.class, ev.Outcome, ev.Latency)
	switch {
	case r.finished:
	case ev.RequestFinished:
		g.quota.Settle(&r.charge, ev.SettledUnits)
		g.finish(r)
	case r.attemptsInFlight > 0:
	case !g.mayRetry(r) || r.Deadline-g.now < r.class.expectedLatency(0)+2*g.tickInterval:
		g.giveUp(r)
	case ev.Outcome == NotSent: // nothing has left: no further load
		g.enqueue(r)
	case g.retryBudget < 1:
		g.giveUp(r)
	default: // tried again where its class, its time and the budget allow
		g.retryBudget--
		g.enqueue(r)
	}
	g.quota.Release(&r.charge)
}
