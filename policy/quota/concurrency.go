package quota

// turnsPerObjective is the number of turns within the shortest latency objective, if gateways take turns in
// using a limit that is smaller than their number.
const turnsPerObjective = 8

// concurrencyShare returns this gateway's share of the customer's limit on concurrent attempts, at least
// one. The exception is a customer whose over-quota attempts have a cost and whose gateways outnumber the
// attempts: if each gateway has a turn within the shortest latency objective, the gateways take turns, and
// the share is zero outside this gateway's turn. The shares of all gateways then always sum to the limit.
func (m *Manager) concurrencyShare(c *customer) int {
	limit, span := c.plan.MaxConcurrency, c.gatewaySpan
	if c.plan.OverQuotaCost == 0 || limit >= span || span > limit*turnsPerObjective {
		return max(1, (limit+span-1-c.gatewayIndex)/span)
	}
	turn := int(c.windowAt(m.host.Now(), m.config.MinLatencyObjective/turnsPerObjective))
	return (limit + span - 1 - (c.gatewayIndex+limit*turn)%span) / span
}
