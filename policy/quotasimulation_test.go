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

// This file simulates a complete deployment on a simulated clock: gateways, one counter with delay and limited capacity,
// customers that stay far below, reach or exceed their quotas, and the exact state of each quota. The results do not depend on
// the clock of the machine.

const (
	simulationLength = 16 * time.Second
	maxRequestUnits  = 4 // units of the largest request
)

// simulationCase holds the parameters of one simulation.
type simulationCase struct {
	gatewayCount     int
	requestRate      float64 // first requests per second at each gateway; 0: 10
	overQuotaCost    float64 // OverQuotaCost of each plan
	limits           quotaLimits
	counter          counterCase
	planRates        []float64 // units per second of each plan; nil: three default plans
	planBurstSeconds []float64 // burst of each plan, in seconds at its rate
	restartAt        time.Duration
	restartedShare   float64       // share of the gateways that crash at restartAt
	duration         time.Duration // 0: simulationLength
}

// quotaLimits specifies which limits each plan has.
type quotaLimits int

const (
	limitRate quotaLimits = iota
	limitConcurrency
	limitBoth
)

// counterCase describes the behaviour of the shared counter.
type counterCase struct {
	absent          bool
	callsPerRequest float64       // capacity, in calls per first request
	delay           time.Duration // from a processed call to its reply
	lossShare       float64       // share of the calls whose reply is lost
	outageStart     time.Duration // time into the simulation from which all calls time out
	outageLength    time.Duration // 0: no outage
	losesTotals     bool          // the counter loses its totals in the outage
}

// simulatedCustomer is a customer with its demand and the exact states of its quota.
type simulatedCustomer struct {
	id                          string
	plan                        Plan
	gatewaySpan, firstGateway   int
	gatewayWeights              []float64 // cumulative, one for each of its gateways
	demandRate                  float64   // units per second outside of bursts
	burstRate                   float64   // units per second in a burst; 0: no bursts
	burstInterval               time.Duration
	burstLength                 time.Duration
	burstPhase                  time.Duration // offset of the burst intervals
	actualQuota, referenceQuota exactQuota    // under the simulated gateways and under the reference policy
	idealQuota                  exactQuota    // of a single gateway that decides by the exact state; sets the offered weight
}

// exactQuota is the exact state of one customer's quota under one policy.
type exactQuota struct {
	level            float64
	refilledAt       time.Duration
	attemptsInFlight int
	history          []quotaState // appended at the start of a first attempt and at the end of any attempt
}

// quotaState is the state of a quota at one time.
type quotaState struct {
	at               time.Duration
	level            float64
	attemptsInFlight int
}

func (quota *exactQuota) refill(plan Plan, now time.Duration) {
	quota.level = min(plan.Burst, quota.level+plan.Rate*(now-quota.refilledAt).Seconds())
	quota.refilledAt = now
}

// allows reports whether a request would be inside the quota.
func (quota *exactQuota) allows(plan Plan, units float64, now time.Duration) bool {
	quota.refill(plan, now)
	return (plan.Rate <= 0 || quota.level >= units) && (plan.MaxConcurrency <= 0 || quota.attemptsInFlight < plan.MaxConcurrency)
}

// startAttempt counts the first attempt of a request and reports whether the request is inside the quota. If so, it removes
// the units of the request.
func (quota *exactQuota) startAttempt(plan Plan, units float64, now time.Duration) bool {
	insideQuota := quota.allows(plan, units, now)
	if insideQuota && plan.Rate > 0 {
		quota.level -= units
	}
	quota.attemptsInFlight++
	quota.record(now)
	return insideQuota
}

// endAttempt counts the end of an attempt, and removes the units by which the settled units of the request exceed those
// charged at its start.
func (quota *exactQuota) endAttempt(now time.Duration, underestimatedUnits float64) {
	quota.attemptsInFlight--
	quota.level -= underestimatedUnits
	quota.record(now)
}

func (quota *exactQuota) record(now time.Duration) {
	quota.history = append(quota.history, quotaState{now, quota.level, quota.attemptsInFlight})
}

