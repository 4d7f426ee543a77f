package quota

import (
	"math"
	"time"

	"lemontack/policy/model"
)

const (
	// leaseDemandSeconds is the customer's demand that a lease covers, in seconds.
	leaseDemandSeconds = 0.6
	// exhaustedCallInterval is the time between two calls for a customer whose tokens are used up.
	exhaustedCallInterval = 250 * time.Millisecond
	// callsPerCounterTimeout bounds the calls for one customer's leases in one counter timeout.
	callsPerCounterTimeout = 8
	// maxBackoffDoublings bounds the backoff after failed calls in a row, in doublings of the counter
	// timeout.
	maxBackoffDoublings = 4
	// minReplyInterval is the shortest time between two totals that a usage rate is computed over, in
	// seconds.
	minReplyInterval = 0.01
	// usageRateDecay is the rate at which older usage loses its weight in the remote usage rate, per second.
	usageRateDecay = 2.0
	// roundingTolerance is the units that a lease may lack of a request by rounding.
	roundingTolerance = 1e-9
	// minRate bounds the wait for a refill at a tiny rate, in units a second.
	minRate = 0.01
)

// lease is the part of the customer's rate that this gateway may spend without a call of the counter, and its
// estimate of the customer's token bucket. The bucket fills at the rate up to the burst; the estimate follows
// the totals of the counter, and takes usage between two totals as spread evenly over the time.
type lease struct {
	tokens          float64       // units left, which this gateway may spend
	estimatedTokens float64       // level of the token bucket in units, without all known leases
	estimatedAt     time.Duration // time of estimatedTokens
	refreshedAt     time.Duration // up to when tokens and demandRate are computed
	demandRate      float64       // units a second that requests at this gateway ask for
	remoteUsageRate float64       // units a second that the other gateways use
	callInFlight    bool          // a call for a lease waits for its reply
	counterSilent   bool          // the counter does not reply: the lease grows with time instead
	pendingAdd      float64       // units that the call in flight adds
	pendingTokens   float64       // units of the new lease in pendingAdd
	lastTotal       float64       // last total of the name in the present window
	lastReplyAt     time.Duration // time of the last total; 0: there was none
	nextCallAt      time.Duration // no call for a lease before it
}

// newLease returns the first lease of a customer, its share of the burst. It is granted without a call, and
// lets one more request in before the first total.
func (m *Manager) newLease(c *customer) lease {
	now := m.host.Now()
	tokens := c.burstShare()
	return lease{
		tokens:          tokens,
		estimatedTokens: max(0, m.config.MaxUnits-tokens, 1-tokens),
		estimatedAt:     now,
		refreshedAt:     now,
		counterSilent:   !m.config.SharedCounter,
	}
}

