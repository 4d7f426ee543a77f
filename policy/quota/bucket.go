package quota

import (
	"time"

	"lemontack/policy/model"
)

const (
	// overfillTolerance is the excess of the computed level over the burst, as a share of the burst, above
	// which the total on the counter is corrected.
	overfillTolerance = 0.5
	// totalRoundingError is the rounding error allowed in the counter's totals, in units. Totals have seven
	// significant digits.
	totalRoundingError = 1e-6
)

// centralBucket is this gateway's state of a customer's central token bucket.
type centralBucket struct {
	windowLength       time.Duration // length of the windows in its names on the counter
	initialTokens      float64       // units added to the local bucket at its first use
	reservedTokens     float64       // units claimed in advance for a client's retry
	reservationReadyAt time.Duration // time by which the reserved units are refilled
	exhaustedUntil     time.Duration // time until which the bucket holds too few tokens
}

// initCentralBucket initializes the central bucket of a new customer. The local bucket starts with a random
// fraction of the largest request, so that the gateways together admit requests at the customer's rate from
// the start.
func (m *Manager) initCentralBucket(c *customer) {
	c.lease.counterUnresponsive = true
	c.unreportedUnits = 0
	c.bucket.windowLength = counterWindowLength
	if c.hasCeiling() {
		c.bucket.windowLength = max(seconds(c.plan.Burst/c.plan.Rate), m.config.TickInterval)
	}
	c.bucket.initialTokens = m.rng.Float64() * max(1, m.config.MaxUnits)
	if !m.config.HasSharedCounter {
		// Without a counter nothing else is granted at the start: the local bucket, including the first
		// lease, starts with up to two units or the largest request.
		c.bucket.initialTokens = max(0, m.rng.Float64()*max(2, m.config.MaxUnits)-c.lease.tokens)
	}
}

// admitByCentralBucket decides on a new request of a customer with a central bucket, or calls the counter
// to claim its units.
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

// chargeLocalBucket decides on a request without the counter: by the share of similar requests that the
// counter has granted, and by the local bucket. It reports whether the local bucket was charged.
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

// claimTokens calls the counter to claim the units of a request. Except for a customer with a ceiling, the
// call also adds the unreported units.
func (m *Manager) claimTokens(charge *Charge) {
	c := charge.customer
	call := pendingCall{charge: charge, claim: charge.units}
	if !c.hasCeiling() {
		call.adjustment = c.unreportedUnits
		c.unreportedUnits = 0
	}
	m.callCounterForBucket(c, call)
}

// callCounterForBucket calls the counter with the name of the customer's central bucket in the current
// window.
func (m *Manager) callCounterForBucket(c *customer, call pendingCall) {
	c.usageWindow = c.windowAt(m.host.Now(), c.bucket.windowLength)
	call.name = c.bucketName()
	m.callCounter(c, call, c.bucket.windowLength)
}

// reportUsage calls the counter to add the unreported units: those used, settled or refunded since the last
// call.
func (m *Manager) reportUsage(c *customer) {
	adjustment := c.unreportedUnits
	c.unreportedUnits = 0
	m.callCounterForBucket(c, pendingCall{adjustment: adjustment})
}

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

// restoreAdjustment updates the unreported units after a failed call. If the call was not executed, its
// adjustment is added by the next call.
func (c *customer) restoreAdjustment(call pendingCall, outcome model.Outcome) {
	switch {
	case outcome.NotExecuted():
		c.unreportedUnits += call.adjustment
	case outcome != model.Succeeded && !c.hasCeiling():
		// The claim was probably added to the total, but the request is now decided locally.
		c.unreportedUnits -= call.claim
	}
}

// handleClaimReply decides on a request from the reply to the claim of its units.
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

// grantWithinCeiling reports whether a claim of a customer with a ceiling is granted. A window grants at
// most one burst, and at most half of the ceiling's burst, since the grants at the end of one window and at
// the start of the next may be close in time.
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

// bucketCovers reports whether the bucket held the units of a claim. It corrects a wrong total on the
// counter, and subtracts an uncovered claim from it unless the claim is kept as a reservation.
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

// levelBeforeClaim returns the level of the bucket before a claim, computed from the total that the claim
// returned, and the correction to add to that total. The usage of a full bucket equals the units refilled
// since the window began; the total is lower if the window has just begun or the bucket has overflowed.
func (m *Manager) levelBeforeClaim(call pendingCall, total float64) (level, correction float64) {
	c := call.charge.customer
	window := c.windowAt(call.sentAt, c.bucket.windowLength)
	refilled := m.refilledTokens(c, window)
	usedBefore := total - call.claim
	if usedBefore-call.adjustment < totalRoundingError {
		// This is the first claim of the window, or the counter has lost its data.
		m.readPreviousWindow(c, window)
		return c.plan.Burst, refilled
	}
	level = c.plan.Burst + refilled - usedBefore
	if level > c.plan.Burst*(1+overfillTolerance) {
		return level, level - c.plan.Burst
	}
	return level, 0
}

// refilledTokens returns the units refilled by the rate since a window of a central bucket began.
func (m *Manager) refilledTokens(c *customer, window int64) float64 {
	return c.plan.Rate *
		(m.host.Now() + c.windowOffset - time.Duration(window)*c.bucket.windowLength).Seconds()
}
