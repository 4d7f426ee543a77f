package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"lemontack/internal/subset"
)

const (
	slowStartStep   = 20 * ms // the tick interval for latency objectives of 1 s
	timeBeforeStart = 2 * time.Second
	timeAfterStart  = 5 * time.Second // the first part of slow start, when the budget is smallest
)

// slowStartScenario describes gateways that share endpoints of equal capacity, and the events to which they are exposed.
type slowStartScenario struct {
	gatewayCount, endpointCount int
	endpointRate                float64 // requests per second that a warm endpoint answers
	unevenTraffic               bool    // a tenth of the gateways receive half of the traffic
	subsetSize                  int     // approximate number of endpoints that each gateway uses; 0: all
	slowStartCase
}

// slowStartCase describes the starts, faults and load of a scenario.
type slowStartCase struct {
	starts         string  // endpoints that start; see slowStartRun.startEndpoints
	warmFault      string  // fault of the endpoints that stay warm: "", "slow", "full" or "silent"
	notifiedLate   bool    // each gateway is notified at a random time after 1 to 5 s
	restarts       string  // gateways that restart: "", "all" (1 s after the endpoints), "tenths" (a tenth every 0.5 s)
	load           float64 // offered requests, as a share of those that all endpoints answer when warm
	budgetMultiple float64 // Settings.SlowStartBudgetMultiple
}

func (scenario slowStartScenario) String() string {
	return fmt.Sprintf("%d gateways, uneven %v, a subset of %d of %d endpoints of %v requests per second, %+v",
		scenario.gatewayCount, scenario.unevenTraffic, cmp.Or(scenario.subsetSize, scenario.endpointCount),
		scenario.endpointCount, scenario.endpointRate, scenario.slowStartCase)
}

// slowStartAttempt is an attempt at a modelEndpoint.
type slowStartAttempt struct {
	gateway   *testGateway
	requestID RequestID
	number    int
	sentAt    time.Duration
	ended     bool // its end has been scheduled to be reported to the gateway
}

// modelEndpoint models an endpoint with a number of slots and a queue. In slow start its capacity is the minimum that the
// settings specify for its age.
type modelEndpoint struct {
	Endpoint
	slots, busySlots int
	queue            []*slowStartAttempt
	fault            string
	incarnation      int             // number of restarts; a restart drops the attempts
	sendTimes        []time.Duration // times of the attempts since its start
}

// slowStartEvent is an event for a gateway, the answer to an attempt by an endpoint, or the deadline of an attempt.
type slowStartEvent struct {
	gateway     *testGateway
	event       Event
	endpoint    *modelEndpoint
	attempt     *slowStartAttempt
	incarnation int
}

// slowStartRun is one seeded run of a scenario on a simulated clock.
type slowStartRun struct {
	slowStartScenario
	t                *testing.T
	settings         Settings
	rng              *rand.Rand
	seed             uint64
	now              time.Duration
	gateways         []*testGateway
	trafficShares    []float64 // cumulative share of the traffic, by gateway
	endpoints        map[EndpointID]*modelEndpoint
	startedEndpoints []*modelEndpoint // by startEndpoints
	subsets          map[*testGateway]*endpointSubset
	dueEvents        map[time.Duration][]slowStartEvent
	requests         map[RequestID]*slowStartRequest
	lastID           RequestID
	sentToSlowStart  int // attempts at endpoints in slow start since startEndpoints
	sentTotal        int // attempts at all endpoints since startEndpoints
}

// slowStartRequest is the state of a request outside of the gateway.
type slowStartRequest struct {
	deadline time.Duration
	attempts []*slowStartAttempt
	answered bool
}

