package policy

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	minHealthyCallShare   = 0.3                       // share of asked requests: below, the counter is as good as silent
	turnsPerObjective     = 8                         // turns at a customer's cap in the shortest aim
	maxCounterNameTTL     = 60 * time.Second          // the counter keeps no name for longer
	counterWindowLength   = maxCounterNameTTL * 5 / 6 // window of a name: within it the allowance grows at the rate
	leaseDemandSeconds    = 0.6                       // seconds of a customer's demand that a block holds
	exhaustedCallInterval = 250 * time.Millisecond    // between calls of a customer whose room is gone
)

// customer is this gateway's picture of a customer's store, replayed from the counter's totals: it fills at
// the rate up to the burst, and what the totals show is taken evenly over the time between two looks.
type customer struct {
	id                                   string
	plan                                 *planState
	gatewaySpan, gatewayIndex            int           // gateways that it comes through; our place among them
	windowOffset                         time.Duration // spreads the customers' window ends
	lease, unreported                    float64       // leased units, ours to spend; to add at the next call
	estimatedTokens                      float64       // the store at the last look, less all leases that we know of
	estimatedAt, lastReplyAt             time.Duration // of the level; when the counter last answered, 0 never
	demandRate, remoteUsageRate          float64       // units a second asked for here; taken by the other gateways
	counterWindow                        int64
	lastTotal, pendingAdd, pendingLease  float64 // last of this epoch's name; the call that is out adds, for a block of
	callInFlight, counterSilent, central bool    // a call is out; no answers come; blocks would be under one request
	bucket                               centralBucket
	permits                              semaphore
	calls                                []counterCall
	lastSeen, refreshedAt, nextCallAt    time.Duration
	attemptsInFlight                     int // attempts out
	ceilingTokens                        float64
	ceilingAt                            time.Duration
}

func (g *Gateway) customerFor(r *request) *customer {
	c := g.customers[r.Customer]
	if c == nil {
		h := fnv.New64a()
		h.Write([]byte(r.Customer))
		spread := min(max(r.GatewaySpan, 1), g.settings.GatewayCount)
		c = &customer{id: r.Customer, plan: r.plan, gatewaySpan: spread, counterSilent: !g.settings.SharedCounter, estimatedAt: g.now,
			windowOffset: time.Duration(h.Sum64() % uint64(counterWindowLength)), refreshedAt: g.now, ceilingAt: g.now,
			gatewayIndex: (g.settings.Index - r.FirstGateway%g.settings.GatewayCount + g.settings.GatewayCount) % g.settings.GatewayCount}
		c.central = c.plan.Rate > 0 && c.plan.Burst < float64(spread)*max(1, g.settings.MaxUnits)
		c.lease = c.plan.Burst / float64(spread) // the first block, told to the counter once half is spent
		c.unreported = c.lease
		c.estimatedTokens = max(0, g.settings.MaxUnits-c.lease, 1-c.lease) // one request more before the first look
		if c.central {
			g.initCentralBucket(c)
		}
		g.customers[r.Customer] = c
		g.customerOrder = append(g.customerOrder, c)
	}
	c.lastSeen = g.now
	return c
}

// refreshLease brings demand, and the block while the counter is silent, up to now.
func (g *Gateway) refreshLease(c *customer) {
	dt := (g.now - c.refreshedAt).Seconds()
	c.refreshedAt = g.now
	c.demandRate *= math.Exp(-dt)
	switch {
	case c.central: // the counter is told of what is spent of it, no more
		c.lease += min(c.plan.Rate/float64(c.gatewaySpan)*dt, g.leaseHeadroom(c))
	case c.counterSilent: // no totals come: live on the fair share of the rate
		c.extendLease(min(c.plan.Rate/float64(c.gatewaySpan)*dt, g.leaseHeadroom(c)))
	}
}

// leaseHeadroom is what the block may take until it holds the gateway's share of the store, one request at least.
func (g *Gateway) leaseHeadroom(c *customer) float64 {
	return max(0, max(c.plan.Burst/float64(c.gatewaySpan), g.settings.MaxUnits, 1)-c.lease)
}

// extendLease moves units from the store's picture to the block; the counter is told at the next call.
func (c *customer) extendLease(units float64) {
	c.lease += units
	c.unreported += units
	c.estimatedTokens -= units
}

// availableTokens is the level by now.
func (g *Gateway) availableTokens(c *customer) float64 {
	return min(c.maxTokens(), c.estimatedTokens+c.plan.Rate*(g.now-c.estimatedAt).Seconds())
}

// maxTokens is the level of a full store: blocks are not in it, ours and half as much at each other gateway.
func (c *customer) maxTokens() float64 {
	return max(0, c.plan.Burst-max(0, c.lease)*(1+float64(c.gatewaySpan-1)/2))
}

