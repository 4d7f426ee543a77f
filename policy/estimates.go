package policy

import "time"

// This file estimates, from the counter's answers, how often requests of a plan are inside their quotas. What follows from
// an estimate is decided elsewhere.

const (
	grantGain          = 0.05 // of one answer of the counter
	priorGrantedFirst  = 0.8  // share of first tries inside quotas, before the counter has told
	priorGrantedRetry  = 0.5  // the same of repeats
	customerGrantGain  = 0.2  // of one answer about a customer's permits, for that customer
	minCustomerSamples = 4    // from so many on a customer is judged by its own
)

// planState is a plan, with what the counter's answers have shown of it.
type planState struct {
	Plan
	bucketGrants, permitGrants *grantEstimate
}

func newPlanState(p Plan) *planState { return &planState{p, newGrantEstimate(), newGrantEstimate()} }

// grantEstimate is what the counter's answers have shown of a plan.
type grantEstimate struct {
	granted    [2]float64 // share of the requests, of first tries and of repeats
	askedShare float64    // share of the requests for which it was asked: it does not count the others
}

func newGrantEstimate() *grantEstimate {
	return &grantEstimate{[2]float64{priorGrantedFirst, priorGrantedRetry}, 1}
}

// grantProbability is the estimated probability that a request is inside its quota.
func (e *grantEstimate) grantProbability(r *request) *float64 {
	if r.IsRetry {
		return &e.granted[1]
	}
	return &e.granted[0]
}

// updateShare moves a share towards what one more request has shown.
func updateShare(share *float64, seen bool, weight float64) {
	*share -= weight * *share
	if seen {
		*share += weight
	}
}

// recordPermit takes an answer of the counter in: as evidence of the customer and, while that is new here, of its plan. A
// few that always ask for more than they may would else stand for all of the plan.
func (c *customer) recordPermit(r *request, granted bool) {
	own, all := &c.permits, c.plan.permitGrants
	if own.samples == 0 {
		own.granted = all.granted
	}
	if own.samples < minCustomerSamples {
		updateShare(all.grantProbability(r), granted, grantGain)
	}
	own.samples++
	updateShare(own.grantProbability(r), granted, customerGrantGain)
}

// permitProbability is the chance that a permit is free. The counter counts only those that it was asked for: without asking,
// the others have to be reckoned in.
func (c *customer) permitProbability(r *request, unasked bool) float64 {
	lacking := 1 - *c.plan.permitGrants.grantProbability(r)
	if c.permits.samples >= minCustomerSamples {
		lacking = 1 - *c.permits.grantProbability(r)
	}
	if unasked {
		lacking /= max(c.plan.permitGrants.askedShare, minCallShare)
	}
	return 1 - lacking
}

// meanAnswerTime is the mean latency of answers.
func (g *Gateway) meanAnswerTime() time.Duration {
	return max(g.latency.Duration(), g.tickInterval)
}
