package quota

import "lemontack/policy/model"

const (
	// grantGain is the weight of one reply of the counter in the averages of a plan.
	grantGain = 0.05
	// customerGrantGain is the weight of one reply about a customer's permits in the averages of that
	// customer.
	customerGrantGain = 0.2
	// priorFirstTryGrantShare is the share of first tries that are inside their quotas, before the first reply.
	priorFirstTryGrantShare = 0.8
	// priorRetryGrantShare is the share of clients' retries that are inside their quotas, before the first
	// reply.
	priorRetryGrantShare = 0.5
	// minCustomerSamples is the number of replies from which on a customer is judged by its own averages.
	minCustomerSamples = 4
)

// planState is a plan, and the averages of the counter's replies for its customers.
type planState struct {
	model.Plan
	bucketGrants *grantEstimate // of central buckets
	permitGrants *grantEstimate // of permits
}

func newPlanState(plan model.Plan) *planState {
	return &planState{
		Plan:         plan,
		bucketGrants: newGrantEstimate(),
		permitGrants: newGrantEstimate(),
	}
}

// grantEstimate estimates how often requests are inside a quota, from the counter's replies.
type grantEstimate struct {
	firstTryGrantShare float64 // share of first tries that were granted
	retryGrantShare    float64 // share of clients' retries that were granted
	calledShare        float64 // share of the requests that called the counter: its totals lack the others
}

func newGrantEstimate() *grantEstimate {
	return &grantEstimate{firstTryGrantShare: priorFirstTryGrantShare, retryGrantShare: priorRetryGrantShare, calledShare: 1}
}

// grantProbability returns the average that estimates the probability that a request is inside its quota.
func (estimate *grantEstimate) grantProbability(charge *Charge) *float64 {
	if charge.isRetry {
		return &estimate.retryGrantShare
	}
	return &estimate.firstTryGrantShare
}

// updateShare adds one observation to a share, an exponential moving average.
func updateShare(share *float64, observed bool, weight float64) {
	*share -= weight * *share
	if observed {
		*share += weight
	}
}

// recordPermitReply adds a reply of the counter to the averages of the customer and, as long as the customer is
// new, to those of its plan: a few customers that are always over their limit would otherwise dominate the
// plan.
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

// permitProbability estimates the probability that a permit is free for a request that acquires one.
func (c *customer) permitProbability(charge *Charge) float64 {
	return 1 - c.permitDenialProbability(charge)
}

// permitProbabilityWithoutCall estimates the same for a request that does not call the counter. The counter
// holds only the permits that were acquired, so the requests that did not call it are added in proportion.
func (c *customer) permitProbabilityWithoutCall(charge *Charge) float64 {
	return 1 - c.permitDenialProbability(charge)/max(c.plan.permitGrants.calledShare, minCallShare)
}

func (c *customer) permitDenialProbability(charge *Charge) float64 {
	if c.permits.samples >= minCustomerSamples {
		return 1 - *c.permits.grantProbability(charge)
	}
	return 1 - *c.plan.permitGrants.grantProbability(charge)
}

// worthAdmitting reports whether admitting a request that is inside its quota with a given probability gains
// more than it costs.
func worthAdmitting(charge *Charge, probability float64) bool {
	return probability >= (1-probability)*(charge.plan.OverQuotaCost-charge.plan.OverQuotaWeight)
}
