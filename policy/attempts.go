package policy

import (
	"slices"
	"time"

	"lemontack/policy/balancer"
	"lemontack/policy/limiter"
)

const (
	// answerDeviations is the number of mean deviations above the mean latency within which nearly all
	// answers come.
	answerDeviations = 2.0
	// hedgeDeviations is the same number after which a request is hedged.
	hedgeDeviations = 3.0
	// attemptDeadlineDeviations is the same number after which an attempt ends for a retry, where hedging is
	// off.
	attemptDeadlineDeviations = 2 * hedgeDeviations
	// minAttemptDeadlineDivisor lets an attempt last this part of the latency objective at least.
	minAttemptDeadlineDivisor = 3

	// maxTriedOnStack is the number of earlier attempts that the choice of an endpoint is told of without an
	// allocation.
	maxTriedOnStack = 8
)

// maybeExecuted returns the first attempt that may have been executed, or nil.
func (r *request) maybeExecuted() *attempt {
	i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.mayHaveExecuted })
	if i < 0 {
		return nil
	}
	return r.attempts[i]
}

// tried reports whether an attempt of the request has gone to the endpoint.
func (r *request) tried(endpoint *balancer.Endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.Endpoint == endpoint })
}

// mayRetry reports whether another attempt is safe and within the limits now. The deduplication window has a
// margin of a tenth for the time to the endpoint.
func (g *Gateway) mayRetry(r *request) bool {
	if len(r.attempts) >= g.settings.MaxAttempts || r.streaming || r.finished {
		return false
	}
	executed := r.maybeExecuted()
	if executed == nil {
		return true
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKey:
		return g.now-executed.StartedAt < r.class.DeduplicationWindow*9/10
	default:
		return false
	}
}

// pickEndpoint chooses the endpoint of the request's next attempt; nil if none may take it now.
func (g *Gateway) pickEndpoint(r *request) *balancer.Endpoint {
	var buffer [maxTriedOnStack]*balancer.Endpoint
	query := balancer.Query{TriedEndpoints: buffer[:0], DeduplicationScope: r.class.DeduplicationScope}
	for _, a := range r.attempts {
		query.TriedEndpoints = append(query.TriedEndpoints, a.Endpoint)
	}
	if executed := r.maybeExecuted(); executed != nil {
		query.MaybeExecutedAt = executed.Endpoint
	}
	return g.balancer.Pick(g.now, query)
}

// startAttempt sends the request to an endpoint.
func (g *Gateway) startAttempt(r *request, endpoint *balancer.Endpoint) {
	if !r.dispatched {
		r.dispatched = true
		g.retryBudget.fill(g.balancer.InitialAttempts())
	}
	a := &attempt{
		Attempt:         balancer.Attempt{Endpoint: endpoint},
		number:          len(r.attempts),
		mayHaveExecuted: true,
	}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	g.limiter.Acquire(g.now)
	g.balancer.AttemptStarted(g.now, &a.Attempt)
	g.quota.AttemptStarted(&r.charge)
	g.emit(Send{ID: r.ID, Endpoint: endpoint.ID, AttemptDeadline: g.attemptDeadline(r)})
}

// attemptDeadline is when an attempt that starts now ends for a retry, where the latency of its class is
// known and hedging, which would keep it in flight, is off; else 0, for the request's deadline.
func (g *Gateway) attemptDeadline(r *request) time.Duration {
	if g.settings.HedgingEnabled || !r.class.latency.HasSamples() || r.class.Idempotency == NonIdempotent {
		return 0
	}
	expected := r.class.latency.Expected(attemptDeadlineDeviations)
	return g.now + max(expected, r.class.LatencyObjective/minAttemptDeadlineDivisor)
}

// markOverdue releases the window of attempts that have been in flight for more than the latency objective:
// their endpoints may never answer.
func (g *Gateway) markOverdue(r *request) {
	for _, a := range r.attempts {
		if a.ended || a.overdue || g.now-a.StartedAt <= r.class.LatencyObjective {
			continue
		}
		a.overdue = true
		g.limiter.Release()
		g.recordSample(r.class, a.Endpoint, limiter.Sample{Outcome: TimedOut})
	}
}

