package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// This file simulates a complete deployment on a simulated clock: gateways, one counter with delay and capacity, customers that
// stay far below, reach or exceed their quotas, and beside them the exact state of each quota. It does not depend on the
// machine's clock.

const (
	simulationLength = 16 * time.Second
	maxRequestUnits  = 4 // units of the largest request
)

// simulationCase is the parameters of one simulation.
type simulationCase struct {
	gateways  int
	rps       float64 // first attempts a second that each gateway gets
	cost      float64 // OverQuotaCost of each plan
	limits    quotaLimits
	counter   counterCase
	rates     []float64 // units a second of the plans
	bursts    []float64 // seconds at the rate
	restartAt time.Duration
	restarted float64 // share of the gateways that crash at restartAt
	length    time.Duration
}

// quotaLimits is the kind of limits that each plan has.
type quotaLimits int

const (
	limitRate quotaLimits = iota
	limitConcurrency
	limitBoth
)

// counterCase is the behaviour of the shared counter.
type counterCase struct {
	absent          bool
	callsPerRequest float64 // capacity, in calls for each first request
	delay           time.Duration
	loss            float64 // share of the calls whose answer never comes
	silentFrom      time.Duration
	silentFor       time.Duration
	losesNumbers    bool // it loses its numbers while it is silent
}

// simulatedCustomer is a customer and its exact quota.
type simulatedCustomer struct {
	id                        string
	plan                      Plan
	gatewaySpan, firstGateway int
	weights                   []float64 // cumulative, of its gateways
	rate                      float64   // units a second asked for
	burstRate                 float64   // units a second in a burst; 0: none
	burstInterval             time.Duration
	burstLength               time.Duration
	phase                     time.Duration
	actual, delayed           exactQuota
	reference                 exactQuota // of one gateway that sees all first tries
}

// exactQuota is the true state of one customer's quota.
type exactQuota struct {
	level    float64
	at       time.Duration
	attempts int
	history  []quotaState
}

type quotaState struct {
	at       time.Duration
	level    float64
	attempts int
}

func (s *exactQuota) refill(p Plan, now time.Duration) {
	s.level = min(p.Burst, s.level+p.Rate*(now-s.at).Seconds())
	s.at = now
}

// allows reports whether a request would be inside the quota.
func (s *exactQuota) allows(p Plan, units float64, now time.Duration) bool {
	s.refill(p, now)
	return (p.Rate <= 0 || s.level >= units) && (p.MaxConcurrency <= 0 || s.attempts < p.MaxConcurrency)
}

// start counts a first attempt and reports whether its request is inside the quota.
func (s *exactQuota) start(p Plan, units float64, now time.Duration) bool {
	inside := s.allows(p, units, now)
	if inside && p.Rate > 0 {
		s.level -= units
	}
	s.attempts++
	s.record(now)
	return inside
}

// end counts the end of an attempt, which settles the units of a request that was inside the quota.
func (s *exactQuota) end(now time.Duration, guessedLess float64) {
	s.attempts--
	s.level -= guessedLess
	s.record(now)
}

func (s *exactQuota) record(now time.Duration) {
	s.history = append(s.history, quotaState{now, s.level, s.attempts})
}

// delayedState is the state as it was stateDelay ago.
func (s *exactQuota) delayedState(p Plan, now time.Duration) quotaState {
	i, _ := slices.BinarySearchFunc(s.history, now-stateDelay, func(a quotaState, t time.Duration) int {
		return int(a.at - t)
	})
	if i == 0 {
		return quotaState{level: p.Burst}
	}
	state := s.history[i-1]
	state.level = min(p.Burst, state.level+p.Rate*(now-stateDelay-state.at).Seconds())
	return state
}

// policyWeight is the weight of the requests that a policy has admitted.
type policyWeight struct {
	offered, inside, overQuotaCost float64 // weights; overQuotaCost times the cost of each
	rejectedInside, requests       int
	calls                          int
}

func (weight policyWeight) servedShare() float64 { return weight.inside / weight.offered }
func (weight policyWeight) costShare() float64   { return weight.overQuotaCost / weight.offered }

