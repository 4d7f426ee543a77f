package quota

import (
	"time"

	"lemontack/policy/portable"
)

const (
	// leaseDemandSeconds is the time for which a full lease covers the customer's demand, in seconds.
	leaseDemandSeconds = 0.6
	// roundingTolerance is the rounding error allowed when a lease is compared with a request, in units.
	roundingTolerance = 1e-9
)

// lease is the part of the customer's rate that this gateway may spend without calling the counter,
// together with the gateway's estimate of the customer's token bucket. The token bucket refills at the
// rate, up to the burst. The estimate is updated from the counter's totals; usage between two totals is
// assumed to be spread evenly over the time.
type lease struct {
	tokens              float64       // units that this gateway may still spend
	estimatedTokens     float64       // level of the token bucket in units, without the known leases
	estimatedAt         time.Duration // time to which estimatedTokens refers
	refreshedAt         time.Duration // time up to which tokens and demandRate are computed
	demandRate          float64       // units per second that requests at this gateway need
	remoteUsageRate     float64       // units per second that the other gateways use
	callInFlight        bool          // a call for a lease waits for its reply
	counterUnresponsive bool          // the counter does not reply; the lease grows with time instead
	pendingDelta        float64       // units that the call in flight adds
	pendingTokens       float64       // units of the new lease, part of pendingDelta
	lastTotal           float64       // last total of the name in the current window
	lastReplyAt         time.Duration // time of the last total; 0 before the first
	nextCallAt          time.Duration // earliest time of the next call for a lease
}

// newLease returns the first lease of a customer: the gateway's share of the burst, granted without a call.
// The initial estimate of the token bucket is the number of units that the lease lacks for the largest
// request.
func (m *Manager) newLease(c *customer) lease {
	now := m.host.Now()
	tokens := c.burstShare()
	return lease{
		tokens:              tokens,
		estimatedTokens:     max(0, m.config.MaxUnits-tokens, 1-tokens),
		estimatedAt:         now,
		refreshedAt:         now,
		counterUnresponsive: !m.config.HasSharedCounter,
	}
}

// refreshLease updates the demand rate to the current time, and the lease if it grows with time.
func (m *Manager) refreshLease(c *customer) {
	now := m.host.Now()
	elapsed := (now - c.lease.refreshedAt).Seconds()
	c.lease.refreshedAt = now
	c.lease.demandRate *= portable.Exp(-elapsed)
	switch {
	case c.hasCentralBucket: // the local bucket; only its usage is reported
		c.lease.tokens += min(c.rateShare()*elapsed, m.leaseHeadroom(c))
	case c.lease.counterUnresponsive:
		c.extendLease(min(c.rateShare()*elapsed, m.leaseHeadroom(c)))
	}
}

// leaseHeadroom returns the units that may be added to the lease. Its capacity is the gateway's share of
// the burst, and at least the largest request.
func (m *Manager) leaseHeadroom(c *customer) float64 {
	return max(0, max(c.burstShare(), m.config.MaxUnits, 1)-c.lease.tokens)
}

// extendLease moves units from the estimated token bucket to the lease. The next call reports them.
func (c *customer) extendLease(units float64) {
	c.lease.tokens += units
	c.unreportedUnits += units
	c.lease.estimatedTokens -= units
}

// availableTokens returns the estimated level of the token bucket, in units.
func (c *customer) availableTokens(now time.Duration) float64 {
	return min(c.maxTokens(), c.lease.estimatedTokens+c.plan.Rate*(now-c.lease.estimatedAt).Seconds())
}

// maxTokens returns the level of a full token bucket. It excludes the leases: this gateway's, and an
// assumed half of its size at each of the other gateways.
func (c *customer) maxTokens() float64 {
	return max(0, c.plan.Burst-max(0, c.lease.tokens)*(1+float64(c.gatewaySpan-1)/2))
}

// uncontestedTokens returns the part of the available tokens that the other gateways are not expected to
// use: the tokens left after their estimated usage since the last total, times this gateway's part of all
// usage.
func (c *customer) uncontestedTokens(now time.Duration) float64 {
	if c.lease.counterUnresponsive {
		return 0
	}
	remoteUsage := c.lease.remoteUsageRate * (now - c.lease.lastReplyAt).Seconds()
	totalRate := c.lease.demandRate + c.lease.remoteUsageRate
	return (c.availableTokens(now) - remoteUsage) * c.lease.demandRate / totalRate
}

// chargeLease takes the units of a request from the lease. A lease that is too small is first extended by
// uncontested tokens. It reports whether the units were taken or the customer has no rate quota.
func (m *Manager) chargeLease(charge *Charge) bool {
	c := charge.customer
	if c.plan.Rate <= 0 {
		return true
	}
	m.refreshLease(c)
	c.lease.demandRate += charge.units
	missing := charge.units - c.lease.tokens
	if c.lease.tokens < charge.units && c.uncontestedTokens(m.host.Now()) >= missing {
		c.extendLease(missing)
	}
	charge.leaseCharged = c.lease.tokens >= charge.units-roundingTolerance
	if charge.leaseCharged {
		c.lease.tokens -= charge.units
	}
	if charge.leaseCharged && c.hasCentralBucket {
		c.unreportedUnits += charge.units
	}
	m.renewLease(c)
	return charge.leaseCharged
}

// leaseSize returns the units of a full lease: the demand for some time ahead, at least two units and the
// largest request, and at most the gateway's share of the burst.
func (m *Manager) leaseSize(c *customer) float64 {
	return min(max(c.lease.demandRate*leaseDemandSeconds, 2*max(1, m.config.MaxUnits/2)), c.burstShare())
}

// renewLease calls the counter for the next lease if at most half of the current one is left.
func (m *Manager) renewLease(c *customer) {
	size := m.leaseSize(c)
	if c.lease.tokens > size/2 {
		return
	}
	available := c.availableTokens(m.host.Now()) / float64(c.gatewaySpan)
	m.requestLease(c, max(0, min(size-c.lease.tokens, available)))
}
