package logic

import (
	"slices"
	"time"
)

// A sparse customer comes through so many gateways that a block of its own for each would hold less than two
// requests, and most gateways see it too seldom to know its store. One call then leases for one request, on
// its path. The name keeps the whole store: what was leased, less what the rate has filled in since the
// window of the name began. A store that has run over shows more than it can hold; who sees that adds the
// difference.
//
// A large fleet has more requests than the counter bears calls, so a share of them asks, and adds for the
// others too. Those that do not ask go by the gateway's own block, which fills at its share of the rate.

const (
	askDown      = 0.7            // a call that waits too long is work for nothing
	askLess      = 0.9            // the counter's line grows: long before calls are lost
	askMore      = 0.01           // gentle: all gateways find the counter free at the same time
	mostStoodFor = 5.0            // requests that one call adds for, at most
	ownFillsIn   = nameKept       // an own block that fills a request in so long comes first
	ownPart      = 0.5            // of the rate then goes to the own blocks, the rest through the counter
	overflow     = 0.5            // of the burst: a store that shows so much more than it holds is put right
	restBursts   = 2.0            // fillings of the burst, before a refused gateway asks again
	counterGone  = 2 * leastAsked // share that asks, below which the own blocks get all of the rate
	zeroUnits    = 1e-6           // less is rounding: totals have seven digits
)

// ceiled says whether the customer has a ceiling: windows of its name then grant no more than a burst.
func (c *customer) ceiled() bool { return c.plan.CeilingRate > 0 }

// own says whether the gateway's own block comes first: its share of the rate fills a request often enough.
func (g *Gateway) own(c *customer) bool {
	return !c.ceiled() && c.plan.Rate/float64(c.spread)*ownFillsIn.Seconds() >= max(1, g.set.MaxUnits)
}

// through is the rate that goes through the counter.
func (g *Gateway) through(c *customer) float64 {
	if g.own(c) {
		return c.plan.Rate * (1 - ownPart)
	}
	return c.plan.Rate
}

// fills is the rate at which the own block fills, of a sparse customer or while the counter is silent.
func (g *Gateway) fills(c *customer) float64 {
	rate := c.plan.Rate / float64(c.spread)
	if c.sparse && g.own(c) && g.askShare > counterGone {
		rate *= ownPart
	}
	return rate
}

// openSparse prepares a sparse customer. What its own block holds besides the first share nobody knows: any
// part of a large request is as likely, so that all gateways together let in their shares from the first
// moment on.
func (g *Gateway) openSparse(c *customer) {
	c.silent, c.span = true, epochLength
	if c.ceiled() {
		c.span = time.Duration(c.plan.Burst / c.plan.Rate * float64(time.Second))
	}
	c.presumed = g.rng.Float64() * max(1, g.set.MaxUnits)
}

// unasked decides without the counter, by the own block; only then is the presumed part of it spent.
func (g *Gateway) unasked(r *request) bool {
	r.cust.block += r.cust.presumed
	r.cust.presumed = 0
	return g.admit(r)
}

// ask leases one request's units as it comes, or lets the own block decide.
func (g *Gateway) ask(r *request) {
	c := r.cust
	switch {
	case !c.sparse || g.own(c) && g.holds(r):
		g.settle(r, g.admit(r))
	case g.now < c.spent:
		g.settle(r, false)
	case c.ceiled() && g.askShare >= counterLost, g.rng.Float64() <= g.asks(r):
		g.callFor(r)
	default:
		g.settle(r, g.unasked(r))
	}
}

// holds says whether the block has the request's units.
func (g *Gateway) holds(r *request) bool {
	g.refresh(r.cust)
	return r.cust.block >= r.Units
}

// asks is the share of such requests that ask. A repeat has most likely been refused before, and where going
// beyond costs nothing, a guess does nearly as well.
func (g *Gateway) asks(r *request) float64 {
	switch {
	case r.cust.ceiled():
	case r.plan.ExcessWorth > r.plan.ExcessCost:
		return max(0, 2*g.askShare-1)
	case r.Again:
		return g.askShare * g.askShare
	}
	return g.askShare
}

// callFor asks the counter for a request.
func (g *Gateway) callFor(r *request) {
	c := r.cust
	c.epoch = int64((g.now + c.offset) / c.span)
	r.adds = r.Units
	if !c.ceiled() && !g.own(c) {
		r.adds *= min(mostStoodFor, 1/g.askShare)
	}
	g.callOf(r, c.name(), r.adds)
}

// callOf makes a call on a request's behalf; answers for one name come in the order of the calls.
func (g *Gateway) callOf(r *request, name string, add float64) {
	r.lease = name
	r.cust.asked = append(r.cust.asked, r)
	g.do(Count{Name: name, Add: add, Keep: min(2*r.cust.span, nameKept)})
}

// answered settles the request that asked first for the name.
func (g *Gateway) answered(c *customer, ev CountReply) {
	i := slices.IndexFunc(c.asked, func(r *request) bool { return r.lease == ev.Name })
	if i < 0 {
		return
	}
	r := c.asked[i]
	c.asked = slices.Delete(c.asked, i, i+1)
	g.pace(ev.Outcome, g.now-r.arrived)
	switch {
	case r.final && r.adds > 0 && ev.Outcome == Done && !c.ceiled(): // its client has left
		r.leased = g.stored(r, ev.Total)
		g.takeBack(r)
	case r.final:
	case ev.Outcome != Done:
		g.settle(r, g.unasked(r))
	case c.ceiled():
		g.settle(r, g.grant(r, ev.Total))
	default:
		r.leased = g.stored(r, ev.Total)
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
func (g *Gateway) grant(r *request, total float64) bool {
	c := r.cust
	most := min(c.plan.Burst, c.plan.CeilingBurst/2)
	inside := total <= max(most, r.Units)
	r.granted = inside && g.askShare >= counterLost
	if inside {
		c.block = max(0, c.block-r.Units)
	} else if r.lease == c.name() && total > most+r.Units {
		c.spent = time.Duration(c.epoch+1)*c.span - c.offset
	}
	return inside
}

// stored says whether the store held the request's units before it asked, and puts the name right: where the
// store has run over, where its window has just begun, and where the request is refused.
func (g *Gateway) stored(r *request, total float64) bool {
	c := r.cust
	epoch := int64((r.arrived + c.offset) / c.span)
	filled := g.through(c) * (g.now + c.offset - time.Duration(epoch)*c.span).Seconds()
	before := total - r.adds
	level, amend := c.plan.Burst+filled-before, 0.0
	switch {
	case before < zeroUnits: // the first of this window, or of a counter that came back empty
		level, amend = c.plan.Burst, filled
	case level > c.plan.Burst*(1+overflow):
		amend = level - c.plan.Burst
	}
	level = min(level, c.plan.Burst)
	inside := level >= min(r.Units, c.plan.Burst)
	if !inside {
		amend -= r.adds
		c.spent = g.now + g.restOf(r, level)
	}
	if amend != 0 {
		g.callOf(&request{cust: c, arrived: g.now, final: true}, r.lease, amend)
	}
	return inside
}

// restOf is how long a refused customer is not asked for: until the store may hold the units; where many
// gateways wait for the same units, the time is longer and not the same for all.
func (g *Gateway) restOf(r *request, level float64) time.Duration {
	rate := g.through(r.cust)
	rest := (r.Units - level) / rate
	if g.own(r.cust) {
		rest = max(rest, restBursts*r.plan.Burst/r.plan.Rate*(0.5+g.rng.Float64()))
	}
	return time.Duration(rest * float64(time.Second))
}
