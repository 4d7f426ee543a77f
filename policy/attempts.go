package policy

import (
	"slices"
	"time"

	"lemontack/policy/balancer"
	"lemontack/policy/limiter"
)

const (
	// answerDeviations is the number of mean deviations above the mean latency within which nearly all
	// answers arrive.
	answerDeviations = 2.0
	// hedgeDeviations is the number of mean deviations above the mean latency after which a request is
	// hedged.
	hedgeDeviations = 3.0
	// attemptDeadlineDeviations is the number of mean deviations above the mean latency after which an
	// attempt times out, so that the request can be retried, where hedging is disabled.
	attemptDeadlineDeviations = 2 * hedgeDeviations
	// minAttemptDeadlineDivisor divides the latency objective to give the minimum duration of an attempt
	// before it times out.
	minAttemptDeadlineDivisor = 3

	// triedBufferSize is the number of earlier attempts that pickEndpoint lists without a heap allocation.
	triedBufferSize = 8
)

// firstMaybeExecuted returns the first attempt that may have been executed, or nil if there is none.
func (r *request) firstMaybeExecuted() *attempt {
	i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.mayHaveExecuted })
	if i < 0 {
		return nil
	}
	return r.attempts[i]
}

// hasTried reports whether an attempt of the request has been sent to the endpoint.
func (r *request) hasTried(endpoint *balancer.Endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.Endpoint == endpoint })
}

// mayAttempt reports whether another attempt is safe and within the limits now. A tenth of the deduplication
// window is kept as a margin for the transmission to the endpoint.
func (g *Gateway) mayAttempt(r *request) bool {
	if len(r.attempts) >= g.settings.MaxAttempts || r.streaming || r.finished {
		return false
	}
	maybeExecuted := r.firstMaybeExecuted()
	if maybeExecuted == nil {
		return true
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKey:
		return g.now-maybeExecuted.StartedAt < r.class.DeduplicationWindow*9/10
	default:
		return false
	}
}

// pickEndpoint chooses the endpoint of the request's next attempt, or returns nil if no endpoint may receive
// it now.
func (g *Gateway) pickEndpoint(r *request) *balancer.Endpoint {
	var buffer [triedBufferSize]*balancer.Endpoint
	query := balancer.Query{TriedEndpoints: buffer[:0], DeduplicationScope: r.class.DeduplicationScope}
	for _, a := range r.attempts {
		query.TriedEndpoints = append(query.TriedEndpoints, a.Endpoint)
	}
	if maybeExecuted := r.firstMaybeExecuted(); maybeExecuted != nil {
		query.MaybeExecutedAt = maybeExecuted.Endpoint
	}
	return g.balancer.Pick(g.now, query)
}

// startAttempt sends the request to an endpoint. The first attempt of a request adds to the retry budget.
func (g *Gateway) startAttempt(r *request, endpoint *balancer.Endpoint) {
	if !r.dispatched {
		r.dispatched = true
		g.retryBudget.deposit(g.balancer.InitialAttempts())
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

// attemptDeadline returns the time at which an attempt that starts now times out, so that the request can be
// retried. It returns 0, which means the request's deadline, if the latency of the class is unknown, if the
// class is non-idempotent, or if hedging is enabled: a hedge leaves the earlier attempt in flight.
func (g *Gateway) attemptDeadline(r *request) time.Duration {
	if g.settings.HedgingEnabled || !r.class.latency.HasSamples() || r.class.Idempotency == NonIdempotent {
		return 0
	}
	expected := r.class.latency.Expected(attemptDeadlineDeviations)
	return g.now + max(expected, r.class.LatencyObjective/minAttemptDeadlineDivisor)
}

// markOverdueAttempts removes attempts that have been in flight for longer than the latency objective from
// the limiter's window, since their endpoints may never answer. The limiter records them as timed out.
func (g *Gateway) markOverdueAttempts(r *request) {
	for _, a := range r.attempts {
		if a.ended || a.overdue || g.now-a.StartedAt <= r.class.LatencyObjective {
			continue
		}
		a.overdue = true
		g.limiter.Release()
		g.recordSample(r.class, a.Endpoint, limiter.Sample{Outcome: TimedOut})
	}
}

// hedgeIfOverdue starts a second attempt at another endpoint if the answer to the only attempt in flight is
// overdue.
func (g *Gateway) hedgeIfOverdue(r *request) {
	if !g.mayHedge(r) || g.checkStart(r) != startNow {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if g.now-last.StartedAt < r.class.latency.Expected(hedgeDeviations) {
		return
	}
	endpoint := g.pickEndpoint(r)
	if endpoint == nil || r.hasTried(endpoint) {
		return
	}
	g.retryBudget.withdraw()
	g.startAttempt(r, endpoint)
}

// mayHedge reports whether a hedge can still meet the latency objective, and takes no capacity that other
// requests need.
func (g *Gateway) mayHedge(r *request) bool {
	switch {
	case !g.settings.HedgingEnabled, r.attemptsInFlight != 1, !g.retryBudget.allowsRetry():
		return false
	case g.now > r.arrivedAt+r.class.LatencyObjective, r.overQuota, !r.class.latency.HasSamples():
		return false
	default:
		return !g.saturated()
	}
}

// handleAttemptEnded processes the end of an attempt. The request is then finished, waits for another attempt
// in flight, is queued for a retry, or is rejected or failed.
func (g *Gateway) handleAttemptEnded(ev AttemptEnded) {
	r := g.requestsByID[ev.ID]
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
	case !g.mayAttempt(r) || r.Deadline-g.now < r.class.latency.Expected(0)+2*g.tickInterval:
		g.rejectOrFail(r)
	case ev.Outcome == NotSent: // the attempt put no load on an endpoint, so a retry needs no budget
		g.enqueue(r)
	case !g.retryBudget.allowsRetry():
		g.rejectOrFail(r)
	default:
		g.retryBudget.withdraw()
		g.enqueue(r)
	}
	g.quota.Release(&r.charge)
}

// endAttempt marks an attempt as ended and records its outcome in the quotas, the limiter and the balancer.
// The limiter has already recorded an overdue attempt.
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

// recordSample adds the latency objective and the state of the queue to a sample and records it in the
// limiter.
func (g *Gateway) recordSample(class *classState, endpoint *balancer.Endpoint, sample limiter.Sample) {
	sample.LatencyObjective = class.LatencyObjective
	sample.RequestsQueued = g.queue.Len() > 0
	g.limiter.Record(sample, &class.limiterSamples, &endpoint.LimiterSamples)
}

// recordLatency records an ended attempt in the latency estimate of the class and in the balancer. Attempts
// that were cancelled or not sent are ignored, since their endpoints did not fail.
func (g *Gateway) recordLatency(
	class *classState, endpoint *balancer.Endpoint, outcome Outcome, latency time.Duration,
) {
	switch outcome {
	case Cancelled, NotSent:
	case Succeeded:
		g.balancer.RecordSuccess(g.now, endpoint, class.latency.Record(latency))
	default:
		g.balancer.RecordFailure(g.now, endpoint)
	}
}