// refreshLease computes the demand up to now, and the lease where it grows by time.
func (m *Manager) refreshLease(c *customer) {
	now := m.host.Now()
	elapsed := (now - c.lease.refreshedAt).Seconds()
	c.lease.refreshedAt = now
	c.lease.demandRate *= math.Exp(-elapsed)
	switch {
	case c.central: // the local bucket; only what is spent from it is reported
		c.lease.tokens += min(c.rateShare()*elapsed, m.leaseHeadroom(c))
	case c.lease.counterSilent:
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
	c.unreported += units
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
	if c.lease.counterSilent {
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
	if charge.leaseCharged && c.central {
		c.unreported += charge.units
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
	m.callForLease(c, max(0, min(size-c.lease.tokens, available)))
}

// callForLease calls the counter to add unreported units and a new lease. At most one such call of a customer
// is in flight.
func (m *Manager) callForLease(c *customer, leaseTokens float64) {
	now := m.host.Now()
	if !m.config.SharedCounter || c.central || c.lease.callInFlight || now < c.lease.nextCallAt {
		return
	}
	if window := c.windowAt(now, counterWindowLength); window != c.counterWindow {
		c.counterWindow = window
		c.lease.lastTotal = 0
	}
	c.lease.callInFlight = true
	c.lease.pendingAdd = c.unreported + leaseTokens
	c.lease.pendingTokens = leaseTokens
	c.unreported = 0
	m.host.CallCounter(Call{Name: c.bucketName(), Add: c.lease.pendingAdd, TTL: maxCounterNameTTL})
}

// handleLeaseReply takes the reply to a call for a lease.
func (m *Manager) handleLeaseReply(c *customer, reply Reply) {
	c.lease.callInFlight = false
	m.refreshLease(c)
	if reply.Outcome != model.Succeeded {
		m.handleLeaseFailure(c, reply.Outcome)
		return
	}
	m.counterFailures = 0
	c.lease.counterSilent = false
	c.recordTotal(reply.Total, m.host.Now())
	c.extendLease(max(0, min(c.lease.pendingTokens, c.lease.estimatedTokens/float64(c.gatewaySpan))))
	c.unreported -= c.lease.pendingTokens // it is in the total already
	m.scheduleNextCall(c)
}

// recordTotal updates the estimate of the token bucket: what other gateways have added since the last total
// is usage.
func (c *customer) recordTotal(total float64, now time.Duration) {
	remoteUsage := total - c.lease.pendingAdd - c.lease.lastTotal
	if remoteUsage < -c.plan.Burst {
		remoteUsage = 0 // the counter has lost its numbers: the total says nothing new
	}
	if c.lease.lastReplyAt == 0 { // the first total holds all usage since its window began
		c.lease.estimatedAt = time.Duration(c.counterWindow)*counterWindowLength - c.windowOffset
		unused := c.plan.Burst - c.lease.lastTotal - c.lease.pendingAdd
		c.lease.estimatedTokens = unused + c.lease.pendingTokens - c.unreported
	} else {
		c.recordRemoteUsage(remoteUsage, now)
	}
	refilled := c.plan.Rate * (now - c.lease.estimatedAt).Seconds()
	tokens := min(c.maxTokens(), c.lease.estimatedTokens+refilled-remoteUsage)
	// Over-quota requests take no tokens from the true bucket, so the estimated deficit is bounded.
	c.lease.estimatedTokens = max(-c.plan.Burst/2, tokens)
	c.lease.estimatedAt = now
	c.lease.lastTotal = total
	c.lease.lastReplyAt = now
}

// recordRemoteUsage updates the rate at which the other gateways use units, an exponential moving average.
func (c *customer) recordRemoteUsage(usage float64, now time.Duration) {
	elapsed := max((now - c.lease.lastReplyAt).Seconds(), minReplyInterval)
	weight := 1 - math.Exp(-usageRateDecay*elapsed)
	c.lease.remoteUsageRate += (max(0, usage)/elapsed - c.lease.remoteUsageRate) * weight
}

// scheduleNextCall sets when the next call for a lease may follow a reply.
func (m *Manager) scheduleNextCall(c *customer) {
	interval := m.config.CounterTimeout / callsPerCounterTimeout
	if c.lease.tokens < 1 {
		interval = exhaustedCallInterval
	}
	c.lease.nextCallAt = m.host.Now() + interval
}

// handleLeaseFailure takes the failure of a call for a lease. Until the next total the lease grows at the
// gateway's share of the rate, and calls back off exponentially with jitter. An error reply is no silence:
// the amount was added, and the next total will include it.
func (m *Manager) handleLeaseFailure(c *customer, outcome model.Outcome) {
	now := m.host.Now()
	if outcome == model.Failed {
		c.lease.lastTotal += c.lease.pendingAdd
		c.unreported -= c.lease.pendingTokens
		c.lease.nextCallAt = now
		return
	}
	if outcome.NotExecuted() { // else it may have been added, and then looks like remote usage once
		c.unreported += c.lease.pendingAdd - c.lease.pendingTokens
	}
	m.counterFailures++
	if !c.lease.counterSilent {
		c.extendLease(max(0, c.availableTokens(now)) / float64(c.gatewaySpan))
		c.lease.counterSilent = true
	}
	backoff := m.config.CounterTimeout << min(m.counterFailures, maxBackoffDoublings)
	jitter := time.Duration(m.rng.Int64N(int64(backoff)))
	c.lease.nextCallAt = now + backoff + jitter
}