func newSlowStartRun(t *testing.T, scenario slowStartScenario, seed uint64) *slowStartRun {
	run := &slowStartRun{slowStartScenario: scenario, t: t, settings: testSettings(), rng: rand.New(rand.NewPCG(seed, 11)),
		seed: seed, now: time.Minute, endpoints: map[EndpointID]*modelEndpoint{}, subsets: map[*testGateway]*endpointSubset{},
		dueEvents: map[time.Duration][]slowStartEvent{}, requests: map[RequestID]*slowStartRequest{}}
	for i := range run.settings.Classes {
		run.settings.Classes[i].LatencyObjective = ticksPerObjective * slowStartStep
	}
	run.settings.GatewayCount, run.settings.SlowStartBudgetMultiple = scenario.gatewayCount, scenario.budgetMultiple
	for i := range scenario.endpointCount {
		run.addEndpoint(EndpointID(fmt.Sprintf("old%03d", i)), 0)
	}
	sum := 0.0
	for i := range scenario.gatewayCount {
		weight := 1.0
		if busyGateways := max(1, scenario.gatewayCount/10); scenario.unevenTraffic && i < busyGateways {
			weight = float64(max(1, scenario.gatewayCount-busyGateways)) / float64(busyGateways)
		}
		sum += weight
		run.trafficShares = append(run.trafficShares, sum)
		run.gateways = append(run.gateways, run.startGateway(i))
	}
	return run
}

// startGateway starts a gateway with the current endpoint list.
func (run *slowStartRun) startGateway(index int) *testGateway {
	settings := run.settings
	settings.GatewayIndex = index
	run.seed += 1 << 20
	gateway, err := New(settings, run.seed+uint64(index))
	if err != nil {
		run.t.Fatal(err)
	}
	g := &testGateway{T: run.t, gateway: gateway, now: run.now}
	if run.subsetSize > 0 {
		run.subsets[g] = newEndpointSubset(index, settings.GatewayCount, run.subsetSize, run.slowStartScenario.endpointCount)
	}
	run.deliver(g, run.subsetOf(g, EndpointsChanged{IsSnapshot: true, Endpoints: run.endpointList()}))
	return g
}

// endpointSubset selects a subset of a long endpoint list for one gateway.
type endpointSubset struct {
	*subset.Subset
	ids map[EndpointID]bool
}

func newEndpointSubset(index, gateways, targetSize, maxSize int) *endpointSubset {
	config := subset.Config{Index: index, GatewayCount: gateways, TargetSize: targetSize, MaxSize: maxSize}
	return &endpointSubset{subset.New(config), map[EndpointID]bool{}}
}

func (sub *endpointSubset) add(id EndpointID) {
	if sub.Contains(string(id), "") {
		sub.ids[id] = true
	}
	for sub.IsOverfull(len(sub.ids)) {
		sub.Narrow()
		maps.DeleteFunc(sub.ids, func(id EndpointID, _ bool) bool { return !sub.Contains(string(id), "") })
	}
}

// subsetOf returns the part of a list or a change that is in the subset of a gateway.
func (run *slowStartRun) subsetOf(g *testGateway, event EndpointsChanged) EndpointsChanged {
	sub := run.subsets[g]
	if sub == nil {
		return event
	}
	if event.IsSnapshot {
		for _, endpoint := range event.Endpoints {
			sub.add(endpoint.ID)
		}
	}
	event.Endpoints = slices.DeleteFunc(slices.Clone(event.Endpoints),
		func(endpoint Endpoint) bool { return !sub.Contains(string(endpoint.ID), "") })
	event.GatewaysPerEndpoint = sub.GatewaysPerEndpoint(0, len(sub.ids))
	return event
}

func (run *slowStartRun) addEndpoint(id EndpointID, startedAt time.Duration) *modelEndpoint {
	endpoint := &modelEndpoint{Endpoint: Endpoint{ID: id, State: Serving, StartedAt: startedAt},
		slots: max(1, int(run.endpointRate/15))}
	run.endpoints[id] = endpoint
	return endpoint
}

