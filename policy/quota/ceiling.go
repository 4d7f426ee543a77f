package quota

import "time"

// ceilingBucket is this gateway's share of the token bucket of a customer's ceiling. It starts empty, since
// the usage before a restart is unknown.
type ceilingBucket struct {
	tokens    float64       // level in units
	updatedAt time.Duration // time to which tokens refers
}

// hasCeiling reports whether the customer has a ceiling. If so, each window of its central bucket grants at
// most one burst.
func (c *customer) hasCeiling() bool { return c.plan.CeilingRate > 0 }

// level returns the level of this gateway's share of a ceiling, in units, at a time; below 0 more was sent
// than the share.
func (b *ceilingBucket) level(now time.Duration, plan *planState, gatewaySpan int) float64 {
	span := float64(gatewaySpan)
	refilled := b.tokens + plan.CeilingRate/span*(now-b.updatedAt).Seconds()
	return min(plan.CeilingBurst/span, refilled)
}

// ceilingAllows reports whether the ceiling permits the units of a request: the counter has granted them,
// or this gateway's share of the ceiling holds them. For a customer with a central bucket, only the grants
// of the counter count while it replies to enough calls.
func (m *Manager) ceilingAllows(charge *Charge) bool {
	if charge.plan.CeilingRate <= 0 || charge.ceilingGranted {
		return true
	}
	c, now := charge.customer, m.host.Now()
	c.ceiling.tokens = c.ceiling.level(now, charge.plan, c.gatewaySpan)
	c.ceiling.updatedAt = now
	return c.ceiling.tokens >= charge.units && !(c.hasCentralBucket && m.throttle.counterIsHealthy())
}

// ceilingDebt returns the units by which the customer exceeds this gateway's share of its ceiling.
func (m *Manager) ceilingDebt(c *customer) float64 {
	if !c.hasCeiling() {
		return 0
	}
	return max(0, -c.ceiling.level(m.host.Now(), c.plan, c.gatewaySpan))
}

// keepCeilingDebt makes the plan remember by how much a customer that is evicted early exceeds its ceiling.
func (m *Manager) keepCeilingDebt(c *customer) {
	debt := m.ceilingDebt(c)
	if debt <= 0 {
		return
	}
	until := m.host.Now() + seconds(debt*float64(c.gatewaySpan)/c.plan.CeilingRate)
	c.plan.ceilingDebtUntil = max(c.plan.ceilingDebtUntil, until)
}
