package quota

// turnsPerObjective is the number of turns, in the shortest latency objective, of gateways that share one
// attempt.
const turnsPerObjective = 8

// concurrencyShare returns this gateway's part of the customer's limit on concurrent attempts, at least one.
// Where an over-quota attempt has a cost and there are more gateways than attempts, the gateways take turns
// instead, if each has its turn within the shortest latency objective. The shares of all gateways then sum to
// the limit at any time.
func (m *Manager) concurrencyShare(c *customer) int {
	limit, span := c.plan.MaxConcurrency, c.gatewaySpan
	if c.plan.OverQuotaCost == 0 || limit >= span || span > limit*turnsPerObjective {
		return max(1, (limit+span-1-c.gatewayIndex)/span)
	}
	turn := int(c.windowAt(m.host.Now(), m.config.MinLatencyObjective/turnsPerObjective))
	return (limit + span - 1 - (c.gatewayIndex+limit*turn)%span) / span
}