// uncontestedTokens is the part of the level that others cannot have taken since the last look.
func (g *Gateway) uncontestedTokens(c *customer) float64 {
	if c.counterSilent {
		return 0
	}
	return (g.availableTokens(c) - c.remoteUsageRate*(g.now-c.lastReplyAt).Seconds()) * c.demandRate / (c.demandRate + c.remoteUsageRate)
}

// chargeLease takes the request's units from the block, or on credit from room that the last total showed.
func (g *Gateway) chargeLease(r *request) bool {
	c := r.customer
	if c.plan.Rate <= 0 {
		return true
	}
	g.refreshLease(c)
	c.demandRate += r.Units
	if c.lease < r.Units && g.uncontestedTokens(c) >= r.Units-c.lease {
		c.extendLease(r.Units - c.lease)
	}
	if r.leaseCharged = c.lease >= r.Units-1e-9; r.leaseCharged {
		c.lease -= r.Units
		if c.central {
			c.unreported += r.Units
		}
	}
	g.renewLease(c)
	return r.leaseCharged
}

// leaseSize is some demand ahead, at least one large request, at most a share of the burst.
func (g *Gateway) leaseSize(c *customer) float64 {
	return min(max(c.demandRate*leaseDemandSeconds, 2*max(1, g.settings.MaxUnits/2)), c.plan.Burst/float64(c.gatewaySpan))
}

// renewLease asks the counter for the next block once half of this one is spent.
func (g *Gateway) renewLease(c *customer) {
	if size := g.leaseSize(c); c.lease <= size/2 {
		g.callForLease(c, max(0, min(size-c.lease, g.availableTokens(c)/float64(c.gatewaySpan))))
	}
}

// callForLease adds what is owed and the next block; one call a customer at a time.
func (g *Gateway) callForLease(c *customer, want float64) {
	if !g.settings.SharedCounter || c.central || c.callInFlight || g.now < c.nextCallAt {
		return
	}
	if epoch := int64((g.now + c.windowOffset) / counterWindowLength); epoch != c.counterWindow {
		c.counterWindow, c.lastTotal = epoch, 0
	}
	c.callInFlight, c.pendingAdd, c.pendingLease = true, c.unreported+want, want
	c.unreported = 0
	g.emit(IncrementCounter{Name: c.bucketName(), Add: c.pendingAdd, Keep: maxCounterNameTTL})
}

// handleCounterReply takes the counter's answer: what others have added since the last total comes off the level.
func (g *Gateway) handleCounterReply(ev CounterReply) {
	c := g.customers[customerOf(ev.Name)]
	if c != nil && (c.central || isSemaphoreName(ev.Name)) {
		g.handleCentralReply(c, ev)
		return
	}
	if c == nil || !c.callInFlight {
		return
	}
	c.callInFlight = false
	g.refreshLease(c)
	if ev.Outcome != Succeeded {
		g.handleCounterFailure(c, ev.Outcome)
		return
	}
	g.counterFailures = 0
	c.counterSilent = false
	fresh := ev.Total - c.pendingAdd - c.lastTotal
	if fresh < -c.plan.Burst {
		fresh = 0 // the counter came back empty: it shows less than we know, so nothing new
	}
	if c.lastReplyAt == 0 { // never looked before: the name holds all use since its window began
		c.estimatedAt = time.Duration(c.counterWindow)*counterWindowLength - c.windowOffset
		c.estimatedTokens = c.plan.Burst - c.lastTotal - c.pendingAdd + c.pendingLease - c.unreported
	} else {
		dt := max((g.now - c.lastReplyAt).Seconds(), 0.01)
		c.remoteUsageRate += (max(0, fresh)/dt - c.remoteUsageRate) * (1 - math.Exp(-2*dt))
	}
	// What was let in beyond the quota took nothing from the true store, so the debt is bounded.
	c.estimatedTokens = max(-c.plan.Burst/2, min(c.maxTokens(), c.estimatedTokens+c.plan.Rate*(g.now-c.estimatedAt).Seconds()-fresh))
	c.estimatedAt, c.lastTotal, c.lastReplyAt = g.now, ev.Total, g.now
	c.extendLease(max(0, min(c.pendingLease, c.estimatedTokens/float64(c.gatewaySpan))))
	c.unreported -= c.pendingLease
	c.nextCallAt = g.now + g.settings.CounterTimeout/8
	if c.lease < 1 {
		c.nextCallAt = g.now + exhaustedCallInterval
	}
}

