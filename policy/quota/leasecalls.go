package quota

import (
	"time"

	"lemontack/policy/model"
	"lemontack/policy/portable"
)

const (
	// exhaustedCallInterval is the minimum time between two calls for a lease of less than one unit.
	exhaustedCallInterval = 250 * time.Millisecond
	// callsPerCounterTimeout limits the calls for one customer's leases within one counter timeout.
	callsPerCounterTimeout = 8
	// maxBackoffDoublings limits the backoff after consecutive failed calls, in doublings of the counter
	// timeout.
	maxBackoffDoublings = 4
	// minReplyIntervalSeconds is the lower limit of the time between two totals in the computation of a
	// usage rate, in seconds.
	minReplyIntervalSeconds = 0.01
	// usageRateDecay is the exponential decay rate of older usage in the remote usage rate, per second.
	usageRateDecay = 2.0
)

// requestLease calls the counter to add the unreported units and a new lease. At most one such call of a
// customer is in flight.
func (m *Manager) requestLease(c *customer, leaseTokens float64) {
	now := m.host.Now()
	if !m.config.HasSharedCounter || c.hasCentralBucket || c.lease.callInFlight || now < c.lease.nextCallAt {
		return
	}
	if window := c.windowAt(now, counterWindowLength); window != c.usageWindow {
		c.usageWindow = window
		c.lease.lastTotal = 0
	}
	c.lease.callInFlight = true
	c.lease.pendingDelta = c.unreportedUnits + leaseTokens
	c.lease.pendingTokens = leaseTokens
	c.unreportedUnits = 0
	m.host.CallCounter(Call{Name: c.bucketName(), Delta: c.lease.pendingDelta, TTL: maxCounterNameTTL})
}

func (m *Manager) handleLeaseReply(c *customer, reply Reply) {
	c.lease.callInFlight = false
	m.refreshLease(c)
	if reply.Outcome != model.Succeeded {
		m.handleLeaseFailure(c, reply.Outcome)
		return
	}
	m.consecutiveLeaseFailures = 0
	c.lease.counterUnresponsive = false
	c.recordTotal(reply.Total, m.host.Now())
	c.extendLease(max(0, min(c.lease.pendingTokens, c.lease.estimatedTokens/float64(c.gatewaySpan))))
	c.unreportedUnits -= c.lease.pendingTokens // already included in the total
	m.scheduleNextCall(c)
}

// recordTotal updates the estimate of the token bucket from a total. The increase since the last total,
// apart from this gateway's own delta, is usage by other gateways.
func (c *customer) recordTotal(total float64, now time.Duration) {
	remoteUsage := total - c.lease.pendingDelta - c.lease.lastTotal
	if remoteUsage < -c.plan.Burst {
		remoteUsage = 0 // the counter has lost its data, so the total shows no usage
	}
	if c.lease.lastReplyAt == 0 { // the first total includes all usage since its window began
		c.lease.estimatedAt = time.Duration(c.usageWindow)*counterWindowLength - c.windowOffset
		unused := c.plan.Burst - c.lease.lastTotal - c.lease.pendingDelta
		c.lease.estimatedTokens = unused + c.lease.pendingTokens - c.unreportedUnits
	} else {
		c.recordRemoteUsage(remoteUsage, now)
	}
	refilled := c.plan.Rate * (now - c.lease.estimatedAt).Seconds()
	tokens := min(c.maxTokens(), c.lease.estimatedTokens+refilled-remoteUsage)
	// The totals include over-quota requests, which take no tokens from the actual bucket. The estimated
	// deficit is therefore limited.
	c.lease.estimatedTokens = max(-c.plan.Burst/2, tokens)
	c.lease.estimatedAt = now
	c.lease.lastTotal = total
	c.lease.lastReplyAt = now
}

// recordRemoteUsage updates the rate at which the other gateways use units, an exponential moving average.
func (c *customer) recordRemoteUsage(usage float64, now time.Duration) {
	elapsed := max((now - c.lease.lastReplyAt).Seconds(), minReplyIntervalSeconds)
	weight := 1 - portable.Exp(-usageRateDecay*elapsed)
	c.lease.remoteUsageRate += (max(0, usage)/elapsed - c.lease.remoteUsageRate) * weight
}

// scheduleNextCall sets the earliest time of the next call for a lease, after a reply.
func (m *Manager) scheduleNextCall(c *customer) {
	interval := m.config.CounterTimeout / callsPerCounterTimeout
	if c.lease.tokens < 1 {
		interval = exhaustedCallInterval
	}
	c.lease.nextCallAt = m.host.Now() + interval
}

// handleLeaseFailure handles the failure of a call for a lease. Until the next total, the lease grows at
// the gateway's share of the rate, and calls back off exponentially with jitter. An error reply is
// different: the counter has responded, and is assumed to have added the delta, which the next total then
// includes.
func (m *Manager) handleLeaseFailure(c *customer, outcome model.Outcome) {
	now := m.host.Now()
	if outcome == model.Failed {
		c.lease.lastTotal += c.lease.pendingDelta
		c.unreportedUnits -= c.lease.pendingTokens
		c.lease.nextCallAt = now
		return
	}
	if outcome.NotExecuted() { // otherwise the units may have been added, and then count as remote usage
		c.unreportedUnits += c.lease.pendingDelta - c.lease.pendingTokens
	}
	m.consecutiveLeaseFailures++
	if !c.lease.counterUnresponsive {
		c.extendLease(max(0, c.availableTokens(now)) / float64(c.gatewaySpan))
		c.lease.counterUnresponsive = true
	}
	backoff := m.config.CounterTimeout << min(m.consecutiveLeaseFailures, maxBackoffDoublings)
	jitter := time.Duration(m.rng.Int64N(int64(backoff)))
	c.lease.nextCallAt = now + backoff + jitter
}