func (run *slowStartRun) endpointList() (out []Endpoint) {
	for _, endpoint := range run.endpoints {
		out = append(out, endpoint.Endpoint)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// slowStartWeight returns the minimum share of its full capacity that the settings specify for an endpoint at a time.
func (run *slowStartRun) slowStartWeight(endpoint *modelEndpoint, at time.Duration) float64 {
	if endpoint.StartedAt == 0 {
		return 1
	}
	return min(1, run.settings.SlowStartMinWeight+
		(1-run.settings.SlowStartMinWeight)*(at-endpoint.StartedAt).Seconds()/run.settings.SlowStartWindow.Seconds())
}

// deliver passes an event to a gateway and performs the actions that it returns.
func (run *slowStartRun) deliver(g *testGateway, event Event) {
	g.now = run.now
	for _, action := range g.handle(event) {
		switch action := action.(type) {
		case Send:
			run.send(g, action)
		case Cancel:
			attempt := run.requests[action.ID].attempts[action.Attempt]
			run.endAttempt(attempt, Cancelled, run.now+slowStartStep, nil)
		case Reject:
			run.requests[action.ID].answered = true
		case Fail:
			run.requests[action.ID].answered = true
		}
	}
}

func (run *slowStartRun) schedule(at time.Duration, event slowStartEvent) {
	at = max(run.now+slowStartStep, at.Truncate(slowStartStep))
	run.dueEvents[at] = append(run.dueEvents[at], event)
}

// send sends an attempt to its endpoint. The attempt counts for the budget with any outcome.
func (run *slowStartRun) send(g *testGateway, action Send) {
	request, endpoint := run.requests[action.ID], run.endpoints[action.Endpoint]
	attempt := &slowStartAttempt{gateway: g, requestID: action.ID, number: len(request.attempts), sentAt: run.now}
	request.attempts = append(request.attempts, attempt)
	if run.now >= time.Minute+timeBeforeStart {
		run.sentTotal++
		if endpoint.StartedAt > 0 {
			run.sentToSlowStart++
		}
	}
	if endpoint.StartedAt > 0 {
		endpoint.sendTimes = append(endpoint.sendTimes, run.now)
	}
	deadline := request.deadline
	if action.AttemptDeadline > 0 {
		deadline = min(deadline, action.AttemptDeadline)
	}
	run.schedule(deadline, slowStartEvent{attempt: attempt})
	switch {
	case endpoint.State == Draining:
		run.endAttempt(attempt, Rejected, run.now+slowStartStep, nil)
	case endpoint.fault == "silent":
	case endpoint.fault == "full" || len(endpoint.queue) >= 4*endpoint.slots:
		run.endAttempt(attempt, Rejected, run.now+slowStartStep, LoadReport{"queue": float64(len(endpoint.queue))})
	default:
		endpoint.queue = append(endpoint.queue, attempt)
		run.serve(endpoint)
	}
}

// serve fills the slots of an endpoint from its queue. The time in a slot is exponentially distributed, with a longer mean in
// slow start.
func (run *slowStartRun) serve(endpoint *modelEndpoint) {
	for endpoint.busySlots < endpoint.slots && len(endpoint.queue) > 0 {
		attempt := endpoint.queue[0]
		endpoint.queue = endpoint.queue[1:]
		if attempt.ended {
			continue
		}
		latency := run.rng.ExpFloat64() * float64(endpoint.slots) / (run.endpointRate * run.slowStartWeight(endpoint, run.now))
		if endpoint.fault == "slow" {
			latency *= 8
		}
		endpoint.busySlots++
		run.schedule(run.now+time.Duration(latency*float64(time.Second)),
			slowStartEvent{endpoint: endpoint, attempt: attempt, incarnation: endpoint.incarnation})
	}
}

// endAttempt schedules the report of the end of an attempt to its gateway, unless it has been scheduled already.
func (run *slowStartRun) endAttempt(attempt *slowStartAttempt, outcome Outcome, at time.Duration, loadReport LoadReport) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	run.schedule(at, slowStartEvent{gateway: attempt.gateway, attempt: attempt,
		event: AttemptEnded{ID: attempt.requestID, Attempt: attempt.number, Outcome: outcome, Latency: at - attempt.sentAt,
			LoadReport: loadReport}})
}

func (run *slowStartRun) handleEvent(event slowStartEvent) {
	switch {
	case event.endpoint != nil && event.incarnation == event.endpoint.incarnation: // the endpoint has answered the attempt
		event.endpoint.busySlots--
		run.endAttempt(event.attempt, Succeeded, run.now, LoadReport{"queue": float64(len(event.endpoint.queue))})
		run.serve(event.endpoint)
	case event.endpoint != nil:
	case event.event == nil: // the deadline of the attempt has passed
		run.endAttempt(event.attempt, TimedOut, run.now, nil)
	default:
		if !slices.Contains(run.gateways, event.gateway) {
			return // the gateway has been restarted
		}
		if ended, ok := event.event.(AttemptEnded); ok {
			request := run.requests[ended.ID]
			request.answered = request.answered || ended.Outcome == Succeeded
			ended.RequestFinished = request.answered
			event.event = ended
		}
		run.deliver(event.gateway, event.event)
	}
}

// startEndpoints starts endpoints according to starts and notifies the gateways. "one" adds one endpoint, and "plus" as many as
// there are. "half" and "all" replace that part of the old endpoints, which drain. "few" replaces all by half as many, and
// "quarter" all by a quarter as many. "same half" and "same all" restart that part of the endpoints under the same IDs.
func (run *slowStartRun) startEndpoints() {
	endpointCount := run.slowStartScenario.endpointCount
	n := map[string]int{"half": endpointCount / 2, "all": endpointCount, "few": endpointCount, "quarter": endpointCount,
		"same half": endpointCount / 2, "same all": endpointCount}[run.starts]
	var changed []Endpoint
	for i := range n {
		old := run.endpoints[EndpointID(fmt.Sprintf("old%03d", i))]
		if strings.HasPrefix(run.starts, "same") { // queued attempts are reset
			for _, attempt := range old.queue {
				run.endAttempt(attempt, Reset, run.now+slowStartStep, nil)
			}
			old.incarnation, old.busySlots, old.queue, old.StartedAt = old.incarnation+1, 0, nil, run.now
			run.startedEndpoints = append(run.startedEndpoints, old)
			continue
		}
		old.State = Draining
		changed = append(changed, old.Endpoint)
		if !(run.starts == "few" && i%2 > 0 || run.starts == "quarter" && i%4 > 0) {
			run.startedEndpoints = append(run.startedEndpoints, run.addEndpoint(EndpointID(fmt.Sprintf("new%03d", i)), run.now))
		}
	}
	for i := range map[string]int{"one": 1, "plus": endpointCount}[run.starts] {
		run.startedEndpoints = append(run.startedEndpoints, run.addEndpoint(EndpointID(fmt.Sprintf("new%03d", i)), run.now))
	}
	for _, endpoint := range run.endpoints {
		if endpoint.StartedAt == 0 && endpoint.State == Serving {
			endpoint.fault = run.warmFault
		}
	}
	for _, endpoint := range run.startedEndpoints {
		changed = append(changed, endpoint.Endpoint)
	}
	for _, g := range run.gateways {
		at := run.now + slowStartStep + time.Duration(run.rng.Int64N(int64(100*ms)))
		if run.notifiedLate {
			at = run.now + time.Second + time.Duration(run.rng.Int64N(int64(4*time.Second)))
		}
		run.schedule(at, slowStartEvent{gateway: g, event: run.subsetOf(g, EndpointsChanged{Endpoints: changed})})
	}
}

// restartGateways replaces gateways by new ones without their state, according to restarts.
func (run *slowStartRun) restartGateways(since time.Duration) {
	gatewayCount := len(run.gateways)
	tenth := int((since - time.Second) / (500 * ms))
	for i := range run.gateways {
		restartAll := run.restarts == "all" && since == time.Second
		if restartAll || run.restarts == "tenths" && since >= time.Second && (since-time.Second)%(500*ms) == 0 &&
			i*10/gatewayCount == tenth {
			run.gateways[i] = run.startGateway(i)
		}
	}
}

// poisson draws a Poisson-distributed number.
func (run *slowStartRun) poisson(mean float64) int {
	count, limit := 0, math.Exp(-mean)
	for product := run.rng.Float64(); product > limit; product *= run.rng.Float64() {
		count++
	}
	return count
}

func (run *slowStartRun) simulate() {
	start := run.now + timeBeforeStart
	for ; run.now < start+timeAfterStart; run.now += slowStartStep {
		if run.now == start {
			run.startEndpoints()
		}
		run.restartGateways(run.now - start)
		for _, event := range run.dueEvents[run.now] {
			run.handleEvent(event)
		}
		delete(run.dueEvents, run.now)
		for range run.poisson(run.load * run.endpointRate * float64(run.slowStartScenario.endpointCount) *
			slowStartStep.Seconds()) {
			run.lastID++
			i := sort.SearchFloat64s(run.trafficShares, run.rng.Float64()*run.trafficShares[len(run.trafficShares)-1])
			request := &slowStartRequest{deadline: run.now + 2*time.Second}
			run.requests[run.lastID] = request
			class := []string{"read", "read", "read", "book", "pay"}[run.rng.IntN(5)]
			run.deliver(run.gateways[i], Arrival{Request{ID: run.lastID, Class: class, Plan: "free", Customer: "c", Units: 1,
				Deadline: request.deadline, GatewaySpan: run.slowStartScenario.gatewayCount}})
		}
		for _, g := range run.gateways {
			run.deliver(g, TimerFired{})
		}
	}
}

// budgetPeriod describes the attempts at an endpoint in slow start within one SlowStartBudgetPeriod.
type budgetPeriod struct {
	endpoint          EndpointID
	ageAtStart        time.Duration // age of the endpoint at the start of the period
	sendCount         int
	budget, allowance float64 // attempts: the limit that is checked, and N
}

// worstPeriod returns the period that exceeds its budget most, or comes nearest to it, among all periods that begin with an
// attempt at an endpoint in slow start. N is computed for the weight at the start of the period, which is the minimum within
// it. overBudget is the number of endpoints with a period over budget.
func (run *slowStartRun) worstPeriod() (worst budgetPeriod, overBudget int) {
	worstExcess := math.Inf(-1)
	for _, endpoint := range run.startedEndpoints {
		isOver := false
		for i, from := range endpoint.sendTimes {
			to, _ := slices.BinarySearch(endpoint.sendTimes, from+run.settings.SlowStartBudgetPeriod)
			allowance := run.settings.SlowStartBudgetMultiple * run.endpointRate * run.slowStartWeight(endpoint, from) *
				run.settings.SlowStartBudgetPeriod.Seconds()
			budget := allowance + 2*math.Sqrt(allowance) + 2
			if excess := float64(to-i) - budget; excess > worstExcess {
				worstExcess, worst = excess, budgetPeriod{endpoint.ID, from - endpoint.StartedAt, to - i, budget, allowance}
			}
			isOver = isOver || float64(to-i) > budget
		}
		if isOver {
			overBudget++
		}
	}
	return worst, overBudget
}

// All gateways together send at most N + 2*sqrt(N) + 2 attempts to an endpoint in slow start in each budget period, where N is
// the number that the settings allow for an endpoint of that age. This holds for 1 to 300 gateways, for even and uneven traffic,
// and for small and large endpoints, even if few endpoints are warm or the gateways have just restarted.
func TestSlowStartBudgetHoldsInEachPeriodOverAllGateways(t *testing.T) {
	fleets := []slowStartScenario{{gatewayCount: 1, endpointCount: 4, endpointRate: 20},
		{gatewayCount: 4, endpointCount: 10, endpointRate: 20}, {gatewayCount: 20, endpointCount: 20, endpointRate: 5},
		{gatewayCount: 30, endpointCount: 4, endpointRate: 20},
		{gatewayCount: 300, endpointCount: 4, endpointRate: 100}, {gatewayCount: 300, endpointCount: 20, endpointRate: 20}}
	cases := []slowStartCase{{starts: "one"}, {starts: "plus"}, {starts: "half"}, {starts: "half", load: 1.05}, {starts: "all"},
		{starts: "all", restarts: "all"}, {starts: "same half"}, {starts: "same all"}, {starts: "same all", load: 1.05},
		{starts: "half", restarts: "all"}, {starts: "half", restarts: "tenths"}, {starts: "half", notifiedLate: true},
		{starts: "few"}, {starts: "quarter"}, {starts: "quarter", restarts: "all"}, {starts: "quarter", notifiedLate: true},
		{starts: "half", warmFault: "slow"}, {starts: "half", warmFault: "full"}, {starts: "one", warmFault: "full"},
		{starts: "half", warmFault: "silent"}, {starts: "all", budgetMultiple: 1.5},
		{starts: "all", restarts: "all", budgetMultiple: 1.5},
		{starts: "all", budgetMultiple: 2}, {starts: "all", restarts: "all", budgetMultiple: 2},
		{starts: "half", notifiedLate: true, budgetMultiple: 2}, {starts: "quarter", budgetMultiple: 2},
		{starts: "same half", load: 1.05, budgetMultiple: 2},
		{starts: "half", warmFault: "full", budgetMultiple: 2}}
	scenarios := []slowStartScenario{{gatewayCount: 300, endpointCount: 200, endpointRate: 5,
		slowStartCase: slowStartCase{starts: "quarter"}}}
	for i, c := range []slowStartCase{{starts: "one"}, {starts: "quarter"}, {starts: "all", restarts: "all"},
		{starts: "same half"}, {starts: "half", notifiedLate: true}} {
		scenarios = append(scenarios, slowStartScenario{gatewayCount: 300, endpointCount: 400,
			endpointRate: []float64{5, 20}[i%2], unevenTraffic: i > 2, subsetSize: 25, slowStartCase: c})
	}
	for i, c := range cases {
		for _, scenario := range fleets {
			scenario.slowStartCase, scenario.unevenTraffic = c, i%2 > 0 && scenario.gatewayCount > 1
			if scenario.gatewayCount == 300 { // half of these runs, which take longest
				if scenario.endpointCount == 4 == (i%4 < 2) {
					scenarios = append(scenarios, scenario)
				}
				continue
			}
			scenarios = append(scenarios, scenario)
			if scenario.gatewayCount > 1 {
				scenario.unevenTraffic = !scenario.unevenTraffic
				scenarios = append(scenarios, scenario)
			}
		}
	}
	for _, scenario := range scenarios {
		scenario.load, scenario.budgetMultiple = cmp.Or(scenario.load, 0.7), cmp.Or(scenario.budgetMultiple, 4)
		run := newSlowStartRun(t, scenario, 1)
		run.simulate()
		if worst, overBudget := run.worstPeriod(); overBudget > 0 {
			t.Errorf("%v: got %d of %d endpoints over budget, want none; %s got %d attempts from age %v, N is %.1f, the budget %.1f",
				scenario, overBudget,
				len(run.startedEndpoints), worst.endpoint, worst.sendCount, worst.ageAtStart, worst.allowance, worst.budget)
		}
	}
}

// Endpoints in slow start receive a share of the attempts from the start: the budget is not met by sending nothing.
func TestEndpointsInSlowStartTakeTheirShareOfTheRequests(t *testing.T) {
	for _, test := range []struct {
		scenario slowStartScenario
		want     float64 // minimum share of the attempts of the first 5 s
	}{
		{slowStartScenario{gatewayCount: 30, endpointCount: 10, endpointRate: 100}, 0.15},
		{slowStartScenario{gatewayCount: 30, endpointCount: 20, endpointRate: 20}, 0.15},
		{slowStartScenario{gatewayCount: 300, endpointCount: 4, endpointRate: 100}, 0.1},
		{slowStartScenario{gatewayCount: 300, endpointCount: 20, endpointRate: 20}, 0.02},
	} {
		sum := 0.0
		test.scenario.slowStartCase = slowStartCase{starts: "half", load: 0.7, budgetMultiple: 4}
		for seed := range uint64(2) {
			run := newSlowStartRun(t, test.scenario, seed+1)
			run.simulate()
			sum += float64(run.sentToSlowStart) / float64(run.sentTotal) / 2
		}
		t.Logf("%v: the half in slow start took %.3f of the attempts", test.scenario, sum)
		if sum < test.want {
			t.Errorf("%v: got %.3f of the attempts at the half in slow start, want at least %.2f", test.scenario, sum, test.want)
		}
	}
}
