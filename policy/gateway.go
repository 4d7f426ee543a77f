package policy

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const (
	ticksPerObjective     = 50                        // sweeps in the shortest aim: held requests overstay by 2% of it
	minHealthyCallShare   = 0.3                       // share of asked requests: below, the counter is as good as silent
	minCallShare          = 0.05                      // the same at least, to find a counter that is back
	turnsPerObjective     = 8                         // turns at a customer's cap in the shortest aim
	maxCounterNameTTL     = 60 * time.Second          // the counter keeps no name for longer
	counterWindowLength   = maxCounterNameTTL * 5 / 6 // window of a name: within it the allowance grows at the rate
	leaseDemandSeconds    = 0.6                       // seconds of a customer's demand that a block holds
	exhaustedCallInterval = 250 * time.Millisecond    // between calls of a customer whose room is gone
	lateSampleThreshold   = 0.1                       // share of untimely answers in a round that narrows the window
	minLateEndpointShare  = 0.25                      // untimely answers from fewer servers are theirs, not the fleet's
	maxWindowIncrease     = 0.05                      // growth of a small window by one timely answer
	windowDecreaseFactor  = 0.85                      // multiplicative decrease
	minWindow             = 0.1                       // so that a gateway still learns: an attempt each ten round trips
	maxRoundTripsPerRound = 4.0                       // round trips that a round stands for at most: half the window
	retryBudgetRatio      = 0.15                      // further attempts that a first one earns
	hedgeDeviations       = 3.0                       // mean deviations over the mean, after which a second copy goes
	answerDeviations      = 2.0                       // the same, within which nearly all answers come
)

// Gateway decides for one gateway; see the package comment.
type Gateway struct {
	settings                          Settings
	rng                               *rand.Rand
	now                               time.Duration
	actions                           []Action
	tickInterval, maxLatencyObjective time.Duration // time between sweeps; longest aim of a class
	maxDeadline                       time.Duration // longest of a class
	tickerStarted, watchingEndpoints  bool          // the sweep runs; changes of the fleet list come

	classes       map[string]*classState
	plans         map[string]*planState
	customers     map[string]*customer
	customerOrder []*customer // in order of first sight
	nextIdleCheck int         // next of the customerList to look at

	requests       map[RequestID]*request
	activeRequests []*request // in order of arrival
	queue          []*request // the priority queues end to end: highest worth first, in order of arrival within one

	window, meanLatency                       float64       // attempts that may be out; mean latency of answers, seconds
	inFlight, roundNumber                     int           // attempts that fill the window
	timelySamples, lateSamples, lateEndpoints int           // in this round: timely and untimely ends, servers with untimely ones
	roundEnd, lastSend                        time.Duration // when the window's round ends; last attempt out
	retryBudget                               float64       // budget of further attempts

	endpoints           map[EndpointID]*endpoint
	serving             []*endpoint
	gatewaysPerEndpoint float64 // gateways that share each of these, about
	answerRate          float64 // answers a second to this gateway
	answerRateAt        time.Duration

	budgetSpanRate, budgetSpanCapacity float64 // the same, and the capacity that they came from, over the span of a fall
	ratePerWarmEndpoint                float64 // answers a second for each warm server, as of the last

	warmCapacity, warmConnectionShare float64 // the fleet, in warm servers; part of the warm that are linked
	capacityAt                        time.Duration

	counterCallShare float64 // share of requests with central buckets or permits that asks
	counterFailures  int
	meanPermitStake  float64 // of the requests that a permit may be asked for
}

type request struct {
	Request
	class                        *classState
	plan                         *planState
	customer                     *customer
	arrived                      time.Duration
	priority                     float64 // worth, as queued
	overQuota                    bool    // sent on beyond the quota
	leaseCharged, ceilingGranted bool    // its units came from the block; from the counter, within the ceiling
	claimCharged, attempted      bool    // from the counter, for the block if it is not sent; an attempt has left
	queued, dispatched, finished bool    // in the queue; first attempt has gone; answered for good
	objectiveMissed, streaming   bool    // the aim can no longer be met; the answer has begun
	attempts                     []*attempt
	attemptsInFlight             int
	permits                      int // that it holds
	permitName                   string
}

