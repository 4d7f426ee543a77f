package policy

import "time"

const (
	minCallShare           = 0.05 // share of requests that ask the counter at least, to find one that is back
	callShareFactorOnLoss  = 0.7  // a call that waits too long is work for nothing
	callShareFactorOnDelay = 0.9  // the counter's line grows: long before calls are lost
	callShareIncrease      = 0.01 // gentle: all gateways find the counter free at the same time
	overfillTolerance      = 0.5  // of the burst: a store that shows so much more than it holds is put right
	negligibleTokens       = 1e-6 // less is rounding: totals have seven digits
)

// worthAdmittingUnasked says whether a request that is inside its quota with this chance earns more than it costs.
func worthAdmittingUnasked(r *request, chance float64) bool {
	return chance >= (1-chance)*(r.plan.OverQuotaCost-r.plan.OverQuotaWeight)
}

// hasCeiling says whether the customer has a ceiling: windows of its name then grant no more than a burst.
func (c *customer) hasCeiling() bool { return c.plan.CeilingRate > 0 }

// initCentralBucket prepares a customer with a central bucket. Its local bucket starts with any part of a large
// request, so that all gateways together let in their shares from the first moment on.
func (g *Gateway) initCentralBucket(c *customer) {
	c.counterSilent, c.bucket.window, c.unreported = true, counterWindowLength, 0
	if c.hasCeiling() {
		c.bucket.window = time.Duration(c.plan.Burst / c.plan.Rate * float64(time.Second))
	}
	c.bucket.localCredit = g.rng.Float64() * max(1, g.settings.MaxUnits)
	if !g.settings.SharedCounter { // for good: up to two of the smallest requests, the first block in it
		c.bucket.localCredit = max(0, g.rng.Float64()*max(2, g.settings.MaxUnits)-c.lease)
	}
}

// decideLocally decides without the counter, by the local bucket.
func (g *Gateway) decideLocally(r *request) bool {
	r.customer.lease += r.customer.bucket.localCredit
	r.customer.bucket.localCredit = 0
	guessed := g.settings.SharedCounter || r.IsRetry
	if guessed && !r.customer.hasCeiling() && !worthAdmittingUnasked(r, *r.plan.bucketGrants.grantProbability(r)) {
		return false
	}
	return g.chargeLease(r)
}

// checkQuota claims one request's units as it comes, or lets the local bucket decide.
func (g *Gateway) checkQuota(r *request) {
	c := r.customer
	switch {
	case !c.central:
		g.resolveQuota(r, g.chargeLease(r))
	case c.bucket.reserved >= r.Units && g.now >= c.bucket.reservedFrom:
		c.bucket.reserved -= r.Units
		r.claimCharged = true
		g.resolveQuota(r, true)
	case g.now < c.bucket.exhaustedUntil:
		g.resolveQuota(r, false)
	case c.hasCeiling() && g.counterCallShare >= minHealthyCallShare, g.shouldAskCounter(r):
		g.claimTokens(r)
	default:
		g.resolveQuota(r, g.decideLocally(r))
	}
}

// shouldAskCounter says whether the counter is asked. Where going beyond costs nothing a guess does nearly as well.
func (g *Gateway) shouldAskCounter(r *request) bool {
	switch {
	case !g.settings.SharedCounter:
		return false
	case !r.customer.hasCeiling() && r.plan.OverQuotaWeight > r.plan.OverQuotaCost:
		return g.rng.Float64() <= 2*g.counterCallShare-1
	}
	return g.rng.Float64() <= g.counterCallShare
}

// claimTokens asks the counter for a request's units, and tells it what is owed.
func (g *Gateway) claimTokens(r *request) {
	c := r.customer
	call := counterCall{request: r, claim: r.Units}
	if !c.hasCeiling() {
		call.unreported, c.unreported = c.unreported, 0
	}
	g.callBucket(c, call)
}

