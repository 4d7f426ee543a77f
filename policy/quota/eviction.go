package quota

import "math"

const (
	// ticksPerIdleSweep is the number of ticks in which Tick checks every customer once.
	ticksPerIdleSweep = 50
	// unreportedFlushShare is the share of the gateway's part of the burst above which the unreported units
	// of an idle customer are reported without a request.
	unreportedFlushShare = 0.25
	// minIdleRefillUnits is the number of units that the rate refills before a customer without requests
	// counts as idle.
	minIdleRefillUnits = 1

	// customerBytes is the memory that the state of one customer takes, with its entries in the indexes and
	// the list of its calls.
	customerBytes = 512
	// evictionSamples is the number of customers among which makeRoomForCustomer chooses. A few suffice to
	// find one that loses little.
	evictionSamples = 8
)

// checkNextCustomer checks one customer, in turn: it reports permits and units that wait for a call,
// returns unused tokens, and evicts the customer if nothing would be lost.
func (m *Manager) checkNextCustomer() {
	c := m.nextCustomer()
	if c.permits.unreportedPermits != 0 {
		m.callCounterForPermits(c, pendingCall{name: m.semaphoreName(c)})
	}
	if c.hasCentralBucket {
		m.returnExpiredReservation(c)
	}
	if m.isEvictable(c) {
		m.evictAt(m.lastCheckedIndex)
		return
	}
	idle := (m.host.Now() - c.lastRequestAt).Seconds()
	flushThreshold := unreportedFlushShare * c.plan.Burst / float64(c.gatewaySpan)
	if c.plan.Rate > 0 && math.Abs(c.unreportedUnits) > flushThreshold &&
		idle*c.plan.Rate > minIdleRefillUnits {
		m.requestLease(c, 0)
	}
}

// nextCustomer returns the customer to be checked next, in turn. There must be one.
func (m *Manager) nextCustomer() *customer {
	m.lastCheckedIndex = (m.lastCheckedIndex + 1) % len(m.customerOrder)
	return m.customerOrder[m.lastCheckedIndex]
}

// evictAt removes the customer at an index of customerOrder. The last one takes its place.
func (m *Manager) evictAt(index int) {
	last := len(m.customerOrder) - 1
	delete(m.customers, m.customerOrder[index].id)
	m.customerOrder[index] = m.customerOrder[last]
	m.customerOrder[last] = nil
	m.customerOrder = m.customerOrder[:last]
}

// isEvictable reports whether nothing refers to the customer, and a new state of it would grant no more than
// this one: its names on the counter have expired, its bucket is full and its ceiling not exceeded.
func (m *Manager) isEvictable(c *customer) bool {
	idle := m.host.Now() - c.lastRequestAt
	return idle > maxCounterNameTTL && !c.isInUse() && idle.Seconds() >= c.refillSeconds() &&
		m.ceilingDebt(c) <= 0
}

// isInUse reports whether a request or a reply of the counter may still refer to the customer, or permits
// have to be reported.
func (c *customer) isInUse() bool {
	return c.openCharges > 0 || c.lease.callInFlight || len(c.callsInFlight) > 0 ||
		c.permits.unreportedPermits != 0
}

// refillSeconds returns the time without requests, in seconds, after which the rate has refilled the
// customer's bucket: the central one from empty, or this gateway's share from the units left in the lease,
// below 0 where an answer has settled more.
func (c *customer) refillSeconds() float64 {
	switch {
	case c.plan.Rate <= 0:
		return 0
	case c.hasCentralBucket:
		return c.plan.Burst / c.plan.Rate
	}
	return max(0, c.burstShare()-c.lease.tokens) / c.rateShare()
}

// makeRoomForCustomer evicts a customer if as many are kept as the memory allows: of the next few that are
// not in use, the one that lacks least to a full bucket. What it lacks would be granted to it once more. If
// all of them are in use, none is evicted; the requests that are open limit their number.
func (m *Manager) makeRoomForCustomer() {
	maxCustomers := m.config.CustomerMemory / customerBytes
	if m.config.CustomerMemory <= 0 || len(m.customerOrder) < max(maxCustomers, 1) {
		return
	}
	victim, leastMissing := -1, math.Inf(1)
	for range min(evictionSamples, len(m.customerOrder)) {
		c := m.nextCustomer()
		missing := c.refillSeconds() - (m.host.Now() - c.lastRequestAt).Seconds()
		if !c.isInUse() && missing < leastMissing {
			victim, leastMissing = m.lastCheckedIndex, missing
		}
	}
	if victim >= 0 {
		m.keepCeilingDebt(m.customerOrder[victim])
		m.evictAt(victim)
	}
}