// handleCounterFailure goes on without the counter: the block grows at the fair share of the rate until a total comes.
// A spoilt answer is no silence: the amount was added, and the next total shows the rest.
func (g *Gateway) handleCounterFailure(c *customer, o Outcome) {
	if o == Failed {
		c.lastTotal, c.unreported, c.nextCallAt = c.lastTotal+c.pendingAdd, c.unreported-c.pendingLease, g.now
		return
	}
	if o.NotExecuted() { // else it may have been added, and shows as others' use once
		c.unreported += c.pendingAdd - c.pendingLease
	}
	g.counterFailures++
	if !c.counterSilent {
		c.extendLease(max(0, g.availableTokens(c)) / float64(c.gatewaySpan))
		c.counterSilent = true
	}
	wait := g.settings.CounterTimeout << min(g.counterFailures, 4)
	c.nextCallAt = g.now + wait + time.Duration(g.rng.Int64N(int64(wait)))
}

// reclaimIdle looks at one customer in turn: unspent units go back, and one not seen for long is dropped.
func (g *Gateway) reclaimIdle() {
	g.nextIdleCheck = (g.nextIdleCheck + 1) % len(g.customerOrder)
	c := g.customerOrder[g.nextIdleCheck]
	if c.permits.unreported != 0 {
		g.callSemaphore(c, counterCall{name: g.semaphoreName(c)})
	}
	if c.central {
		g.returnReservation(c)
	}
	idle := (g.now - c.lastSeen).Seconds()
	if idle > maxCounterNameTTL.Seconds() && idle*c.plan.Rate >= c.plan.Burst && c.attemptsInFlight == 0 { // its store is full
		delete(g.customers, c.id)
		g.customerOrder = slices.Delete(g.customerOrder, g.nextIdleCheck, g.nextIdleCheck+1)
		return
	}
	if c.plan.Rate > 0 && math.Abs(c.unreported) > 0.25*c.plan.Burst/float64(c.gatewaySpan) && idle*c.plan.Rate > 1 {
		g.callForLease(c, 0)
	}
}

// quotaRetryAfter is the retry-after of a refusal: when the store will hold the units.
func (g *Gateway) quotaRetryAfter(r *request) time.Duration {
	c := r.customer
	if c.central && c.bucket.exhaustedUntil > g.now {
		return max(c.bucket.exhaustedUntil-g.now, g.tickInterval)
	}
	if c.central { // unknown: by then the rate has filled in what it wants
		return time.Duration(r.Units / c.plan.Rate * float64(time.Second))
	}
	missing := max(r.Units-max(0, g.availableTokens(c))-max(0, c.lease), 1)
	return time.Duration(missing / max(c.plan.Rate, 0.01) * float64(time.Second))
}

// concurrencyShare is this gateway's part of the customer's attempts out at once, one at least. Where going over costs,
// more gateways than attempts take turns, if a turn comes round within the shortest aim.
func (g *Gateway) concurrencyShare(c *customer) int {
	open, n, turn := c.plan.MaxConcurrency, c.gatewaySpan, g.tickInterval*ticksPerObjective/turnsPerObjective
	if c.plan.OverQuotaCost == 0 || open >= n || n > open*turnsPerObjective {
		return max(1, (open+n-1-c.gatewayIndex)/n)
	}
	return (open + n - 1 - (c.gatewayIndex+open*int((g.now+c.windowOffset)/turn))%n) / n
}

// ceilingAllows says whether the ceiling lets the units go: the counter granted them, or this gateway's part of
// the ceiling's store holds them, which starts empty since a restart cannot tell what was spent before.
func (g *Gateway) ceilingAllows(r *request) bool {
	c, p := r.customer, r.plan
	if p.CeilingRate <= 0 || r.ceilingGranted {
		return true
	}
	filled := c.ceilingTokens + p.CeilingRate/float64(c.gatewaySpan)*(g.now-c.ceilingAt).Seconds()
	c.ceilingTokens = min(p.CeilingBurst/float64(c.gatewaySpan), filled)
	c.ceilingAt = g.now
	return c.ceilingTokens >= r.Units && !(c.central && g.counterCallShare >= minHealthyCallShare) // then by grants
}

// refundTokens gives the units of a request that is over to the block where nothing of it has left the gateway:
// its client went while it waited, or its server while it waited for a connection. What the block cannot take
// goes back to the store: it has filled since, and old units on top would be more than the customer has.
func (g *Gateway) refundTokens(r *request) {
	if c := r.customer; r.finished && r.attemptsInFlight == 0 && !r.attempted && (r.leaseCharged || r.claimCharged) {
		room := g.leaseHeadroom(c)
		switch {
		case !c.central:
			c.lease += r.Units
			c.extendLease(-max(0, r.Units-room))
		case r.claimCharged: // a reservation, for the next request
			kept := min(r.Units, max(0, max(1, g.settings.MaxUnits)-c.bucket.reserved))
			c.bucket.reserved += kept
			c.unreported -= r.Units - kept
			c.bucket.reservedFrom = max(c.bucket.reservedFrom, g.now)
		default:
			c.lease += min(r.Units, room)
			c.unreported -= r.Units
		}
		r.leaseCharged, r.claimCharged = false, false
	}
}
