package quota

// maxCarriedBursts bounds, in bursts, the deficit that a window hands on to the next.
const maxCarriedBursts = 1.5

// readPreviousWindow calls for the final usage of the window before the given one: the total of a new name
// starts at 0, which stands for a full bucket.
func (m *Manager) readPreviousWindow(c *customer, window int64) {
	if !c.hasCeiling() {
		m.callCounter(c, pendingCall{name: c.bucketNameOf(window - 1), readsPreviousWindow: true}, c.bucket.windowLength)
	}
}

// handleCorrectionReply takes the reply to a call that was made for no request. The deficit of the previous
// window is carried over into the present one. A correction that another gateway has made too, from the same
// total, is reverted; the other's, which came first, remains.
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

// carryDeficit adds the deficit of the previous window, by its final usage, to the usage of the present one.
func (m *Manager) carryDeficit(c *customer, previousUsage float64) {
	window := c.windowAt(m.host.Now(), c.bucket.windowLength)
	deficit := min(previousUsage-m.refilledTokens(c, window-1), maxCarriedBursts*c.plan.Burst)
	if previousUsage > 0 && deficit > 0 {
		m.callCounter(c, pendingCall{name: c.bucketNameOf(window), adjustment: deficit}, c.bucket.windowLength)
	}
}
