package quota

import "time"

// ceilingBucket is this gateway's part of the token bucket of a customer's ceiling. It starts empty, since after a
// restart nothing is known of what was spent before.
type ceilingBucket struct {
	tokens    float64       // units
	updatedAt time.Duration // up to when tokens is computed
}

// hasCeiling reports whether the customer has a ceiling. The windows of its name on the counter then grant at
// most one burst each.
func (c *customer) hasCeiling() bool { return c.plan.CeilingRate > 0 }

// ceilingAllows reports whether the ceiling lets the units of a request go: the counter has granted them, or
// this gateway's part of the ceiling holds them. While the counter replies to enough calls, only its grants
// count for a customer with a central bucket.
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
