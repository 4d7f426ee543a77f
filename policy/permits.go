package policy

import "time"

const spareCallShare = 0.99 // share that asks, from which on the counter has calls to spare

// usesSemaphore says whether the limit is held by permits: where it has an attempt for each gateway it is split.
func (g *Gateway) usesSemaphore(c *customer) bool {
	return g.settings.SharedCounter && c.gatewaySpan > c.plan.MaxConcurrency
}

// acquirePermit lets a request that is inside its rate in, if its customer has an attempt to spare.
func (g *Gateway) acquirePermit(r *request) {
	c := r.customer
	switch {
	case g.now < c.permits.exhaustedUntil:
		g.reject(r, c.permits.exhaustedUntil-g.now)
	case g.usesSemaphore(c) && g.shouldAskPermit(r):
		updateShare(&c.plan.permitGrants.askedShare, true, grantGain)
		g.callSemaphore(c, counterCall{name: g.semaphoreName(c), request: r, claim: 1})
	default:
		updateShare(&c.plan.permitGrants.askedShare, false, grantGain)
		g.decideWithoutPermit(r)
	}
}

// shouldAskPermit says whether the counter is asked. Where calls are short they go to the requests for which a
// wrong guess would cost most; beside a rate, that rate's own calls go first.
func (g *Gateway) shouldAskPermit(r *request) bool {
	chance := r.customer.permitProbability(r, false)
	wrong := min(chance, (1-chance)*max(0, r.plan.OverQuotaCost-r.plan.OverQuotaWeight))
	stake := r.Units * r.plan.Price * r.class.PriorityWeight * wrong
	g.meanPermitStake += grantGain * (stake - g.meanPermitStake)
	if r.plan.Rate > 0 || g.counterCallShare >= spareCallShare {
		return g.counterCallShare >= spareCallShare
	}
	return g.rng.Float64()*g.meanPermitStake <= g.counterCallShare*stake
}

// decideWithoutPermit decides by what is known of the plan and by this gateway's share (mayGo). Beside a rate,
// which holds most, by that share alone.
func (g *Gateway) decideWithoutPermit(r *request) {
	if r.plan.Rate <= 0 && g.usesSemaphore(r.customer) && !worthAdmittingUnasked(r, r.customer.permitProbability(r, true)) {
		g.reject(r, g.meanAnswerTime())
		return
	}
	g.enqueueAdmitted(r)
}

// handlePermitReply takes the answer to a call on a permit name; a counter that came back empty is put right.
func (g *Gateway) handlePermitReply(c *customer, call counterCall, ev CounterReply) {
	present := call.name == g.semaphoreName(c)
	if ev.Outcome.NotExecuted() {
		if present {
			c.permits.held -= int(call.claim + call.unreported)
			c.permits.unreported += int(call.unreported)
		}
		call.claim = 0
	}
	missing := float64(c.permits.held) - ev.Total
	if ev.Outcome == Succeeded && present && missing > 0 && !c.hasCallInFlight(call.name) {
		g.call(c, counterCall{name: call.name, unreported: missing}, g.permitWindow())
	}
	r := call.request
	if r == nil {
		return
	}
	r.permits, r.permitName = int(call.claim), call.name
	granted := ev.Total <= float64(r.plan.MaxConcurrency)
	switch {
	case r.finished:
	case ev.Outcome != Succeeded:
		g.decideWithoutPermit(r)
	case granted:
		g.enqueueAdmitted(r)
	default:
		c.permits.exhaustedUntil = g.now + g.meanAnswerTime()/time.Duration(r.plan.MaxConcurrency)
		g.reject(r, g.meanAnswerTime())
	}
	if ev.Outcome == Succeeded {
		c.recordPermit(r, granted)
	}
	g.releasePermits(r)
}

// releasePermits takes off what a request holds beyond its attempts; one that may still be sent keeps one.
func (g *Gateway) releasePermits(r *request) {
	keep := r.attemptsInFlight
	if !r.finished {
		keep = max(keep, 1)
	}
	if r.permits > keep {
		g.adjustPermits(r, keep)
	}
}

// adjustPermits tells the counter how many a request holds now: fewer, or more for a further attempt.
func (g *Gateway) adjustPermits(r *request, n int) {
	g.callSemaphore(r.customer, counterCall{name: r.permitName, unreported: float64(n - r.permits)})
	r.permits = n
}
