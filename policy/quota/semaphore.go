package quota

import (
	"time"

	"lemontack/policy/model"
)

const (
	// semaphoreWindowDeadlines is the length of the window in a semaphore's name, in longest deadlines: few
	// attempts last longer.
	semaphoreWindowDeadlines = 4
	// minSemaphoreWindow is the shortest window in a semaphore's name.
	minSemaphoreWindow = 4 * time.Second
	// maxSemaphoreWindow is the longest window in a semaphore's name: the counter has to keep names for two
	// windows.
	maxSemaphoreWindow = 30 * time.Second
)

// semaphore is this gateway's state of a customer's permits.
type semaphore struct {
	grantEstimate                   // grants of this customer only
	samples           int           // number of replies in the estimate
	window            int64         // window in the current name
	heldPermits       int           // permits that this gateway holds under the current name
	unreportedPermits int           // permits to be added by the next call, since a call was not executed
	exhaustedUntil    time.Duration // time until which no permit is expected to be free
}

// usesSemaphore reports whether permits on the counter enforce the limit on concurrent attempts. A limit of
// at least one attempt for each gateway is divided among the gateways instead.
func (m *Manager) usesSemaphore(c *customer) bool {
	return m.config.HasSharedCounter && c.gatewaySpan > c.plan.MaxConcurrency
}

// acquirePermit decides, by the limit on concurrent attempts, on a request that is within its rate, or
// calls the counter for a permit.
func (m *Manager) acquirePermit(charge *Charge) Decision {
	c := charge.customer
	calledShare := &c.plan.permitGrants.calledShare
	now := m.host.Now()
	if now < c.permits.exhaustedUntil {
		return rejected(c.permits.exhaustedUntil - now)
	}
	if m.usesSemaphore(c) && m.shouldCallForPermit(charge) {
		updateShare(calledShare, true, grantGain)
		m.callCounterForPermits(c, pendingCall{name: m.semaphoreName(c), charge: charge, claim: 1})
		return pending
	}
	updateShare(calledShare, false, grantGain)
	return m.decideWithoutPermit(charge)
}

// decideWithoutPermit decides by the estimated probability that a permit is free. Attempts of the admitted
// requests are limited to this gateway's share of the limit; see MayDispatch. For a customer with a rate,
// or one that does not use the semaphore, only that share limits the attempts.
func (m *Manager) decideWithoutPermit(charge *Charge) Decision {
	c := charge.customer
	if charge.plan.Rate > 0 || !m.usesSemaphore(c) {
		return admitted
	}
	if worthAdmitting(charge, c.permitProbabilityWithoutCall(charge)) {
		return admitted
	}
	return rejected(m.host.MeanLatency())
}

func (m *Manager) handleSemaphoreReply(c *customer, call pendingCall, reply Reply) Decision {
	m.repairSemaphore(c, &call, reply)
	if call.charge == nil {
		return pending
	}
	return m.handlePermitReply(call, reply)
}

// repairSemaphore reverts the permits of a call that was not executed, and corrects the total of a counter
// that has lost its data.
func (m *Manager) repairSemaphore(c *customer, call *pendingCall, reply Reply) {
	isCurrentName := call.name == m.semaphoreName(c)
	if reply.Outcome.NotExecuted() {
		if isCurrentName {
			c.permits.heldPermits -= int(call.claim + call.adjustment)
			c.permits.unreportedPermits += int(call.adjustment)
		}
		call.claim = 0
	}
	missing := float64(c.permits.heldPermits) - reply.Total
	if reply.Outcome == model.Succeeded && isCurrentName && missing > 0 && !c.hasCallInFlight(call.name) {
		m.callCounter(c, pendingCall{name: call.name, adjustment: missing}, m.semaphoreWindowLength())
	}
}

// handlePermitReply decides on a request from the reply to its call for a permit.
func (m *Manager) handlePermitReply(call pendingCall, reply Reply) Decision {
	charge := call.charge
	c := charge.customer
	charge.permits = int(call.claim)
	charge.semaphoreName = call.name
	granted := reply.Total <= float64(charge.plan.MaxConcurrency)
	if reply.Outcome == model.Succeeded {
		c.recordPermitReply(charge, granted)
	}
	switch {
	case charge.finished:
		m.releasePermits(charge)
		return pending
	case reply.Outcome != model.Succeeded:
		return m.decideWithoutPermit(charge)
	case granted:
		return admitted
	}
	meanLatency := m.host.MeanLatency()
	c.permits.exhaustedUntil = m.host.Now() + meanLatency/time.Duration(charge.plan.MaxConcurrency)
	return rejected(meanLatency)
}

// releasePermits returns the permits that no attempt of the request needs. A request that may still be sent
// keeps one.
func (m *Manager) releasePermits(charge *Charge) {
	needed := charge.attemptsInFlight
	if !charge.finished {
		needed = max(needed, 1)
	}
	if charge.permits > needed {
		m.adjustPermits(charge, needed)
	}
}

// adjustPermits calls the counter to set the number of permits that a request holds: fewer, or more for a
// hedge or retry.
func (m *Manager) adjustPermits(charge *Charge, permits int) {
	difference := float64(permits - charge.permits)
	m.callCounterForPermits(charge.customer, pendingCall{name: charge.semaphoreName, adjustment: difference})
	charge.permits = permits
}

// callCounterForPermits calls the counter with the name of a semaphore. A call for the current window also
// adds the unreported permits.
func (m *Manager) callCounterForPermits(c *customer, call pendingCall) {
	if call.name == m.semaphoreName(c) {
		call.adjustment += float64(c.permits.unreportedPermits)
		c.permits.unreportedPermits = 0
		c.permits.heldPermits += int(call.claim + call.adjustment)
	}
	m.callCounter(c, call, m.semaphoreWindowLength())
}

// semaphoreWindowLength returns the length of the windows in semaphore names, the same at all gateways.
func (m *Manager) semaphoreWindowLength() time.Duration {
	return min(max(semaphoreWindowDeadlines*m.config.MaxDeadline, minSemaphoreWindow), maxSemaphoreWindow)
}

// semaphoreName returns the name of the customer's semaphore in the current window. A new window begins
// without permits, which releases those of crashed gateways.
func (m *Manager) semaphoreName(c *customer) string {
	window := c.windowAt(m.host.Now(), m.semaphoreWindowLength())
	if window != c.permits.window {
		c.permits.window = window
		c.permits.heldPermits = 0
		c.permits.unreportedPermits = 0
	}
	return c.semaphoreNameOf(window)
}
