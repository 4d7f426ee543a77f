package quota

// maxCarriedBursts limits the deficit that is carried over into the next window, in bursts.
const maxCarriedBursts = 1.5

// readPreviousWindow calls the counter for the final usage of the window before the given one. The total of
// a new name starts at 0, which corresponds to a full bucket.
func (m *Manager) readPreviousWindow(c *customer, window int64) {
	if !c.hasCeiling() {
		m.callCounter(c, pendingCall{name: c.bucketNameOf(window - 1), readsPreviousWindow: true},
			c.bucket.windowLength)
	}
}

// handleCorrectionReply handles the reply to a call that was made for no request. The deficit of the
// previous window is carried over into the current one. If another gateway has made the same correction
// from the same total, this gateway reverts its own, since the other one came first.
func (m *Manager) handleCorrectionReply(c *customer, call pendingCall, total float64) {
	addedByOthers := total - call.totalBeforeCorrection - call.adjustment
	isLargeCorrection := call.totalBeforeCorrection > 0 && call.adjustment > c.plan.Burst/2
	switch {
	case call.readsPreviousWindow:
		m.carryDeficit(c, total)
	case isLargeCorrection && addedByOthers > call.adjustment/2:
		m.callCounter(c, pendingCall{name: call.name, adjustment: -call.adjustment}, c.bucket.windowLength)
	}
}

// carryDeficit computes the deficit of the previous window from its final usage and adds it to the usage of
// the current window.
func (m *Manager) carryDeficit(c *customer, previousUsage float64) {
	window := c.windowAt(m.host.Now(), c.bucket.windowLength)
	deficit := min(previousUsage-m.refilledTokens(c, window-1), maxCarriedBursts*c.plan.Burst)
	if previousUsage > 0 && deficit > 0 {
		m.callCounter(c, pendingCall{name: c.bucketNameOf(window), adjustment: deficit},
			c.bucket.windowLength)
	}
}