// delayedState returns the state of stateDelay ago.
func (quota *exactQuota) delayedState(plan Plan, now time.Duration) quotaState {
	i, _ := slices.BinarySearchFunc(quota.history, now-stateDelay, func(a quotaState, t time.Duration) int {
		return int(a.at - t)
	})
	if i == 0 {
		return quotaState{level: plan.Burst}
	}
	state := quota.history[i-1]
	state.level = min(plan.Burst, state.level+plan.Rate*(now-stateDelay-state.at).Seconds())
	return state
}

// policyResults holds the results of a policy: weights and cost of the requests, and the number of requests and calls.
type policyResults struct {
	offered, insideQuota, overQuotaCost float64 // overQuotaCost: weight times OverQuotaCost of the admitted over-quota requests
	rejectedInsideQuota, requests       int
	calls                               int
}

func (results policyResults) servedShare() float64 { return results.insideQuota / results.offered }
func (results policyResults) costShare() float64   { return results.overQuotaCost / results.offered }

// simulationEvent is a scheduled function.
type simulationEvent struct {
	dueAt    time.Duration
	sequence int
	run      func()
}

// simulationEvents is a heap of events, ordered by time and then by the order in which they were scheduled.
type simulationEvents []simulationEvent

func (events simulationEvents) Len() int { return len(events) }
func (events simulationEvents) Less(i, j int) bool {
	return events[i].dueAt < events[j].dueAt || events[i].dueAt == events[j].dueAt && events[i].sequence < events[j].sequence
}
func (events simulationEvents) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *simulationEvents) Push(x any)   { *events = append(*events, x.(simulationEvent)) }
func (events *simulationEvents) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}

// quotaSimulation is the state of one simulation.
type quotaSimulation struct {
	testing.TB
	simulationCase
	rng            *rand.Rand
	now            time.Duration
	events         simulationEvents
	lastSequence   int
	settings       Settings
	endpoints      []Endpoint
	instances      []*simulatedGateway
	customers      []*simulatedCustomer
	totals         map[string]float64
	shardBusyUntil [counterShards]time.Duration // time at which each shard of the counter has processed its queued calls
	requests       map[RequestID]*simulatedRequest
	lastID         RequestID
	actual         policyResults
	reference      policyResults
}

// simulatedGateway is a gateway that may be restarted.
type simulatedGateway struct {
	gateway     *Gateway
	incarnation int // number of starts; events scheduled for an earlier incarnation are dropped
}

// simulatedRequest is a first request of a client, or a retry of one.
type simulatedRequest struct {
	customer       *simulatedCustomer
	gateway        int
	units          float64
	settledUnits   float64
	retries        int
	attempts       []*simulatedAttempt
	answered       bool
	workTime       time.Duration
	firstArrivedAt time.Duration
}

type simulatedAttempt struct {
	insideQuota, ended bool // insideQuota is set for first attempts only
	finish             func(Outcome)
}

