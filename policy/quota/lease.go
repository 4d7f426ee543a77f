package quota

import (
	"math"
	"time"
)

const (
	// leaseDemandSeconds is the customer's demand that a lease covers, in seconds.
	leaseDemandSeconds = 0.6
	// roundingTolerance is the units that a lease may lack of a request by rounding.
	roundingTolerance = 1e-9
)

// lease is the part of the customer's rate that this gateway may spend without a call of the counter, and its
// estimate of the customer's token bucket. The bucket fills at the rate up to the burst; the estimate follows
// the totals of the counter, and takes usage between two totals as spread evenly over the time.
type lease struct {
	tokens              float64       // units left, which this gateway may spend
	estimatedTokens     float64       // level of the token bucket in units, without all known leases
	estimatedAt         time.Duration // time of estimatedTokens
	refreshedAt         time.Duration // up to when tokens and demandRate are computed
	demandRate          float64       // units a second that requests at this gateway ask for
	remoteUsageRate     float64       // units a second that the other gateways use
	callInFlight        bool          // a call for a lease waits for its reply
	counterUnresponsive bool          // the counter does not reply: the lease grows with time instead
	pendingAdd          float64       // units that the call in flight adds
	pendingTokens       float64       // units of the new lease in pendingAdd
	lastTotal           float64       // last total of the name in the present window
	lastReplyAt         time.Duration // time of the last total; 0: there was none
	nextCallAt          time.Duration // no call for a lease before it
}

// newLease returns the first lease of a customer, its share of the burst. It is granted without a call, and
// lets one more request in before the first total.
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

// refreshLease computes the demand up to now, and the lease where it grows by time.
func (m *Manager) refreshLease(c *customer) {
	now := m.host.Now()
	elapsed := (now - c.lease.refreshedAt).Seconds()
	c.lease.refreshedAt = now
	c.lease.demandRate *= math.Exp(-elapsed)
	switch {
	case c.hasCentralBucket: // the local bucket; only what is spent from it is reported
		c.lease.tokens += min(c.rateShare()*elapsed, m.leaseHeadroom(c))
	case c.lease.counterUnresponsive:
		c.extendLease(min(c.rateShare()*elapsed, m.leaseHeadroom(c)))
	}
}

// leaseHeadroom returns the units that the lease may still take: it holds the gateway's share of the burst,
// and at least the largest request.
func (m *Manager) leaseHeadroom(c *customer) float64 {
	return max(0, max(c.burstShare(), m.config.MaxUnits, 1)-c.lease.tokens)
}

// extendLease moves units from the estimated token bucket to the lease; the next call reports them.
func (c *customer) extendLease(units float64) {
	c.lease.tokens += units
	c.unreportedUnits += units
	c.lease.estimatedTokens -= units
}

// availableTokens returns the estimated level of the token bucket, in units.
func (c *customer) availableTokens(now time.Duration) float64 {
	return min(c.maxTokens(), c.lease.estimatedTokens+c.plan.Rate*(now-c.lease.estimatedAt).Seconds())
}

// maxTokens returns the level of a full token bucket. Leases are not in it: this gateway's, and half as much
// at each of the others.
func (c *customer) maxTokens() float64 {
	return max(0, c.plan.Burst-max(0, c.lease.tokens)*(1+float64(c.gatewaySpan-1)/2))
}

// uncontestedTokens returns the part of the available tokens that the other gateways will not have used.
func (c *customer) uncontestedTokens(now time.Duration) float64 {
	if c.lease.counterUnresponsive {
		return 0
	}
	remoteUsage := c.lease.remoteUsageRate * (now - c.lease.lastReplyAt).Seconds()
	totalRate := c.lease.demandRate + c.lease.remoteUsageRate
	return (c.availableTokens(now) - remoteUsage) * c.lease.demandRate / totalRate
}

// chargeLease takes the units of a request from the lease, which is first extended by uncontested tokens
// where it is too small. It reports whether the units were taken.
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

// leaseSize returns the units of a full lease: demand for some time ahead, at least one large request, and at
// most the gateway's share of the burst.
func (m *Manager) leaseSize(c *customer) float64 {
	return min(max(c.lease.demandRate*leaseDemandSeconds, 2*max(1, m.config.MaxUnits/2)), c.burstShare())
}

// renewLease calls the counter for the next lease once half of this one is spent.
func (m *Manager) renewLease(c *customer) {
	size := m.leaseSize(c)
	if c.lease.tokens > size/2 {
		return
	}
	available := c.availableTokens(m.host.Now()) / float64(c.gatewaySpan)
	m.requestLease(c, max(0, min(size-c.lease.tokens, available)))
}
