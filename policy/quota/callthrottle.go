package quota

import (
	"time"

	"lemontack/policy/model"
)

const (
	// minCallShare is the minimum share of requests that call the counter, so that its recovery is noticed.
	minCallShare = 0.05
	// minHealthyCallShare is the share of requests calling the counter below which the counter counts as
	// unavailable.
	minHealthyCallShare = 0.3
	// spareCallShare is the minimum share of requests calling the counter at which the counter has spare
	// calls.
	spareCallShare = 0.99
	// callShareFactorOnFailure is the multiplicative decrease after a failed call, whose work is wasted.
	callShareFactorOnFailure = 0.7
	// callShareFactorOnDelay is the multiplicative decrease after a slow call: the counter's queue grows
	// long before calls fail.
	callShareFactorOnDelay = 0.9
	// callShareIncrease is the additive increase after a fast call. It is small, since all gateways
	// increase their shares at the same time.
	callShareIncrease = 0.01
)

// callThrottle controls, by AIMD, which share of the requests with central buckets or permits calls the
// counter. All gateways share the counter, so its delay reflects the sum of their calls.
type callThrottle struct {
	callShare float64       // share of the requests that call the counter
	timeout   time.Duration // timeout of a call
}

func newCallThrottle(timeout time.Duration) callThrottle {
	return callThrottle{callShare: 1, timeout: timeout}
}

// adapt adjusts the share of calls to the outcome and the delay of a call.
func (throttle *callThrottle) adapt(outcome model.Outcome, delay time.Duration) {
	switch {
	case outcome == model.Failed: // an error reply is no sign of load
	case outcome != model.Succeeded:
		throttle.callShare = max(minCallShare, throttle.callShare*callShareFactorOnFailure)
	case delay > throttle.timeout/2:
		throttle.callShare = max(minCallShare, throttle.callShare*callShareFactorOnDelay)
	default:
		throttle.callShare = min(1, throttle.callShare+callShareIncrease/throttle.callShare)
	}
}

// counterIsHealthy reports whether enough requests call the counter for ceilings to rely on its grants.
func (throttle *callThrottle) counterIsHealthy() bool {
	return throttle.callShare >= minHealthyCallShare
}

// hasSpareCalls reports whether nearly all requests call the counter.
func (throttle *callThrottle) hasSpareCalls() bool { return throttle.callShare >= spareCallShare }

// shouldClaimTokens decides at random whether a request with a central bucket calls the counter. If an
// over-quota request of its plan gains more than it costs, an estimate is nearly as good as a call; the
// probability of a call for such requests therefore decreases first.
func (m *Manager) shouldClaimTokens(charge *Charge) bool {
	switch {
	case !m.config.HasSharedCounter:
		return false
	case !charge.customer.hasCeiling() && charge.plan.OverQuotaWeight > charge.plan.OverQuotaCost:
		return m.rng.Float64() <= 2*m.throttle.callShare-1
	}
	return m.rng.Float64() <= m.throttle.callShare
}

// shouldCallForPermit decides whether a request calls the counter for a permit. If calls are scarce, the
// probability is proportional to the expected loss of weight by a wrong decision without a call. A customer
// with a rate then needs its calls for the rate, and makes none for permits.
func (m *Manager) shouldCallForPermit(charge *Charge) bool {
	probability := charge.customer.permitProbability(charge)
	costOfAdmitting := (1 - probability) * max(0, charge.plan.OverQuotaCost-charge.plan.OverQuotaWeight)
	lossShare := min(probability, costOfAdmitting)
	expectedLoss := charge.units * charge.plan.Price * charge.priorityWeight * lossShare
	m.meanPermitLoss += grantGain * (expectedLoss - m.meanPermitLoss)
	if charge.plan.Rate > 0 || m.throttle.hasSpareCalls() {
		return m.throttle.hasSpareCalls()
	}
	return m.rng.Float64()*m.meanPermitLoss <= m.throttle.callShare*expectedLoss
}