// simulationEvent is an event of the simulation. Events are in the order of their times, then of their creation.
type simulationEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simulationEvents []simulationEvent

func (q simulationEvents) Len() int { return len(q) }
func (q simulationEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simulationEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simulationEvents) Push(x any)   { *q = append(*q, x.(simulationEvent)) }
func (q *simulationEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// quotaSimulation is a running simulation.
type quotaSimulation struct {
	testing.TB
	simulationCase
	rng            *rand.Rand
	now            time.Duration
	events         simulationEvents
	seq            int
	set            Settings
	endpoints      []Endpoint
	instances      []*simulatedGateway
	customers      []*simulatedCustomer
	totals         map[string]float64
	shardBusyUntil [counterShards]time.Duration // end of the queue of each shard of the counter
	requests       map[RequestID]*simulatedRequest
	lastID         RequestID
	actual         policyWeight
	delayed        policyWeight
}

type simulatedGateway struct {
	gateway     *Gateway
	incarnation int // counts restarts
}

// simulatedRequest is a request of a client: a first request or a retry.
type simulatedRequest struct {
	customer     *simulatedCustomer
	gateway      int
	units        float64
	settled      float64
	retries      int
	attempts     []*simulatedAttempt
	answered     bool
	work         time.Duration
	firstArrival time.Duration
}

// simulatedAttempt is an attempt at an endpoint.
type simulatedAttempt struct {
	inside, ended bool // inside the quota; only first attempts
	end           func(Outcome)
}

// newQuotaSimulation draws the customers of a simulation and starts its gateways.
func newQuotaSimulation(t testing.TB, c simulationCase, seed uint64) *quotaSimulation {
	d := &quotaSimulation{TB: t, simulationCase: c, rng: rand.New(rand.NewPCG(seed, 11)), totals: map[string]float64{},
		requests: map[RequestID]*simulatedRequest{}}
	if d.length == 0 {
		d.length = simulationLength
	}
	if d.rps == 0 {
		d.rps = 10
	}
	if d.rates == nil {
		d.rates, d.bursts = []float64{1, 5.5, 17}, []float64{8, 4.5, 2.1}
	}
	d.set = settings()
	d.set.GatewayCount, d.set.MaxUnits, d.set.HasSharedCounter = c.gateways, maxRequestUnits, !c.counter.absent
	d.set.CounterTimeout, d.set.MaxRetryAfter, d.set.SlowStartWindow = 80*ms, 2*time.Second, 0
	d.set.Classes = []Class{{Name: "read", PriorityWeight: 1, LatencyObjective: 600 * ms, Deadline: 2500 * ms, LateWeight: 0.2, Idempotency: Idempotent}}
	d.set.Plans = nil
	prices := []float64{0.9, 1.3, 1.6}
	for i, rate := range d.rates {
		p := Plan{Name: fmt.Sprint("plan", i), Price: prices[i%3], Rate: rate, Burst: max(rate*d.bursts[i], 2*maxRequestUnits),
			OverQuotaCost: c.cost, SettledByReply: true}
		if c.limits != limitRate {
			p.MaxConcurrency = max(2, int(math.Ceil(2*rate*meanWork.Seconds()/meanRequestUnits)))
		}
		if c.limits == limitConcurrency {
			p.Rate, p.Burst = 0, 0
		}
		d.set.Plans = append(d.set.Plans, p)
	}
	for i := range max(20, c.gateways*2/3) {
		d.endpoints = append(d.endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
	}
	d.now = time.Hour
	for i := range c.gateways {
		d.instances = append(d.instances, &simulatedGateway{})
		d.start(i)
	}
	d.drawCustomers()
	return d
}

const (
	meanWork         = 120 * ms
	meanRequestUnits = 1.8
	counterShards    = 3
	burstFrom        = 6 * time.Second // all demand is burstFactor times as high
	burstFor         = 5 * time.Second
	burstFactor      = 1.5
	hotFrom          = 4 * time.Second // one customer has hotShare of all demand
	hotFor           = 7 * time.Second
	hotShare         = 0.1
	guessError       = 0.33 // deviation of a request's true units from those that it names, as a logarithm
)

func (d *quotaSimulation) schedule(t time.Duration, do func()) {
	d.seq++
	heap.Push(&d.events, simulationEvent{t, d.seq, do})
}

// start starts or restarts a gateway.
func (d *quotaSimulation) start(i int) {
	set := d.set
	set.Index = i
	g, err := New(set, d.rng.Uint64())
	if err != nil {
		d.Fatal(err)
	}
	d.instances[i].incarnation++
	d.instances[i].gateway = g
	d.handle(i, EndpointsChanged{IsSnapshot: true, Endpoints: d.endpoints})
}

// drawCustomers draws customers until their demand is what the gateways are to get.
func (d *quotaSimulation) drawCustomers() {
	rng, n := d.rng, d.gateways
	wanted := d.rps * float64(n) * meanRequestUnits
	for i, p := range d.set.Plans {
		rate := d.rates[i]
		for asked := 0.0; asked < wanted/float64(len(d.rates)); {
			c := &simulatedCustomer{id: fmt.Sprintf("%d-%07x", i, len(d.customers)), plan: p, firstGateway: rng.IntN(n),
				rate: rate * (0.18 + 0.3*rng.Float64())}
			switch x := rng.Float64(); {
			case x < 0.12:
				c.rate = rate * (2 + 2.9*rng.Float64())
			case x < 0.29:
				c.burstRate = rate * (2 + 5.5*rng.Float64())
				c.burstLength = time.Duration((1 + 3.2*rng.Float64()) * float64(time.Second))
				c.burstInterval = time.Duration((11 + 13*rng.Float64()) * float64(time.Second))
				c.phase = time.Duration(rng.Float64() * float64(c.burstInterval))
			case x < 0.5:
				c.rate = rate * (0.85 + 0.15*rng.Float64())
			}
			asked += c.rate
			if i == len(d.set.Plans)-1 && asked == c.rate {
				c.rate, c.burstRate, c.burstInterval, c.burstLength = 0.3*rate, hotShare*wanted, time.Hour, hotFor
				c.phase = -hotFrom
			}
			c.gatewaySpan = max(min(2, n), int(float64(n)*(0.5+0.5*rng.Float64())))
			full := exactQuota{level: p.Burst, at: d.now}
			c.actual, c.delayed, c.reference = full, full, full
			d.customers = append(d.customers, c)
			d.shiftGateways(c)
			d.scheduleNextArrival(c)
		}
	}
}

// shiftGateways draws new weights of a customer's gateways, and schedules the next draw.
func (d *quotaSimulation) shiftGateways(c *simulatedCustomer) {
	c.weights = c.weights[:0]
	sum := 0.0
	for range c.gatewaySpan {
		sum += math.Exp(1.4 * d.rng.NormFloat64())
		c.weights = append(c.weights, sum)
	}
	d.schedule(d.now+time.Duration((4+4*d.rng.Float64())*float64(time.Second)), func() { d.shiftGateways(c) })
}

func (c *simulatedCustomer) pick(rng *rand.Rand, n int) int {
	x := rng.Float64() * c.weights[len(c.weights)-1]
	i, _ := slices.BinarySearch(c.weights, x)
	return (c.firstGateway + min(i, c.gatewaySpan-1)) % n
}

func (d *quotaSimulation) scheduleNextArrival(c *simulatedCustomer) {
	use := c.rate
	top := max(c.rate, c.burstRate) * burstFactor
	gap := d.rng.ExpFloat64() * meanRequestUnits / top
	d.schedule(d.now+time.Duration(gap*float64(time.Second)), func() {
		if c.burstRate > 0 && (d.now+c.phase)%c.burstInterval < c.burstLength {
			use = c.burstRate
		}
		if since := d.now - time.Hour; since >= burstFrom && since < burstFrom+burstFor {
			use *= burstFactor
		}
		if d.rng.Float64() < use/top {
			d.arriveFirstTry(c)
		}
		d.scheduleNextArrival(c)
	})
}

// arriveFirstTry brings a first request to the gateways and to the reference.
func (d *quotaSimulation) arriveFirstTry(c *simulatedCustomer) {
	units := []float64{1, 1, 1, 2, 2, 2, 4}[d.rng.IntN(7)]
	work := time.Duration(d.rng.ExpFloat64() * float64(meanWork))
	settled := units * math.Exp(guessError*(d.rng.NormFloat64()-guessError/2))
	if c.reference.allows(c.plan, units, d.now) {
		d.actual.offered += c.plan.Price * units
		c.reference.start(c.plan, units, d.now)
		d.schedule(d.now+work, func() { c.reference.end(d.now, settled-units) })
	}
	d.arrive(&simulatedRequest{customer: c, gateway: c.pick(d.rng, d.gateways), units: units, settled: settled, work: work, firstArrival: d.now})
	d.decideByDelayedState(c, units, work, settled-units)
}

// decideByDelayedState is the reference: it decides by the true state of stateDelay ago.
func (d *quotaSimulation) decideByDelayedState(c *simulatedCustomer, units float64, work time.Duration, guessedLess float64) {
	seen := c.delayed.delayedState(c.plan, d.now)
	if c.plan.Rate > 0 && seen.level < units || c.plan.MaxConcurrency > 0 && seen.attempts >= c.plan.MaxConcurrency {
		return
	}
	inside := c.delayed.start(c.plan, units, d.now)
	d.delayed.add(c.plan, units, inside)
	if !inside {
		guessedLess = 0
	}
	d.schedule(d.now+work, func() { c.delayed.end(d.now, guessedLess) })
}

func (weight *policyWeight) add(p Plan, units float64, inside bool) {
	if inside {
		weight.inside += p.Price * units
	} else {
		weight.overQuotaCost += p.Price * units * p.OverQuotaCost
	}
}

func (d *quotaSimulation) arrive(request *simulatedRequest) {
	d.lastID++
	id := d.lastID
	d.requests[id] = request
	d.actual.requests++
	c := request.customer
	d.handle(request.gateway, Arrival{Request{ID: id, Class: "read", Plan: c.plan.Name, Customer: c.id, Units: request.units,
		Deadline: d.now + 2500*ms, GatewaySpan: c.gatewaySpan, FirstGateway: c.firstGateway, IsRetry: request.retries > 0}})
}

// handle gives a gateway an event and carries out its actions.
func (d *quotaSimulation) handle(i int, ev Event) {
	instance := d.instances[i]
	incarnation := instance.incarnation
	later := func(after time.Duration, ev func() Event) {
		d.schedule(d.now+after, func() {
			if instance.incarnation == incarnation {
				d.handle(i, ev())
			}
		})
	}
	for _, act := range instance.gateway.Handle(d.now, ev, nil) {
		switch act := act.(type) {
		case SetTimer:
			later(act.Delay, func() Event { return TimerFired{} })
		case Send:
			d.send(act, later)
		case Cancel:
			d.requests[act.ID].attempts[act.Attempt].end(Cancelled)
		case Reject:
			d.handleReject(act)
		case IncrementCounter:
			d.handleCounterCall(act, later)
		}
	}
}

// send starts an attempt; the first that succeeds answers the request.
func (d *quotaSimulation) send(act Send, later func(time.Duration, func() Event)) {
	request := d.requests[act.ID]
	c := request.customer
	number := len(request.attempts)
	attempt := &simulatedAttempt{}
	request.attempts = append(request.attempts, attempt)
	work := request.work
	if number == 0 {
		attempt.inside = c.actual.start(c.plan, request.units, d.now)
		d.actual.add(c.plan, request.units, attempt.inside)
	} else {
		c.actual.attempts++
		work = time.Duration(d.rng.ExpFloat64() * float64(meanWork))
	}
	attempt.end = func(o Outcome) {
		if attempt.ended {
			return
		}
		attempt.ended = true
		finished, guessedLess := o == Succeeded && !request.answered, 0.0
		if finished && request.attempts[0].inside && c.plan.Rate > 0 {
			guessedLess = request.settled - request.units
		}
		request.answered = request.answered || finished
		c.actual.end(d.now, guessedLess)
		later(ms, func() Event {
			return AttemptEnded{ID: act.ID, Attempt: number, Endpoint: act.Endpoint, Outcome: o, Latency: work + ms,
				RequestFinished: finished, SettledUnits: request.settled, LoadReport: LoadReport{"queue": 0}}
		})
	}
	d.schedule(d.now+work, func() { attempt.end(Succeeded) })
}

// handleReject lets clients retry, usually at the same gateway; half of them after the Retry-After of the rejection.
func (d *quotaSimulation) handleReject(act Reject) {
	request := d.requests[act.ID]
	delete(d.requests, act.ID)
	c := request.customer
	inside := c.actual.allows(c.plan, request.units, d.now)
	if inside {
		d.actual.rejectedInside++
	}
	if request.retries >= 3 || d.rng.Float64() > 0.85 {
		return
	}
	wait := 40 * ms << request.retries
	if d.rng.Float64() < 0.5 {
		wait = max(wait, min(act.RetryAfter, d.set.MaxRetryAfter))
	}
	next := &simulatedRequest{customer: c, gateway: request.gateway, units: request.units, settled: request.settled, retries: request.retries + 1, work: request.work, firstArrival: request.firstArrival}
	if d.rng.Float64() < 0.2 {
		next.gateway = c.pick(d.rng, d.gateways)
	}
	d.schedule(d.now+time.Duration(float64(wait)*(0.5+d.rng.Float64())), func() {
		if d.now < next.firstArrival+2500*ms {
			d.arrive(next)
		}
	})
}

// handleCounterCall is the counter: each shard has one queue of calls, served in order.
func (d *quotaSimulation) handleCounterCall(act IncrementCounter, later func(time.Duration, func() Event)) {
	d.actual.calls++
	fail := func(after time.Duration, o Outcome) {
		later(after, func() Event { return CounterReply{Name: act.Name, Outcome: o} })
	}
	since := d.now - time.Hour
	if k := d.counter; k.silentFor > 0 && since >= k.silentFrom && since < k.silentFrom+k.silentFor {
		if k.losesNumbers {
			clear(d.totals)
		}
		fail(d.set.CounterTimeout, TimedOut)
		return
	}
	busyUntil := &d.shardBusyUntil[shardOf(act.Name)]
	perCall := time.Duration(counterShards * float64(time.Second) / (d.counter.callsPerRequest * d.rps * float64(d.gateways)))
	if *busyUntil > d.now+160*ms {
		fail(2*ms, Rejected)
		return
	}
	*busyUntil = max(*busyUntil, d.now) + perCall
	late := *busyUntil+d.counter.delay > d.now+d.set.CounterTimeout || d.rng.Float64() < d.counter.loss
	if late {
		fail(d.set.CounterTimeout, TimedOut)
	}
	d.schedule(*busyUntil, func() {
		d.totals[act.Name] += act.Delta
		total := d.totals[act.Name]
		if !late {
			later(d.counter.delay, func() Event { return CounterReply{Name: act.Name, Outcome: Succeeded, Total: total} })
		}
	})
}

// shardOf returns the shard of the counter that keeps a name.
func shardOf(name string) int {
	sum := 0
	for _, b := range []byte(name) {
		sum = sum*31 + int(b)
	}
	return (sum%counterShards + counterShards) % counterShards
}

// play runs the simulation to its end.
func (d *quotaSimulation) play() (actual, reference policyWeight) {
	end := time.Hour + d.length
	if d.restarted > 0 {
		d.schedule(time.Hour+d.restartAt, func() {
			for i := range d.instances {
				if d.rng.Float64() < d.restarted {
					d.start(i)
				}
			}
		})
	}
	for d.events.Len() > 0 {
		e := heap.Pop(&d.events).(simulationEvent)
		if e.at > end {
			break
		}
		d.now = max(d.now, e.at)
		e.do()
	}
	d.delayed.offered = d.actual.offered
	return d.actual, d.delayed
}
