package policy

import "time"

const (
	askDown   = 0.7  // a call that waits too long is work for nothing
	askLess   = 0.9  // the counter's line grows: long before calls are lost
	askMore   = 0.01 // gentle: all gateways find the counter free at the same time
	overflow  = 0.5  // of the burst: a store that shows so much more than it holds is put right
	zeroUnits = 1e-6 // less is rounding: totals have seven digits
)

// worthGuessing says whether a request that is inside its quota with this chance earns more than it costs.
func worthGuessing(r *request, chance float64) bool {
	return chance >= (1-chance)*(r.plan.ExcessCost-r.plan.ExcessWorth)
}

// ceiled says whether the customer has a ceiling: windows of its name then grant no more than a burst.
func (c *customer) ceiled() bool { return c.plan.CeilingRate > 0 }

// openCentral prepares a customer with a central bucket. Its local bucket starts with any part of a large
// request, so that all gateways together let in their shares from the first moment on.
func (g *Gateway) openCentral(c *customer) {
	c.silent, c.bucket.span, c.owed = true, epochLength, 0
	if c.ceiled() {
		c.bucket.span = time.Duration(c.plan.Burst / c.plan.Rate * float64(time.Second))
	}
	c.bucket.credit = g.rng.Float64() * max(1, g.set.MaxUnits)
	if !g.set.Counter { // for good: up to two of the smallest requests, the first block in it
		c.bucket.credit = max(0, g.rng.Float64()*max(2, g.set.MaxUnits)-c.block)
	}
}

// unasked decides without the counter, by the local bucket.
func (g *Gateway) unasked(r *request) bool {
	r.cust.block += r.cust.bucket.credit
	r.cust.bucket.credit = 0
	guessed := g.set.Counter || r.Again
	if guessed && !r.cust.ceiled() && !worthGuessing(r, *r.plan.stores.chance(r)) {
		return false
	}
	return g.admit(r)
}

// ask claims one request's units as it comes, or lets the local bucket decide.
func (g *Gateway) ask(r *request) {
	c := r.cust
	switch {
	case !c.central:
		g.settle(r, g.admit(r))
	case c.bucket.reserved >= r.Units && g.now >= c.bucket.matures:
		c.bucket.reserved -= r.Units
		r.leased = true
		g.settle(r, true)
	case g.now < c.bucket.refusedUntil:
		g.settle(r, false)
	case c.ceiled() && g.askShare >= counterLost, g.asks(r):
		g.claimUnits(r)
	default:
		g.settle(r, g.unasked(r))
	}
}

// asks says whether the counter is asked. Where going beyond costs nothing a guess does nearly as well.
func (g *Gateway) asks(r *request) bool {
	switch {
	case !g.set.Counter:
		return false
	case !r.cust.ceiled() && r.plan.ExcessWorth > r.plan.ExcessCost:
		return g.rng.Float64() <= 2*g.askShare-1
	}
	return g.rng.Float64() <= g.askShare
}

// claimUnits asks the counter for a request's units, and tells it what is owed.
func (g *Gateway) claimUnits(r *request) {
	c := r.cust
	call := counterCall{r: r, claim: r.Units}
	if !c.ceiled() {
		call.owed, c.owed = c.owed, 0
	}
	g.callStore(c, call)
}

// answered settles the request that asked first for the name.
func (g *Gateway) answered(c *customer, ev CountReply) {
	call, ok := c.take(ev.Name)
	if !ok {
		return
	}
	g.pace(ev.Outcome, g.now-call.at)
	if isPermitName(call.name) {
		g.permitAnswered(c, call, ev)
		return
	}
	r := call.r
	switch {
	case ev.Outcome.NeverRan(): // what was owed is owed still
		c.owed += call.owed
	case ev.Outcome != Done && !c.ceiled(): // added, most likely, but its store is unknown
		c.owed -= call.claim
	}
	switch {
	case r == nil && ev.Outcome == Done:
		g.corrected(c, call, ev.Total)
	case r == nil:
	case r.final && ev.Outcome == Done && !c.ceiled(): // its client has left
		r.leased = g.stored(call, ev.Total)
		g.takeBack(r)
	case r.final:
	case ev.Outcome != Done:
		g.settle(r, g.unasked(r))
	case c.ceiled():
		g.settle(r, g.grant(r, ev.Total, call.name))
	default:
		r.leased = g.stored(call, ev.Total)
		learn(r.plan.stores.chance(r), r.leased, evidenceWeight)
		g.settle(r, r.leased)
	}
}

// pace is AIMD on the share that asks: all gateways share the counter, and its delay tells of their sum.
func (g *Gateway) pace(o Outcome, took time.Duration) {
	switch {
	case o == Failed: // spoilt: no sign of a line
	case o != Done:
		g.askShare = max(leastAsked, g.askShare*askDown)
	case took > g.set.CounterTimeout/2:
		g.askShare = max(leastAsked, g.askShare*askLess)
	default:
		g.askShare = min(1, g.askShare+askMore/g.askShare)
	}
}

// grant holds the window of a customer with a ceiling to its burst; the ends of two windows may meet in one
// moment.
func (g *Gateway) grant(r *request, total float64, name string) bool {
	c := r.cust
	most := min(c.plan.Burst, c.plan.CeilingBurst/2)
	inside := total <= max(most, r.Units)
	r.granted = inside && g.askShare >= counterLost
	if inside {
		c.block = max(0, c.block-r.Units)
	} else if name == c.name() && total > most+r.Units {
		c.bucket.refusedUntil = time.Duration(c.epoch+1)*c.bucket.span - c.offset
	}
	return inside
}

// stored says whether the bucket held the request's units before it asked, and puts the name right: where the
// bucket has run over, where its window has just begun, and where a claim is too far off to be reserved.
func (g *Gateway) stored(call counterCall, total float64) bool {
	r := call.r
	c := r.cust
	epoch := int64((call.at + c.offset) / c.bucket.span)
	filled, before, amend := g.filled(c, epoch), total-call.claim, 0.0
	level := c.plan.Burst + filled - before
	switch {
	case before-call.owed < zeroUnits: // the first of this window, or of a counter that came back empty
		level, amend = c.plan.Burst, filled
		g.readLastWindow(c, epoch)
	case level > c.plan.Burst*(1+overflow):
		amend = level - c.plan.Burst
	}
	c.level = min(level, c.plan.Burst)
	inside := c.level >= min(r.Units, c.plan.Burst)
	if !inside {
		missing := r.Units - c.level
		c.bucket.refusedUntil = g.now + time.Duration(missing/c.plan.Rate*float64(time.Second))
		if !g.reserve(c, call) {
			amend -= call.claim
		}
	}
	if amend != 0 {
		g.callFor(c, counterCall{name: call.name, owed: amend, seen: total}, c.bucket.span)
	}
	return inside
}

// reserve keeps a claim that found the bucket short, if its units fill in before a repeat may come.
func (g *Gateway) reserve(c *customer, call counterCall) bool {
	if call.r.final || c.bucket.reserved >= call.claim || c.bucket.refusedUntil > g.now+g.set.MaxRetryAfter {
		return false
	}
	c.bucket.reserved += call.claim
	c.bucket.matures = c.bucket.refusedUntil
	return true
}

// tellUnused returns what was reserved for a repeat that has not come.
func (g *Gateway) tellUnused(c *customer) {
	if c.bucket.reserved > 0 && g.now > c.bucket.matures+g.longAim {
		c.owed -= c.bucket.reserved
		c.bucket.reserved = 0
		g.tellOwed(c)
	}
}
