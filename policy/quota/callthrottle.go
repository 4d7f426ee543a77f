package quota

import (
	"time"

	"lemontack/policy/model"
)

const (
	// minCallShare is the share of requests that always call the counter, to notice its recovery.
	minCallShare = 0.05
	// minHealthyCallShare is the share of requests below which the counter counts as unavailable.
	minHealthyCallShare = 0.3
	// spareCallShare is the share of requests from which on the counter has spare calls.
	spareCallShare = 0.99
	// callShareFactorOnFailure is the multiplicative decrease by a failed call, the work of which is wasted.
	callShareFactorOnFailure = 0.7
	// callShareFactorOnDelay is the multiplicative decrease by a slow call: the counter's queue grows long
	// before calls fail.
	callShareFactorOnDelay = 0.9
	// callShareIncrease is the additive increase by a fast call. It is small, since all gateways see that the
	// counter is fast at the same time.
	callShareIncrease = 0.01
)

// callThrottle adapts the share of the requests with central buckets or permits that call the counter to what
// the counter can take, by AIMD. All gateways share the counter, so its delay shows the sum of their calls.
type callThrottle struct {
	callShare float64
	timeout   time.Duration // of a call
}

func newCallThrottle(timeout time.Duration) callThrottle {
	return callThrottle{callShare: 1, timeout: timeout}
}

// adapt takes the outcome and the delay of a call.
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

// counterIsHealthy reports whether the counter replies to enough calls for ceilings to rely on its grants.
func (throttle *callThrottle) counterIsHealthy() bool {
	return throttle.callShare >= minHealthyCallShare
}

// hasSpareCalls reports whether nearly all requests call the counter.
func (throttle *callThrottle) hasSpareCalls() bool { return throttle.callShare >= spareCallShare }

// shouldClaimTokens decides whether a request of a central bucket calls the counter. Where over-quota
// requests gain more than they cost, a guess does nearly as well as a call, so that these leave the calls to
// others first.
func (m *Manager) shouldClaimTokens(charge *Charge) bool {
	switch {
	case !m.config.HasSharedCounter:
		return false
	case !charge.customer.hasCeiling() && charge.plan.OverQuotaWeight > charge.plan.OverQuotaCost:
		return m.rng.Float64() <= 2*m.throttle.callShare-1
	}
	return m.rng.Float64() <= m.throttle.callShare
}

// shouldCallForPermit decides whether a request calls the counter for a permit. Where calls are scarce, the
// probability is in proportion to the weight that a wrong guess would lose; a customer with a rate needs its
// calls for that.
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
