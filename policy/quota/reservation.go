package quota

// reserveClaim keeps a claim that found too few tokens as a reservation, if its units are refilled by the
// time at which the client's retry may arrive. It reports whether the claim is kept.
func (m *Manager) reserveClaim(c *customer, call pendingCall) bool {
	latestRetry := m.host.Now() + m.config.MaxRetryAfter
	if call.charge.finished || c.bucket.reservedTokens >= call.claim ||
		c.bucket.exhaustedUntil > latestRetry {
		return false
	}
	c.bucket.reservedTokens += call.claim
	c.bucket.reservationReadyAt = c.bucket.exhaustedUntil
	return true
}

// refundClaim turns the claimed units of a request that was not sent into a reservation for the next
// request, up to the units of the largest request. The rest goes back to the bucket.
func (m *Manager) refundClaim(c *customer, units float64) {
	kept := min(units, max(0, max(1, m.config.MaxUnits)-c.bucket.reservedTokens))
	c.bucket.reservedTokens += kept
	c.unreportedUnits -= units - kept
	c.bucket.reservationReadyAt = max(c.bucket.reservationReadyAt, m.host.Now())
}

// returnExpiredReservation returns the reserved units to the bucket if the client's retry has not arrived
// in time.
func (m *Manager) returnExpiredReservation(c *customer) {
	if c.bucket.reservedTokens > 0 &&
		m.host.Now() > c.bucket.reservationReadyAt+m.config.MaxLatencyObjective {
		c.unreportedUnits -= c.bucket.reservedTokens
		c.bucket.reservedTokens = 0
		m.reportUsage(c)
	}
}