type attempt struct {
	number                          int
	endpoint                        *endpoint
	sentAt                          time.Duration
	ended, overdue, mayHaveExecuted bool // lost: out for so long that it no longer fills the window
}

// New returns a gateway, or an error where the settings cannot be decided with.
func New(set Settings, seed uint64) (*Gateway, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	g := &Gateway{settings: set, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), tickInterval: time.Second,
		classes: map[string]*classState{}, plans: map[string]*planState{}, customers: map[string]*customer{},
		requests: map[RequestID]*request{}, endpoints: map[EndpointID]*endpoint{}, counterCallShare: 1,
		gatewaysPerEndpoint: float64(set.GatewayCount)}
	for _, c := range set.Classes {
		g.classes[c.Name] = &classState{Class: c}
		g.tickInterval = min(g.tickInterval, max(c.LatencyObjective/ticksPerObjective, time.Millisecond))
		g.maxLatencyObjective = max(g.maxLatencyObjective, c.LatencyObjective)
		g.maxDeadline = max(g.maxDeadline, c.Deadline)
	}
	for _, p := range set.Plans {
		p.Burst = max(p.Burst, set.MaxUnits, 1) // a store that can never hold a request would shut all out
		g.plans[p.Name] = newPlanState(p)
	}
	g.settings.MaxAttempts = max(set.MaxAttempts, 1)
	g.settings.CounterTimeout = max(set.CounterTimeout, time.Millisecond)
	return g, nil
}

// Handle tells the gateway one event at a time on its clock; it appends what is to be done to out.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.actions = max(now, g.now), out
	if !g.tickerStarted {
		g.tickerStarted = true
		g.emit(SetTimer{After: g.tickInterval})
	}
	switch ev := ev.(type) {
	case Arrival:
		g.handleArrival(ev.Request)
	case AttemptEnded:
		g.handleAttemptEnded(ev)
	case StreamStarted:
		if r := g.requests[ev.ID]; r != nil {
			r.streaming = true
		}
	case ClientDisconnected:
		if r := g.requests[ev.ID]; r != nil && !r.finished {
			g.finish(r)
		}
	case EndpointsChanged:
		g.handleEndpointsChanged(ev)
	case TimerFired:
		g.tick()
	case CounterReply:
		g.handleCounterReply(ev)
	}
	g.dispatch()
	return g.actions
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// tick is the sweep: expired and overdue requests first, so that no freed slot goes to a dead one.
func (g *Gateway) tick() {
	g.emit(SetTimer{After: g.tickInterval})
	if g.settings.PollEndpoints && !g.watchingEndpoints {
		g.watchingEndpoints = true
		g.emit(WatchEndpoints{})
	}
	g.closeRound()
	g.activeRequests = slices.DeleteFunc(g.activeRequests, func(r *request) bool {
		if g.hedgeIfOverdue(r); r.queued || !r.dispatched && !r.finished {
			g.expire(r)
		}
		if r.finished && r.attemptsInFlight == 0 {
			delete(g.requests, r.ID)
		}
		return r.finished && r.attemptsInFlight == 0
	})
	for range (len(g.customerOrder) + ticksPerObjective - 1) / ticksPerObjective {
		g.reclaimIdle()
	}
}

// --- arrival and admission ---

func (g *Gateway) handleArrival(q Request) {
	r := &request{Request: q, class: g.classes[q.Class], plan: g.plans[q.Plan], arrived: g.now}
	if r.class == nil { // unknown: unsafe to repeat
		r.class = &classState{Class: Class{Name: q.Class, LatencyObjective: max(q.Deadline-g.now, time.Millisecond)}}
	}
	if r.plan == nil {
		r.plan = newPlanState(Plan{Name: q.Plan, Price: 1})
	}
	if r.Units <= 0 {
		r.Units = 1
	}
	if r.Deadline <= g.now { // its time was over as it came: no quota is asked for it
		g.emit(Reject{ID: r.ID, RetryAfter: min(r.class.LatencyObjective, g.settings.MaxRetryAfter)})
		return
	}
	r.customer = g.customerFor(r)
	g.requests[q.ID] = r
	g.activeRequests = append(g.activeRequests, r)
	g.checkQuota(r)
	if !r.dispatched && !r.finished {
		g.expire(r) // it may come with less time than a sweep takes
	}
}

