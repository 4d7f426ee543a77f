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

// ceilingAllows reports whether the ceiling permits the units of a request: the counter has granted them,
// or this gateway's share of the ceiling holds them. For a customer with a central bucket, only the grants
// of the counter count while it replies to enough calls.
func (m *Manager) ceilingAllows(charge *Charge) bool {
	if charge.plan.CeilingRate <= 0 || charge.ceilingGranted {
		return true
	}
	c, now := charge.customer, m.host.Now()
	span := float64(c.gatewaySpan)
	refilled := c.ceiling.tokens + charge.plan.CeilingRate/span*(now-c.ceiling.updatedAt).Seconds()
	c.ceiling.tokens = min(charge.plan.CeilingBurst/span, refilled)
	c.ceiling.updatedAt = now
	return c.ceiling.tokens >= charge.units && !(c.hasCentralBucket && m.throttle.counterIsHealthy())
}