// handleCentralReply settles the request that asked first for the name.
func (g *Gateway) handleCentralReply(c *customer, ev CounterReply) {
	call, ok := c.takeCall(ev.Name)
	if !ok {
		return
	}
	g.adaptCallShare(ev.Outcome, g.now-call.sentAt)
	if isSemaphoreName(call.name) {
		g.handlePermitReply(c, call, ev)
		return
	}
	r := call.request
	switch {
	case ev.Outcome.NotExecuted(): // what was owed is owed still
		c.unreported += call.unreported
	case ev.Outcome != Succeeded && !c.hasCeiling(): // added, most likely, but its store is unknown
		c.unreported -= call.claim
	}
	switch {
	case r == nil && ev.Outcome == Succeeded:
		g.handleCorrectionReply(c, call, ev.Total)
	case r == nil:
	case r.finished && ev.Outcome == Succeeded && !c.hasCeiling(): // its client has left
		r.claimCharged = g.bucketCovers(call, ev.Total)
		g.refundTokens(r)
	case r.finished:
	case ev.Outcome != Succeeded:
		g.resolveQuota(r, g.decideLocally(r))
	case c.hasCeiling():
		g.resolveQuota(r, g.grantWithinCeiling(r, ev.Total, call.name))
	default:
		r.claimCharged = g.bucketCovers(call, ev.Total)
		updateShare(r.plan.bucketGrants.grantProbability(r), r.claimCharged, grantGain)
		g.resolveQuota(r, r.claimCharged)
	}
}

// adaptCallShare is AIMD on the share that asks: all gateways share the counter, and its delay tells of their sum.
func (g *Gateway) adaptCallShare(o Outcome, took time.Duration) {
	switch {
	case o == Failed: // spoilt: no sign of a line
	case o != Succeeded:
		g.counterCallShare = max(minCallShare, g.counterCallShare*callShareFactorOnLoss)
	case took > g.settings.CounterTimeout/2:
		g.counterCallShare = max(minCallShare, g.counterCallShare*callShareFactorOnDelay)
	default:
		g.counterCallShare = min(1, g.counterCallShare+callShareIncrease/g.counterCallShare)
	}
}

// grantWithinCeiling holds the window of a customer with a ceiling to its burst; the ends of two windows may meet in one
// moment.
func (g *Gateway) grantWithinCeiling(r *request, total float64, name string) bool {
	c := r.customer
	most := min(c.plan.Burst, c.plan.CeilingBurst/2)
	inside := total <= max(most, r.Units)
	r.ceilingGranted = inside && g.counterCallShare >= minHealthyCallShare
	if inside {
		c.lease = max(0, c.lease-r.Units)
	} else if name == c.bucketName() && total > most+r.Units {
		c.bucket.exhaustedUntil = time.Duration(c.counterWindow+1)*c.bucket.window - c.windowOffset
	}
	return inside
}

// bucketCovers says whether the bucket held the request's units before it asked, and puts the name right: where the
// bucket has run over, where its window has just begun, and where a claim is too far off to be reserved.
func (g *Gateway) bucketCovers(call counterCall, total float64) bool {
	r := call.request
	c := r.customer
	epoch := int64((call.sentAt + c.windowOffset) / c.bucket.window)
	filled, before, amend := g.refilledTokens(c, epoch), total-call.claim, 0.0
	level := c.plan.Burst + filled - before
	switch {
	case before-call.unreported < negligibleTokens: // the first of this window, or of a counter that came back empty
		level, amend = c.plan.Burst, filled
		g.readPreviousWindow(c, epoch)
	case level > c.plan.Burst*(1+overfillTolerance):
		amend = level - c.plan.Burst
	}
	c.estimatedTokens = min(level, c.plan.Burst)
	inside := c.estimatedTokens >= min(r.Units, c.plan.Burst)
	if !inside {
		missing := r.Units - c.estimatedTokens
		c.bucket.exhaustedUntil = g.now + time.Duration(missing/c.plan.Rate*float64(time.Second))
		if !g.keepReservation(c, call) {
			amend -= call.claim
		}
	}
	if amend != 0 {
		g.call(c, counterCall{name: call.name, unreported: amend, basedOnTotal: total}, c.bucket.window)
	}
	return inside
}

// keepReservation keeps a claim that found the bucket short, if its units fill in before a repeat may come.
func (g *Gateway) keepReservation(c *customer, call counterCall) bool {
	if call.request.finished || c.bucket.reserved >= call.claim || c.bucket.exhaustedUntil > g.now+g.settings.MaxRetryAfter {
		return false
	}
	c.bucket.reserved += call.claim
	c.bucket.reservedFrom = c.bucket.exhaustedUntil
	return true
}

// returnReservation returns what was reserved for a repeat that has not come.
func (g *Gateway) returnReservation(c *customer) {
	if c.bucket.reserved > 0 && g.now > c.bucket.reservedFrom+g.maxLatencyObjective {
		c.unreported -= c.bucket.reserved
		c.bucket.reserved = 0
		g.reportUsage(c)
	}
}