// newQuotaSimulation returns a simulation with seeded customers and started gateways.
func newQuotaSimulation(t testing.TB, params simulationCase, seed uint64) *quotaSimulation {
	sim := &quotaSimulation{TB: t, simulationCase: params, rng: rand.New(rand.NewPCG(seed, 11)), totals: map[string]float64{},
		requests: map[RequestID]*simulatedRequest{}}
	if sim.duration == 0 {
		sim.duration = simulationLength
	}
	if sim.requestRate == 0 {
		sim.requestRate = 10
	}
	if sim.planRates == nil {
		sim.planRates, sim.planBurstSeconds = []float64{1, 5.5, 17}, []float64{8, 4.5, 2.1}
	}
	sim.settings = testSettings()
	sim.settings.GatewayCount, sim.settings.MaxUnits, sim.settings.HasSharedCounter =
		params.gatewayCount, maxRequestUnits, !params.counter.absent
	sim.settings.CounterTimeout, sim.settings.MaxRetryAfter, sim.settings.SlowStartWindow = 80*ms, 2*time.Second, 0
	sim.settings.Classes = []Class{{Name: "read", PriorityWeight: 1, LatencyObjective: 600 * ms, Deadline: 2500 * ms,
		LateWeight: 0.2, Idempotency: Idempotent}}
	sim.settings.Plans = nil
	prices := []float64{0.9, 1.3, 1.6}
	for i, rate := range sim.planRates {
		plan := Plan{Name: fmt.Sprint("plan", i), Price: prices[i%3], Rate: rate,
			Burst: max(rate*sim.planBurstSeconds[i], 2*maxRequestUnits), OverQuotaCost: params.overQuotaCost, SettledByAnswer: true}
		if params.limits != limitRate {
			plan.MaxConcurrency = max(2, int(math.Ceil(2*rate*meanWorkTime.Seconds()/meanRequestUnits)))
		}
		if params.limits == limitConcurrency {
			plan.Rate, plan.Burst = 0, 0
		}
		sim.settings.Plans = append(sim.settings.Plans, plan)
	}
	for i := range max(20, params.gatewayCount*2/3) {
		sim.endpoints = append(sim.endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
	}
	sim.now = time.Hour
	for i := range params.gatewayCount {
		sim.instances = append(sim.instances, &simulatedGateway{})
		sim.startGateway(i)
	}
	sim.drawCustomers()
	return sim
}

const (
	meanWorkTime      = 120 * ms
	meanRequestUnits  = 1.8
	counterShards     = 3
	demandPeakStart   = 6 * time.Second // time into the simulation; the demand of all customers is multiplied by demandPeakFactor
	demandPeakLength  = 5 * time.Second
	demandPeakFactor  = 1.5
	hotCustomerStart  = 4 * time.Second // time into the simulation; the demand of one customer is hotCustomerShare of the total
	hotCustomerLength = 7 * time.Second
	hotCustomerShare  = 0.1
	unitsDeviation    = 0.33 // standard deviation of the logarithm of settled units over requested units
)

func (sim *quotaSimulation) schedule(t time.Duration, run func()) {
	sim.lastSequence++
	heap.Push(&sim.events, simulationEvent{t, sim.lastSequence, run})
}

// startGateway starts or restarts the gateway with index i.
func (sim *quotaSimulation) startGateway(i int) {
	settings := sim.settings
	settings.GatewayIndex = i
	g, err := New(settings, sim.rng.Uint64())
	if err != nil {
		sim.Fatal(err)
	}
	sim.instances[i].incarnation++
	sim.instances[i].gateway = g
	sim.handle(i, EndpointsChanged{IsSnapshot: true, Endpoints: sim.endpoints})
}

// drawCustomers draws customers of each plan until their total demand matches the request rate of the gateways.
func (sim *quotaSimulation) drawCustomers() {
	rng, gatewayCount := sim.rng, sim.gatewayCount
	totalRate := sim.requestRate * float64(gatewayCount) * meanRequestUnits
	for i, plan := range sim.settings.Plans {
		rate := sim.planRates[i]
		for drawnRate := 0.0; drawnRate < totalRate/float64(len(sim.planRates)); {
			customer := &simulatedCustomer{id: fmt.Sprintf("%d-%07x", i, len(sim.customers)), plan: plan,
				firstGateway: rng.IntN(gatewayCount), demandRate: rate * (0.18 + 0.3*rng.Float64())}
			switch draw := rng.Float64(); {
			case draw < 0.12:
				customer.demandRate = rate * (2 + 2.9*rng.Float64())
			case draw < 0.29:
				customer.burstRate = rate * (2 + 5.5*rng.Float64())
				customer.burstLength = time.Duration((1 + 3.2*rng.Float64()) * float64(time.Second))
				customer.burstInterval = time.Duration((11 + 13*rng.Float64()) * float64(time.Second))
				customer.burstPhase = time.Duration(rng.Float64() * float64(customer.burstInterval))
			case draw < 0.5:
				customer.demandRate = rate * (0.85 + 0.15*rng.Float64())
			}
			drawnRate += customer.demandRate
			if i == len(sim.settings.Plans)-1 && drawnRate == customer.demandRate {
				customer.demandRate, customer.burstRate, customer.burstInterval, customer.burstLength =
					0.3*rate, hotCustomerShare*totalRate, time.Hour, hotCustomerLength
				customer.burstPhase = -hotCustomerStart
			}
			customer.gatewaySpan = max(min(2, gatewayCount), int(float64(gatewayCount)*(0.5+0.5*rng.Float64())))
			full := exactQuota{level: plan.Burst, refilledAt: sim.now}
			customer.actualQuota, customer.referenceQuota, customer.idealQuota = full, full, full
			sim.customers = append(sim.customers, customer)
			sim.redrawGatewayWeights(customer)
			sim.scheduleNextArrival(customer)
		}
	}
}

// redrawGatewayWeights draws new weights of a customer's gateways, and schedules the next call of itself.
func (sim *quotaSimulation) redrawGatewayWeights(customer *simulatedCustomer) {
	customer.gatewayWeights = customer.gatewayWeights[:0]
	sum := 0.0
	for range customer.gatewaySpan {
		sum += math.Exp(1.4 * sim.rng.NormFloat64())
		customer.gatewayWeights = append(customer.gatewayWeights, sum)
	}
	sim.schedule(sim.now+time.Duration((4+4*sim.rng.Float64())*float64(time.Second)),
		func() { sim.redrawGatewayWeights(customer) })
}

// pickGateway draws one of the customer's gateways by weight.
func (customer *simulatedCustomer) pickGateway(rng *rand.Rand, gatewayCount int) int {
	x := rng.Float64() * customer.gatewayWeights[len(customer.gatewayWeights)-1]
	i, _ := slices.BinarySearch(customer.gatewayWeights, x)
	return (customer.firstGateway + min(i, customer.gatewaySpan-1)) % gatewayCount
}

func (sim *quotaSimulation) scheduleNextArrival(customer *simulatedCustomer) {
	rate := customer.demandRate
	maxRate := max(customer.demandRate, customer.burstRate) * demandPeakFactor
	interval := sim.rng.ExpFloat64() * meanRequestUnits / maxRate
	sim.schedule(sim.now+time.Duration(interval*float64(time.Second)), func() {
		if customer.burstRate > 0 && (sim.now+customer.burstPhase)%customer.burstInterval < customer.burstLength {
			rate = customer.burstRate
		}
		if elapsed := sim.now - time.Hour; elapsed >= demandPeakStart && elapsed < demandPeakStart+demandPeakLength {
			rate *= demandPeakFactor
		}
		if sim.rng.Float64() < rate/maxRate {
			sim.sendFirstRequest(customer)
		}
		sim.scheduleNextArrival(customer)
	})
}

// sendFirstRequest sends a random first request of a customer to one of its gateways and to the reference policy.
func (sim *quotaSimulation) sendFirstRequest(customer *simulatedCustomer) {
	units := []float64{1, 1, 1, 2, 2, 2, 4}[sim.rng.IntN(7)]
	workTime := time.Duration(sim.rng.ExpFloat64() * float64(meanWorkTime))
	settledUnits := units * math.Exp(unitsDeviation*(sim.rng.NormFloat64()-unitsDeviation/2))
	if customer.idealQuota.allows(customer.plan, units, sim.now) {
		sim.actual.offered += customer.plan.Price * units
		customer.idealQuota.startAttempt(customer.plan, units, sim.now)
		sim.schedule(sim.now+workTime, func() { customer.idealQuota.endAttempt(sim.now, settledUnits-units) })
	}
	sim.sendRequest(&simulatedRequest{customer: customer, gateway: customer.pickGateway(sim.rng, sim.gatewayCount),
		units: units, settledUnits: settledUnits, workTime: workTime, firstArrivedAt: sim.now})
	sim.decideByDelayedState(customer, units, workTime, settledUnits-units)
}

// decideByDelayedState implements the reference policy, which decides by the exact state of stateDelay ago.
func (sim *quotaSimulation) decideByDelayedState(customer *simulatedCustomer, units float64, workTime time.Duration,
	underestimatedUnits float64) {
	seen := customer.referenceQuota.delayedState(customer.plan, sim.now)
	if customer.plan.Rate > 0 && seen.level < units ||
		customer.plan.MaxConcurrency > 0 && seen.attemptsInFlight >= customer.plan.MaxConcurrency {
		return
	}
	insideQuota := customer.referenceQuota.startAttempt(customer.plan, units, sim.now)
	sim.reference.add(customer.plan, units, insideQuota)
	if !insideQuota {
		underestimatedUnits = 0
	}
	sim.schedule(sim.now+workTime, func() { customer.referenceQuota.endAttempt(sim.now, underestimatedUnits) })
}

func (results *policyResults) add(plan Plan, units float64, insideQuota bool) {
	if insideQuota {
		results.insideQuota += plan.Price * units
	} else {
		results.overQuotaCost += plan.Price * units * plan.OverQuotaCost
	}
}

func (sim *quotaSimulation) sendRequest(request *simulatedRequest) {
	sim.lastID++
	id := sim.lastID
	sim.requests[id] = request
	sim.actual.requests++
	customer := request.customer
	sim.handle(request.gateway, Arrival{Request{ID: id, Class: "read", Plan: customer.plan.Name, Customer: customer.id,
		Units: request.units, Deadline: sim.now + 2500*ms, GatewaySpan: customer.gatewaySpan, FirstGateway: customer.firstGateway,
		IsRetry: request.retries > 0}})
}

// handle passes an event to the gateway with index i and performs the actions that it returns.
func (sim *quotaSimulation) handle(i int, event Event) {
	instance := sim.instances[i]
	incarnation := instance.incarnation
	scheduleEvent := func(delay time.Duration, event func() Event) {
		sim.schedule(sim.now+delay, func() {
			if instance.incarnation == incarnation {
				sim.handle(i, event())
			}
		})
	}
	for _, action := range instance.gateway.Handle(sim.now, event, nil) {
		switch action := action.(type) {
		case SetTimer:
			scheduleEvent(action.Delay, func() Event { return TimerFired{} })
		case Send:
			sim.send(action, scheduleEvent)
		case Cancel:
			sim.requests[action.ID].attempts[action.Attempt].finish(Cancelled)
		case Reject:
			sim.handleReject(action)
		case IncrementCounter:
			sim.handleCounterCall(action, scheduleEvent)
		}
	}
}

// send starts an attempt. The first successful attempt answers the request.
func (sim *quotaSimulation) send(action Send, scheduleEvent func(time.Duration, func() Event)) {
	request := sim.requests[action.ID]
	customer := request.customer
	number := len(request.attempts)
	attempt := &simulatedAttempt{}
	request.attempts = append(request.attempts, attempt)
	workTime := request.workTime
	if number == 0 {
		attempt.insideQuota = customer.actualQuota.startAttempt(customer.plan, request.units, sim.now)
		sim.actual.add(customer.plan, request.units, attempt.insideQuota)
	} else {
		customer.actualQuota.attemptsInFlight++
		workTime = time.Duration(sim.rng.ExpFloat64() * float64(meanWorkTime))
	}
	attempt.finish = func(outcome Outcome) {
		if attempt.ended {
			return
		}
		attempt.ended = true
		finished, underestimatedUnits := outcome == Succeeded && !request.answered, 0.0
		if finished && request.attempts[0].insideQuota && customer.plan.Rate > 0 {
			underestimatedUnits = request.settledUnits - request.units
		}
		request.answered = request.answered || finished
		customer.actualQuota.endAttempt(sim.now, underestimatedUnits)
		scheduleEvent(ms, func() Event {
			return AttemptEnded{ID: action.ID, Attempt: number, Endpoint: action.Endpoint, Outcome: outcome,
				Latency: workTime + ms, RequestFinished: finished, SettledUnits: request.settledUnits,
				LoadReport: LoadReport{"queue": 0}}
		})
	}
	sim.schedule(sim.now+workTime, func() { attempt.finish(Succeeded) })
}

// handleReject schedules retries of rejected requests: up to three for each request, usually at the same gateway, and half of
// them no earlier than the RetryAfter of the rejection.
func (sim *quotaSimulation) handleReject(action Reject) {
	request := sim.requests[action.ID]
	delete(sim.requests, action.ID)
	customer := request.customer
	insideQuota := customer.actualQuota.allows(customer.plan, request.units, sim.now)
	if insideQuota {
		sim.actual.rejectedInsideQuota++
	}
	if request.retries >= 3 || sim.rng.Float64() > 0.85 {
		return
	}
	wait := 40 * ms << request.retries
	if sim.rng.Float64() < 0.5 {
		wait = max(wait, min(action.RetryAfter, sim.settings.MaxRetryAfter))
	}
	next := &simulatedRequest{customer: customer, gateway: request.gateway, units: request.units,
		settledUnits: request.settledUnits, retries: request.retries + 1, workTime: request.workTime,
		firstArrivedAt: request.firstArrivedAt}
	if sim.rng.Float64() < 0.2 {
		next.gateway = customer.pickGateway(sim.rng, sim.gatewayCount)
	}
	sim.schedule(sim.now+time.Duration(float64(wait)*(0.5+sim.rng.Float64())), func() {
		if sim.now < next.firstArrivedAt+2500*ms {
			sim.sendRequest(next)
		}
	})
}

// handleCounterCall simulates the counter, each shard of which processes its queued calls in order. A call is rejected if the
// queue of its shard is too long, and times out in an outage, if its reply is lost, or if the reply would be too late; a call
// that times out outside of an outage is still counted.
func (sim *quotaSimulation) handleCounterCall(action IncrementCounter, scheduleEvent func(time.Duration, func() Event)) {
	sim.actual.calls++
	fail := func(delay time.Duration, outcome Outcome) {
		scheduleEvent(delay, func() Event { return CounterReply{Name: action.Name, Outcome: outcome} })
	}
	elapsed := sim.now - time.Hour
	if counter := sim.counter; counter.outageLength > 0 && elapsed >= counter.outageStart &&
		elapsed < counter.outageStart+counter.outageLength {
		if counter.losesTotals {
			clear(sim.totals)
		}
		fail(sim.settings.CounterTimeout, TimedOut)
		return
	}
	busyUntil := &sim.shardBusyUntil[shardOf(action.Name)]
	callTime := time.Duration(counterShards * float64(time.Second) /
		(sim.counter.callsPerRequest * sim.requestRate * float64(sim.gatewayCount)))
	if *busyUntil > sim.now+160*ms {
		fail(2*ms, Rejected)
		return
	}
	*busyUntil = max(*busyUntil, sim.now) + callTime
	timesOut := *busyUntil+sim.counter.delay > sim.now+sim.settings.CounterTimeout || sim.rng.Float64() < sim.counter.lossShare
	if timesOut {
		fail(sim.settings.CounterTimeout, TimedOut)
	}
	sim.schedule(*busyUntil, func() {
		sim.totals[action.Name] += action.Delta
		total := sim.totals[action.Name]
		if !timesOut {
			scheduleEvent(sim.counter.delay, func() Event {
				return CounterReply{Name: action.Name, Outcome: Succeeded, Total: total}
			})
		}
	})
}

// shardOf returns the index of the counter shard that stores a name.
func shardOf(name string) int {
	sum := 0
	for _, b := range []byte(name) {
		sum = sum*31 + int(b)
	}
	return (sum%counterShards + counterShards) % counterShards
}

// simulate runs the simulation to its end. It returns the results of the gateways and of the reference policy.
func (sim *quotaSimulation) simulate() (actual, reference policyResults) {
	end := time.Hour + sim.duration
	if sim.restartedShare > 0 {
		sim.schedule(time.Hour+sim.restartAt, func() {
			for i := range sim.instances {
				if sim.rng.Float64() < sim.restartedShare {
					sim.startGateway(i)
				}
			}
		})
	}
	for sim.events.Len() > 0 {
		event := heap.Pop(&sim.events).(simulationEvent)
		if event.dueAt > end {
			break
		}
		sim.now = max(sim.now, event.dueAt)
		event.run()
	}
	sim.reference.offered = sim.actual.offered
	return sim.actual, sim.reference
}