// resolveQuota lets a request into the queues by what is known of its customer's store.
func (g *Gateway) resolveQuota(r *request, inside bool) {
	if !inside {
		if r.plan.OverQuotaWeight <= r.plan.OverQuotaCost || g.saturated() {
			g.reject(r, g.quotaRetryAfter(r))
			return
		}
		r.overQuota = true // earns more than it costs, and nobody inside a quota waits for the place
	}
	if inside && r.plan.MaxConcurrency > 0 {
		g.acquirePermit(r)
		return
	}
	g.enqueueAdmitted(r)
}

// enqueueAdmitted queues a request that its quotas let in.
func (g *Gateway) enqueueAdmitted(r *request) {
	g.enqueue(r)
	g.dispatch()
}

// priorityValue is the request's priority: class worth x plan price, times what is left of it.
func (r *request) priorityValue() float64 {
	w := r.class.PriorityWeight * r.plan.Price
	if r.overQuota {
		w *= r.plan.OverQuotaWeight
	}
	if r.objectiveMissed {
		w *= r.class.LateWeight
	}
	return w
}

// saturated says whether requests inside their quotas wait, or are about to.
func (g *Gateway) saturated() bool {
	return len(g.queue) > 0 || float64(g.inFlight) > max(1, 0.7*g.window)
}

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

// --- priority queues and release ---

// enqueue puts a request at the end of the queue of its priority.
func (g *Gateway) enqueue(r *request) {
	r.priority = r.priorityValue()
	i := sort.Search(len(g.queue), func(i int) bool { return g.queue[i].priority < r.priority })
	g.queue = slices.Insert(g.queue, i, r)
	r.queued = true
}

func (g *Gateway) dequeue(r *request) {
	i := slices.Index(g.queue, r)
	g.queue, r.queued = slices.Delete(g.queue, i, i+1), false
}

// dispatch fills the window: the head of the highest queue goes first. One that may not go yet, by its
// customer's cap or ceiling or for want of a server of its group, lets the next pass.
func (g *Gateway) dispatch() {
	for i := 0; i < len(g.queue) && g.windowHasCapacity(); {
		r := g.queue[i]
		var s *endpoint
		if g.mayDispatch(r) {
			s = g.pickEndpoint(r)
		}
		if s == nil {
			i++
			continue
		}
		g.dequeue(r)
		g.startAttempt(r, s)
	}
}

// initialWindow is this gateway's part of a few attempts for each server: the window's start, the retries saved up.
func (g *Gateway) initialWindow() float64 {
	return max(1, initialAttemptsPerEndpoint*float64(len(g.serving))/g.gatewaysPerEndpoint)
}

// windowHasCapacity says whether the window lets another attempt out; below one they go one by one, with pauses.
func (g *Gateway) windowHasCapacity() bool {
	return float64(g.inFlight) < g.window && (g.window >= 1 || (g.now-g.lastSend).Seconds() >= g.meanLatency/g.window)
}

func (g *Gateway) mayDispatch(r *request) bool {
	if g.now >= r.Deadline || r.plan.MaxConcurrency > 0 && r.permits == 0 && r.customer.attemptsInFlight >= g.concurrencyShare(r.customer) {
		return false
	}
	return r.dispatched || g.ceilingAllows(r)
}

// expire ends a held request that cannot be answered in time, by the learned latency; where lateness still
// earns something it goes on at that worth.
func (g *Gateway) expire(r *request) {
	need := min(r.class.expectedLatency(answerDeviations), r.class.LatencyObjective)
	if g.now+min(need, r.class.expectedLatency(0)) >= r.Deadline-2*g.tickInterval {
		g.giveUp(r)
		return
	}
	switch {
	case !r.queued, r.objectiveMissed, g.now+need < r.arrived+r.class.LatencyObjective: // not held: it waits for the counter
	case r.class.LateWeight <= 0:
		g.giveUp(r)
	default:
		g.dequeue(r)
		r.objectiveMissed = true
		g.enqueue(r)
	}
}

