package quota

import (
	"time"

	"lemontack/policy/model"
)

const (
	// overfillTolerance is the share of the burst that a bucket may seem to hold in excess before its total
	// is corrected.
	overfillTolerance = 0.5
	// totalRoundingError is the rounding error of the counter's totals, which have seven digits, in units.
	totalRoundingError = 1e-6
)

// centralBucket is what this gateway knows of a central token bucket.
type centralBucket struct {
	windowLength       time.Duration // length of the windows of its name on the counter
	initialTokens      float64       // units that the local bucket gets when it is used first
	reservedTokens     float64       // units claimed ahead, for a client's retry
	reservationReadyAt time.Duration // the reservation has been refilled by then
	exhaustedUntil     time.Duration // the bucket holds too little until then
}

// initCentralBucket prepares a customer with a central bucket. Its local bucket starts with a random part of
// the largest request, so that from the start all gateways together admit their shares.
func (m *Manager) initCentralBucket(c *customer) {
	c.lease.counterUnresponsive = true
	c.unreportedUnits = 0
	c.bucket.windowLength = counterWindowLength
	if c.hasCeiling() {
		c.bucket.windowLength = seconds(c.plan.Burst / c.plan.Rate)
	}
	c.bucket.initialTokens = m.rng.Float64() * max(1, m.config.MaxUnits)
	if !m.config.HasSharedCounter {
		// Nothing else is granted at once: up to two of the smallest requests, with the first lease.
		c.bucket.initialTokens = max(0, m.rng.Float64()*max(2, m.config.MaxUnits)-c.lease.tokens)
	}
}

// admitByCentralBucket decides on a new request of a customer with a central bucket, or claims its units there.
func (m *Manager) admitByCentralBucket(charge *Charge) Decision {
	c, now := charge.customer, m.host.Now()
	switch {
	case c.bucket.reservedTokens >= charge.units && now >= c.bucket.reservationReadyAt:
		c.bucket.reservedTokens -= charge.units
		charge.claimCharged = true
		return m.resolve(charge, true)
	case now < c.bucket.exhaustedUntil:
		return m.resolve(charge, false)
	case c.hasCeiling() && m.throttle.counterIsHealthy(), m.shouldClaimTokens(charge):
		m.claimTokens(charge)
		return pending
	}
	return m.resolve(charge, m.chargeLocalBucket(charge))
}

// chargeLocalBucket decides without the counter: by the share of such requests that it has granted, and by
// the local bucket.
func (m *Manager) chargeLocalBucket(charge *Charge) bool {
	c := charge.customer
	c.lease.tokens += c.bucket.initialTokens
	c.bucket.initialTokens = 0
	usesGrantEstimate := (m.config.HasSharedCounter || charge.isRetry) && !c.hasCeiling()
	if usesGrantEstimate && !worthAdmitting(charge, *charge.plan.bucketGrants.grantProbability(charge)) {
		return false
	}
	return m.chargeLease(charge)
}

// claimTokens calls the counter for the units of a request, and reports what is unreported.
func (m *Manager) claimTokens(charge *Charge) {
	c := charge.customer
	call := pendingCall{charge: charge, claim: charge.units}
	if !c.hasCeiling() {
		call.adjustment = c.unreportedUnits
		c.unreportedUnits = 0
	}
	m.callCounterForBucket(c, call)
}

// callCounterForBucket calls the counter by the name of the customer's bucket in the present window.
func (m *Manager) callCounterForBucket(c *customer, call pendingCall) {
	c.usageWindow = c.windowAt(m.host.Now(), c.bucket.windowLength)
	call.name = c.bucketName()
	m.callCounter(c, call, c.bucket.windowLength)
}

// reportUsage calls the counter with the units used, settled or refunded since the last call.
func (m *Manager) reportUsage(c *customer) {
	adjustment := c.unreportedUnits
	c.unreportedUnits = 0
	m.callCounterForBucket(c, pendingCall{adjustment: adjustment})
}

// handleBucketReply takes the reply to a call by the name of a central bucket.
func (m *Manager) handleBucketReply(c *customer, call pendingCall, reply Reply) Decision {
	c.restoreAdjustment(call, reply.Outcome)
	if call.charge != nil {
		return m.handleClaimReply(call, reply)
	}
	if reply.Outcome == model.Succeeded {
		m.handleCorrectionReply(c, call, reply.Total)
	}
	return pending
}

