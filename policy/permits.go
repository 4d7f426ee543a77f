package policy

import "time"

const spareShare = 0.99 // share that asks, from which on the counter has calls to spare

// shared says whether the limit is held by permits: where it has an attempt for each gateway it is split.
func (g *Gateway) shared(c *customer) bool { return g.set.Counter && c.spread > c.plan.Open }

// askPermit lets a request that is inside its rate in, if its customer has an attempt to spare.
func (g *Gateway) askPermit(r *request) {
	c := r.cust
	switch {
	case g.now < c.permits.fullUntil:
		g.refuse(r, c.permits.fullUntil-g.now)
	case g.shared(c) && g.asksPermit(r):
		learn(&c.plan.permits.asked, true, evidenceWeight)
		g.callPermits(c, counterCall{name: g.permitName(c), r: r, claim: 1})
	default:
		learn(&c.plan.permits.asked, false, evidenceWeight)
		g.withoutPermit(r)
	}
}

// asksPermit says whether the counter is asked. Where calls are short they go to the requests for which a
// wrong guess would cost most; beside a rate, that rate's own calls go first.
func (g *Gateway) asksPermit(r *request) bool {
	chance := r.cust.permitChance(r, false)
	wrong := min(chance, (1-chance)*max(0, r.plan.ExcessCost-r.plan.ExcessWorth))
	stake := r.Units * r.plan.Price * r.class.Worth * wrong
	g.meanStake += evidenceWeight * (stake - g.meanStake)
	if r.plan.Rate > 0 || g.askShare >= spareShare {
		return g.askShare >= spareShare
	}
	return g.rng.Float64()*g.meanStake <= g.askShare*stake
}

// withoutPermit decides by what is known of the plan and by this gateway's share (mayGo). Beside a rate,
// which holds most, by that share alone.
func (g *Gateway) withoutPermit(r *request) {
	if r.plan.Rate <= 0 && g.shared(r.cust) && !worthGuessing(r, r.cust.permitChance(r, true)) {
		g.refuse(r, g.meanTime())
		return
	}
	g.admitted(r)
}

// permitAnswered takes the answer to a call on a permit name; a counter that came back empty is put right.
func (g *Gateway) permitAnswered(c *customer, call counterCall, ev CountReply) {
	present := call.name == g.permitName(c)
	if ev.Outcome.NeverRan() {
		if present {
			c.permits.held -= int(call.claim + call.owed)
			c.permits.owed += int(call.owed)
		}
		call.claim = 0
	}
	missing := float64(c.permits.held) - ev.Total
	if ev.Outcome == Done && present && missing > 0 && !c.out(call.name) {
		g.callFor(c, counterCall{name: call.name, owed: missing}, g.permitSpan())
	}
	r := call.r
	if r == nil {
		return
	}
	r.permits, r.permitName = int(call.claim), call.name
	granted := ev.Total <= float64(r.plan.Open)
	switch {
	case r.final:
	case ev.Outcome != Done:
		g.withoutPermit(r)
	case granted:
		g.admitted(r)
	default:
		c.permits.fullUntil = g.now + g.meanTime()/time.Duration(r.plan.Open)
		g.refuse(r, g.meanTime())
	}
	if ev.Outcome == Done {
		c.learnPermit(r, granted)
	}
	g.releasePermits(r)
}

// releasePermits takes off what a request holds beyond its attempts; one that may still be sent keeps one.
func (g *Gateway) releasePermits(r *request) {
	keep := r.outs
	if !r.final {
		keep = max(keep, 1)
	}
	if r.permits > keep {
		g.setPermits(r, keep)
	}
}

// setPermits tells the counter how many a request holds now: fewer, or more for a further attempt.
func (g *Gateway) setPermits(r *request, n int) {
	g.callPermits(r.cust, counterCall{name: r.permitName, owed: float64(n - r.permits)})
	r.permits = n
}