// --- window ---

// recordSample counts an attempt's end towards the window. A late answer of a server that says that nothing waits
// there was long work or comes from a slow machine: no sign that the back end is full.
func (g *Gateway) recordSample(a *attempt, c *classState, o Outcome, took time.Duration, load LoadReport) {
	waiting, told := load["queue"]
	switch {
	case o == Rejected || o == TimedOut || o == Succeeded && took > c.LatencyObjective/3 && (waiting >= 1 || !told):
		g.lateSamples++
		c.lateSamples++
		if a.endpoint.lastLateRound != g.roundNumber {
			a.endpoint.lastLateRound = g.roundNumber
			g.lateEndpoints++
		}
	case o == Succeeded:
		g.timelySamples++
		c.timelySamples++
		if float64(g.inFlight) >= 0.8*g.window-1 || len(g.queue) > 0 {
			g.window += min(1/g.window, g.window*maxWindowIncrease)
		}
	}
}

// closeRound narrows the window, once a round trip at most, where many servers answer late or turn work away.
func (g *Gateway) closeRound() {
	n := float64(g.timelySamples + g.lateSamples)
	if g.now < g.roundEnd || n < 8 && g.lateSamples < 3 {
		return
	}
	least := float64(g.lateSamples) / n // long calls of one class are not a full back end: the best class tells
	for _, c := range g.classes {
		if m := c.timelySamples + c.lateSamples; m >= 4 {
			least = min(least, float64(c.lateSamples)/float64(m))
		}
		c.timelySamples, c.lateSamples = 0, 0
	}
	fleet := float64(len(g.serving))
	if least > lateSampleThreshold && float64(g.lateEndpoints) >= max(min(3, fleet), minLateEndpointShare*min(n, fleet)) {
		// Scarce evidence fills a round slowly: it then stands for all the round trips that have gone by.
		trips := min(1+(g.now-g.roundEnd).Seconds()/max(g.meanLatency, g.tickInterval.Seconds()), maxRoundTripsPerRound)
		g.window = max(g.window*math.Pow(windowDecreaseFactor, trips), minWindow, fleet/g.gatewaysPerEndpoint)
	}
	g.timelySamples, g.lateSamples, g.lateEndpoints = 0, 0, 0
	g.roundNumber++
	g.roundEnd = g.now + max(time.Duration(g.meanLatency*float64(time.Second)), 2*g.tickInterval)
}

// --- attempts, retries, final answers ---

// firstMaybeExecuted is the first attempt that is out or may have run.
func (r *request) firstMaybeExecuted() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.mayHaveExecuted }); i >= 0 {
		return r.attempts[i]
	}
	return nil
}

// mayRetry says whether another attempt may go out now.
func (g *Gateway) mayRetry(r *request) bool {
	if len(r.attempts) >= g.settings.MaxAttempts || r.streaming || r.finished {
		return false
	}
	a := r.firstMaybeExecuted()
	return a == nil || r.class.Idempotency == Idempotent || // the margin is for the way there
		r.class.Idempotency == IdempotencyKey && g.now-a.sentAt < r.class.DeduplicationWindow*9/10
}

func (g *Gateway) startAttempt(r *request, s *endpoint) {
	if !r.dispatched {
		r.dispatched = true
		g.retryBudget = min(g.initialWindow(), g.retryBudget+retryBudgetRatio)
		r.customer.ceilingTokens -= r.Units
	}
	a := &attempt{number: len(r.attempts), endpoint: s, sentAt: g.now, mayHaveExecuted: true}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight, r.customer.attemptsInFlight, g.inFlight = r.attemptsInFlight+1, r.customer.attemptsInFlight+1, g.inFlight+1
	s.inFlight = append(s.inFlight, a)
	if r.permits > 0 && r.attemptsInFlight > r.permits {
		g.adjustPermits(r, r.attemptsInFlight)
	}
	s.lastSend, g.lastSend, s.pacingPhase = g.now, g.now, 1
	var stop time.Duration
	if !g.settings.Hedging && r.class.meanLatency > 0 && r.class.Idempotency != NonIdempotent { // ends for another
		stop = g.now + max(r.class.expectedLatency(2*hedgeDeviations), r.class.LatencyObjective/3)
	}
	g.emit(Send{ID: r.ID, Endpoint: s.ID, AttemptDeadline: stop})
}

