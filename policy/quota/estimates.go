package quota

import (
	"time"

	"lemontack/policy/model"
)

const (
	// grantGain is the weight of one observation in the moving averages of a plan and in
	// Manager.meanPermitLoss.
	grantGain = 0.05
	// customerGrantGain is the weight of one reply about a customer's permits in the moving averages of
	// that customer.
	customerGrantGain = 0.2
	// priorFirstTryGrantShare is the assumed share of first tries that are within their quotas, before the
	// first reply.
	priorFirstTryGrantShare = 0.8
	// priorRetryGrantShare is the assumed share of clients' retries that are within their quotas, before
	// the first reply.
	priorRetryGrantShare = 0.5
	// minCustomerSamples is the number of replies needed to use a customer's own averages instead of those
	// of its plan.
	minCustomerSamples = 4
)

// planState is a plan with the moving averages of the counter's replies for its customers.
type planState struct {
	model.Plan
	bucketGrants *grantEstimate // grants of tokens to customers without a ceiling
	permitGrants *grantEstimate // grants of permits in each customer's first minCustomerSamples replies
	// ceilingDebtUntil is the time until which the ceiling of a customer that was evicted early is exceeded.
	// The ceilings of new customers are taken to be exceeded until then, since one of them may be the same.
	ceilingDebtUntil time.Duration
}

func newPlanState(plan model.Plan) *planState {
	return &planState{
		Plan:         plan,
		bucketGrants: newGrantEstimate(),
		permitGrants: newGrantEstimate(),
	}
}

// grantEstimate estimates, from the counter's replies, how often requests are within a quota.
type grantEstimate struct {
	firstTryGrantShare float64 // share of first tries that were granted
	retryGrantShare    float64 // share of clients' retries that were granted
	calledShare        float64 // share of requests that called the counter; totals exclude all others
}

func newGrantEstimate() *grantEstimate {
	return &grantEstimate{
		firstTryGrantShare: priorFirstTryGrantShare,
		retryGrantShare:    priorRetryGrantShare,
		calledShare:        1,
	}
}

// grantProbability returns a pointer to the average that estimates the probability that a request is within
// its quota.
func (estimate *grantEstimate) grantProbability(charge *Charge) *float64 {
	if charge.isRetry {
		return &estimate.retryGrantShare
	}
	return &estimate.firstTryGrantShare
}

// updateShare adds one observation to a share that is an exponential moving average.
func updateShare(share *float64, observed bool, weight float64) {
	*share -= weight * *share
	if observed {
		*share += weight
	}
}

// recordPermitReply adds a reply of the counter to the averages of the customer. While the customer is new,
// it also adds the reply to the averages of the plan; later replies are left out, since a few customers
// that are always over their limit would otherwise dominate the plan.
func (c *customer) recordPermitReply(charge *Charge, granted bool) {
	own, plan := &c.permits, c.plan.permitGrants
	if own.samples == 0 {
		own.firstTryGrantShare = plan.firstTryGrantShare
		own.retryGrantShare = plan.retryGrantShare
	}
	if own.samples < minCustomerSamples {
		updateShare(plan.grantProbability(charge), granted, grantGain)
	}
	own.samples++
	updateShare(own.grantProbability(charge), granted, customerGrantGain)
}

// permitProbability estimates the probability that a permit is free for a request that calls the counter.
func (c *customer) permitProbability(charge *Charge) float64 {
	return 1 - c.permitDenialProbability(charge)
}

// permitProbabilityWithoutCall estimates the same probability for a request that does not call the counter.
// The counter's total lacks the attempts of requests that made no call, so the probability of a denial is
// scaled up by their share.
func (c *customer) permitProbabilityWithoutCall(charge *Charge) float64 {
	return 1 - c.permitDenialProbability(charge)/max(c.plan.permitGrants.calledShare, minCallShare)
}

func (c *customer) permitDenialProbability(charge *Charge) float64 {
	if c.permits.samples >= minCustomerSamples {
		return 1 - *c.permits.grantProbability(charge)
	}
	return 1 - *c.plan.permitGrants.grantProbability(charge)
}

// worthAdmitting reports whether the expected gain of admitting a request is at least its expected cost,
// given the probability that it is within its quota.
func worthAdmitting(charge *Charge, probability float64) bool {
	return probability >= (1-probability)*(charge.plan.OverQuotaCost-charge.plan.OverQuotaWeight)
}