// restoreAdjustment keeps the units of a failed call for the next one, as far as they are known not to be in
// the total.
func (c *customer) restoreAdjustment(call pendingCall, outcome model.Outcome) {
	switch {
	case outcome.NotExecuted():
		c.unreportedUnits += call.adjustment
	case outcome != model.Succeeded && !c.hasCeiling():
		// The claim was added, in all likelihood, but the request is now decided locally.
		c.unreportedUnits -= call.claim
	}
}

// handleClaimReply decides on a request by the reply to the claim of its units.
func (m *Manager) handleClaimReply(call pendingCall, reply Reply) Decision {
	charge := call.charge
	c := charge.customer
	switch {
	case charge.finished && reply.Outcome == model.Succeeded && !c.hasCeiling():
		charge.claimCharged = m.bucketCovers(call, reply.Total)
		m.refundTokens(charge)
		return pending
	case charge.finished:
		return pending
	case reply.Outcome != model.Succeeded:
		return m.resolve(charge, m.chargeLocalBucket(charge))
	case c.hasCeiling():
		return m.resolve(charge, m.grantWithinCeiling(call, reply.Total))
	}
	charge.claimCharged = m.bucketCovers(call, reply.Total)
	updateShare(charge.plan.bucketGrants.grantProbability(charge), charge.claimCharged, grantGain)
	return m.resolve(charge, charge.claimCharged)
}

// grantWithinCeiling reports whether a claim of a customer with a ceiling is granted: a window grants one
// burst, and at most half of the ceiling's, since the end of one window and the start of the next may come
// together.
func (m *Manager) grantWithinCeiling(call pendingCall, total float64) bool {
	charge := call.charge
	c := charge.customer
	limit := min(c.plan.Burst, c.plan.CeilingBurst/2)
	granted := total <= max(limit, charge.units)
	charge.ceilingGranted = granted && m.throttle.counterIsHealthy()
	switch {
	case granted:
		c.lease.tokens = max(0, c.lease.tokens-charge.units)
	case call.name == c.bucketName() && total > limit+charge.units:
		windowEnd := time.Duration(c.usageWindow+1)*c.bucket.windowLength - c.windowOffset
		c.bucket.exhaustedUntil = windowEnd
	}
	return granted
}

// bucketCovers reports whether the bucket held the units of a claim, and corrects its total on the counter
// where it is wrong or the claim is not kept as a reservation.
func (m *Manager) bucketCovers(call pendingCall, total float64) bool {
	charge := call.charge
	c := charge.customer
	level, correction := m.levelBeforeClaim(call, total)
	c.lease.estimatedTokens = min(level, c.plan.Burst)
	covered := c.lease.estimatedTokens >= min(charge.units, c.plan.Burst)
	if !covered {
		missing := charge.units - c.lease.estimatedTokens
		c.bucket.exhaustedUntil = m.host.Now() + seconds(missing/c.plan.Rate)
		if !m.reserveClaim(c, call) {
			correction -= call.claim
		}
	}
	if correction != 0 {
		correctionCall := pendingCall{name: call.name, adjustment: correction, totalBeforeCorrection: total}
		m.callCounter(c, correctionCall, c.bucket.windowLength)
	}
	return covered
}

// levelBeforeClaim returns the level of the bucket before a claim, by the total that the claim has returned,
// and what has to be added to that total: where the window has just begun or the bucket has overflowed, the
// total is below the usage that stands for a full bucket.
func (m *Manager) levelBeforeClaim(call pendingCall, total float64) (level, correction float64) {
	c := call.charge.customer
	window := c.windowAt(call.sentAt, c.bucket.windowLength)
	refilled := m.refilledTokens(c, window)
	usedBefore := total - call.claim
	if usedBefore-call.adjustment < totalRoundingError {
		// It is the first claim of the window, or the counter has lost its numbers.
		m.readPreviousWindow(c, window)
		return c.plan.Burst, refilled
	}
	level = c.plan.Burst + refilled - usedBefore
	if level > c.plan.Burst*(1+overfillTolerance) {
		return level, level - c.plan.Burst
	}
	return level, 0
}

// refilledTokens returns the units that the rate has refilled since a window of a central bucket began.
func (m *Manager) refilledTokens(c *customer, window int64) float64 {
	return c.plan.Rate * (m.host.Now() + c.windowOffset - time.Duration(window)*c.bucket.windowLength).Seconds()
}