// hedgeIfOverdue starts a second attempt at another endpoint where the answer to the only one in flight is
// overdue.
func (g *Gateway) hedgeIfOverdue(r *request) {
	if !g.mayHedge(r) || !g.mayRetry(r) || !g.mayDispatch(r) {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if g.now-last.StartedAt < r.class.latency.Expected(hedgeDeviations) {
		return
	}
	endpoint := g.pickEndpoint(r)
	if endpoint == nil || r.tried(endpoint) {
		return
	}
	g.retryBudget.spend()
	g.startAttempt(r, endpoint)
}

// mayHedge reports whether a hedge can still save the request, and takes no capacity from others.
func (g *Gateway) mayHedge(r *request) bool {
	switch {
	case !g.settings.HedgingEnabled, r.attemptsInFlight != 1, !g.retryBudget.allows():
		return false
	case g.now > r.arrived+r.class.LatencyObjective, r.overQuota, !r.class.latency.HasSamples():
		return false
	default:
		return !g.saturated()
	}
}

// handleAttemptEnded takes in the end of an attempt. The request is finished with it, waits for another
// attempt in flight, is queued for a retry, or gets its final answer.
func (g *Gateway) handleAttemptEnded(ev AttemptEnded) {
	r := g.requests[ev.ID]
	if r == nil || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].ended {
		return
	}
	a := r.attempts[ev.Attempt]
	g.endAttempt(r, a, ev)
	switch {
	case r.finished:
	case ev.RequestFinished:
		g.quota.Settle(&r.charge, ev.SettledUnits)
		g.finish(r)
	case r.attemptsInFlight > 0:
	case !g.mayRetry(r) || r.Deadline-g.now < r.class.latency.Expected(0)+2*g.tickInterval:
		g.giveUp(r)
	case ev.Outcome == NotSent: // it put no load on an endpoint: it needs no budget
		g.enqueue(r)
	case !g.retryBudget.allows():
		g.giveUp(r)
	default:
		g.retryBudget.spend()
		g.enqueue(r)
	}
	g.quota.Release(&r.charge)
}

// endAttempt marks an attempt as ended, and lets limiter and balancer learn from it.
func (g *Gateway) endAttempt(r *request, a *attempt, ev AttemptEnded) {
	a.ended = true
	a.mayHaveExecuted = !ev.Outcome.NotExecuted()
	r.attemptsInFlight--
	g.quota.AttemptEnded(&r.charge, ev.Outcome)
	g.balancer.AttemptEnded(&a.Attempt)
	if !a.overdue {
		g.limiter.Release()
		g.recordSample(r.class, a.Endpoint,
			limiter.Sample{Outcome: ev.Outcome, Latency: ev.Latency, LoadReport: ev.LoadReport})
	}
	g.recordLatency(r.class, a.Endpoint, ev.Outcome, ev.Latency)
}

// recordSample counts the end of an attempt in the limiter.
func (g *Gateway) recordSample(class *classState, endpoint *balancer.Endpoint, sample limiter.Sample) {
	sample.LatencyObjective = class.LatencyObjective
	sample.RequestsQueued = g.queue.Len() > 0
	g.limiter.Record(sample, &class.samples, &endpoint.LimiterSamples)
}

// recordLatency lets the estimate of the class and the balancer learn from an attempt that its endpoint had a
// chance to answer.
func (g *Gateway) recordLatency(
	class *classState, endpoint *balancer.Endpoint, outcome Outcome, took time.Duration,
) {
	switch outcome {
	case Cancelled, NotSent:
	case Succeeded:
		g.balancer.RecordSuccess(g.now, endpoint, class.latency.Record(took))
	default:
		g.balancer.RecordFailure(g.now, endpoint)
	}
}
