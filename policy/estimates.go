package policy

import (
	"math"
	"time"
)

// This file estimates: how long answers of a class take, and, from the counter's answers, how often requests of a
// plan are inside their quotas. What follows from an estimate is decided elsewhere.

const (
	latencyWeight  = 0.02 // of one answer of a server
	evidenceWeight = 0.05 // of one answer of the counter
	priorFirst     = 0.8  // share of first tries inside quotas, before the counter has told
	priorRepeat    = 0.5  // the same of repeats
	ownWeight      = 0.2  // of one answer about a customer's permits, for that customer
	ownAnswers     = 4    // from so many on a customer is judged by its own
)

// class is a class, with how long its answers take.
type class struct {
	Class
	mean, dev float64 // latency of answers, seconds
	good, bad int     // timely and untimely ends in this round
}

// takes is the latency to reckon with: the mean, and so many mean deviations more.
func (c *class) takes(devs float64) time.Duration {
	return time.Duration((c.mean + devs*c.dev) * float64(time.Second))
}

// learn takes one latency in, in seconds.
func (c *class) learn(latency float64) {
	c.dev += latencyWeight * (math.Abs(latency-c.mean) - c.dev)
	c.mean += latencyWeight * (latency - c.mean)
}

// plan is a plan, with what the counter's answers have shown of it.
type plan struct {
	Plan
	stores, permits *evidence
}

func newPlan(p Plan) *plan { return &plan{p, newEvidence(), newEvidence()} }

// evidence is what the counter's answers have shown of a plan.
type evidence struct {
	granted [2]float64 // share of the requests, of first tries and of repeats
	asked   float64    // share of the requests for which it was asked: it does not count the others
}

func newEvidence() *evidence { return &evidence{[2]float64{priorFirst, priorRepeat}, 1} }

// chance is the estimated probability that a request is inside its quota.
func (e *evidence) chance(r *request) *float64 {
	if r.Again {
		return &e.granted[1]
	}
	return &e.granted[0]
}

// learn moves a share towards what one more request has shown.
func learn(share *float64, seen bool, weight float64) {
	*share -= weight * *share
	if seen {
		*share += weight
	}
}

// learnPermit takes an answer of the counter in: as evidence of the customer and, while that is new here, of its plan. A
// few that always ask for more than they may would else stand for all of the plan.
func (c *customer) learnPermit(r *request, granted bool) {
	own, all := &c.permits, c.plan.permits
	if own.answers == 0 {
		own.granted = all.granted
	}
	if own.answers < ownAnswers {
		learn(all.chance(r), granted, evidenceWeight)
	}
	own.answers++
	learn(own.chance(r), granted, ownWeight)
}

// permitChance is the chance that a permit is free. The counter counts only those that it was asked for: without asking,
// the others have to be reckoned in.
func (c *customer) permitChance(r *request, unasked bool) float64 {
	lacking := 1 - *c.plan.permits.chance(r)
	if c.permits.answers >= ownAnswers {
		lacking = 1 - *c.permits.chance(r)
	}
	if unasked {
		lacking /= max(c.plan.permits.asked, leastAsked)
	}
	return 1 - lacking
}

// meanTime is the mean latency of answers.
func (g *Gateway) meanTime() time.Duration {
	return max(time.Duration(g.lag*float64(time.Second)), g.sweep)
}