// hedgeIfOverdue looks after a request that is out: a copy goes to another server when the answer is overdue.
func (g *Gateway) hedgeIfOverdue(r *request) {
	for _, a := range r.attempts {
		if !a.ended && !a.overdue && g.now-a.sentAt > r.class.LatencyObjective {
			a.overdue = true
			g.inFlight--
			g.recordSample(a, r.class, TimedOut, 0, nil)
		}
	}
	if !g.settings.Hedging || r.attemptsInFlight != 1 || g.retryBudget < 1 || g.now > r.arrived+r.class.LatencyObjective || r.overQuota ||
		r.class.meanLatency == 0 || g.saturated() || !g.mayRetry(r) || !g.mayDispatch(r) {
		return
	}
	if last := r.attempts[len(r.attempts)-1]; g.now-last.sentAt < r.class.expectedLatency(hedgeDeviations) {
		return
	}
	if s := g.pickEndpoint(r); s != nil && !r.triedEndpoint(s) {
		g.retryBudget--
		g.startAttempt(r, s)
	}
}

func (g *Gateway) handleAttemptEnded(ev AttemptEnded) {
	r := g.requests[ev.ID]
	if r == nil || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].ended {
		return
	}
	a := r.attempts[ev.Attempt]
	a.ended, a.mayHaveExecuted = true, !ev.Outcome.NotExecuted()
	r.attempted = r.attempted || ev.Outcome != NotSent
	a.endpoint.inFlight = slices.DeleteFunc(a.endpoint.inFlight, func(b *attempt) bool { return a == b })
	r.attemptsInFlight, r.customer.attemptsInFlight = r.attemptsInFlight-1, r.customer.attemptsInFlight-1
	if !a.overdue {
		g.inFlight--
		g.recordSample(a, r.class, ev.Outcome, ev.Latency, ev.LoadReport)
	}
	g.recordLatency(a, r.class, ev.Outcome, ev.Latency)
	switch {
	case r.finished:
	case ev.RequestFinished:
		if r.plan.SettledByReply && ev.SettledUnits > 0 {
			if r.leaseCharged {
				r.customer.lease -= ev.SettledUnits - r.Units
			}
			if r.leaseCharged && r.customer.central || r.claimCharged {
				r.customer.unreported += ev.SettledUnits - r.Units
			}
		}
		g.finish(r)
	case r.attemptsInFlight > 0:
	case !g.mayRetry(r) || r.Deadline-g.now < r.class.expectedLatency(0)+2*g.tickInterval:
		g.giveUp(r)
	case ev.Outcome == NotSent: // nothing has left: no further load
		g.enqueue(r)
	case g.retryBudget < 1:
		g.giveUp(r)
	default: // tried again where its class, its time and the budget allow
		g.retryBudget--
		g.enqueue(r)
	}
	g.refundTokens(r)
	g.releasePermits(r)
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

// giveUp answers for good: refused where trying again is surely harmless, else failed.
func (g *Gateway) giveUp(r *request) {
	if r.firstMaybeExecuted() != nil && r.class.Idempotency != Idempotent && (r.class.Idempotency != IdempotencyKey || r.class.DeduplicationScope != ScopeAll) {
		g.emit(Fail{ID: r.ID})
		g.finish(r)
		return
	}
	g.reject(r, r.class.LatencyObjective)
}

func (g *Gateway) reject(r *request, after time.Duration) {
	g.emit(Reject{ID: r.ID, RetryAfter: min(after, g.settings.MaxRetryAfter)})
	g.finish(r)
}

// finish marks the request as finally answered and calls off what is still out for it.
func (g *Gateway) finish(r *request) {
	if r.queued {
		g.dequeue(r)
	}
	r.finished = true
	g.refundTokens(r)
	g.releasePermits(r)
	for _, a := range r.attempts {
		if !a.ended && g.settings.MayCancel && !r.streaming {
			g.emit(Cancel{ID: r.ID, Attempt: a.number})
		}
	}
}
