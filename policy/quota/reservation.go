package quota

// keepReservation keeps a claim that found too few tokens, if its units are refilled by the time that a
// client's retry may arrive. It reports whether the claim is kept.
func (m *Manager) keepReservation(c *customer, call pendingCall) bool {
	latestRetry := m.host.Now() + m.config.MaxRetryAfter
	if call.charge.finished || c.bucket.reserved >= call.claim || c.bucket.exhaustedUntil > latestRetry {
		return false
	}
	c.bucket.reserved += call.claim
	c.bucket.reservedFrom = c.bucket.exhaustedUntil
	return true
}

// refundClaim turns the claimed units of a request that was not sent into a reservation for the next one, up
// to one large request; the rest goes back to the bucket.
func (m *Manager) refundClaim(c *customer, units float64) {
	kept := min(units, max(0, max(1, m.config.MaxUnits)-c.bucket.reserved))
	c.bucket.reserved += kept
	c.unreported -= units - kept
	c.bucket.reservedFrom = max(c.bucket.reservedFrom, m.host.Now())
}

// returnReservation returns the reserved units to the bucket if the client's retry has not arrived in time.
func (m *Manager) returnReservation(c *customer) {
	if c.bucket.reserved > 0 && m.host.Now() > c.bucket.reservedFrom+m.config.MaxLatencyObjective {
		c.unreported -= c.bucket.reserved
		c.bucket.reserved = 0
		m.reportUsage(c)
	}
}
