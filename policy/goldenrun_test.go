package policy

import (
	"container/heap"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// This file simulates the environment of a goldenScenario: the requests, the endpoints and the counter of several gateways.

// goldenEvent is a scheduled event of a gateway, or a scheduled function.
type goldenEvent struct {
	dueAt    time.Duration
	sequence int
	gateway  int
	event    Event
	callback func() // called instead of passing the event, unless nil
}

// goldenQueue is a heap of events, ordered by time and then by the order in which they were scheduled.
type goldenQueue []goldenEvent

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].sequence < q[j].sequence
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(x any)   { *q = append(*q, x.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// goldenRun is one run of a scenario with one seed on a simulated clock.
type goldenRun struct {
	goldenScenario
	t             *testing.T
	rng           *rand.Rand
	actionHash    hash.Hash
	now           time.Duration
	queue         goldenQueue
	lastSequence  int
	gateways      []*Gateway
	counterTotals map[string]float64
	endpoints     []Endpoint
	lastID        RequestID
	actionCounts  map[string]int // by kind of action
	attemptCounts map[RequestID]int
	endedAttempts map[string]bool // attempts whose end has been reported, by request and number
	answered      map[RequestID]bool
	hasEnded      bool              // no more requests arrive
	observe       func(message any) // receives each event and each action, unless nil
}

func newGoldenRun(t *testing.T, scenario goldenScenario, seed uint64, actionHash hash.Hash, actionCounts map[string]int) *goldenRun {
	return &goldenRun{goldenScenario: scenario, t: t, rng: rand.New(rand.NewPCG(seed, 22)), actionHash: actionHash,
		now: time.Hour, counterTotals: map[string]float64{}, attemptCounts: map[RequestID]int{},
		actionCounts: actionCounts, endedAttempts: map[string]bool{}, answered: map[RequestID]bool{}}
}

func (run *goldenRun) schedule(delay time.Duration, gateway int, event Event, callback func()) {
	run.lastSequence++
	heap.Push(&run.queue, goldenEvent{run.now + delay, run.lastSequence, gateway, event, callback})
}

// exponentialDuration draws an exponentially distributed time with the given mean.
func (run *goldenRun) exponentialDuration(mean time.Duration) time.Duration {
	return time.Duration(run.rng.ExpFloat64() * float64(mean))
}

func (run *goldenRun) simulate() {
	settings := goldenSettings()
	run.adjustSettings(&settings)
	for i := range run.goldenScenario.endpointCount {
		run.endpoints = append(run.endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), Zone: fmt.Sprint("z", i%3),
			Kind: fmt.Sprint("k", i%2), Cell: i % 5, State: Serving, Capacity: 1 + float64(i%3)})
	}
	for i := range goldenGateways {
		settings.GatewayIndex = i
		g, err := New(settings, run.rng.Uint64())
		if err != nil {
			run.t.Fatal(err)
		}
		run.gateways = append(run.gateways, g)
		run.schedule(0, i, EndpointsChanged{IsSnapshot: true, Endpoints: append([]Endpoint{}, run.endpoints...)}, nil)
		run.schedule(run.exponentialDuration(run.meanRequestInterval), i, nil, func() { run.scheduleRequest(i, settings) })
		run.schedule(run.exponentialDuration(run.meanChangeInterval), i, nil, func() { run.changeEndpoints(i) })
	}
	run.playUntil(time.Hour + goldenLength)
}

// playUntil plays the events that are due before a time.
func (run *goldenRun) playUntil(end time.Duration) {
	for len(run.queue) > 0 && run.queue[0].dueAt < end {
		event := heap.Pop(&run.queue).(goldenEvent)
		run.now = event.dueAt
		if event.callback != nil {
			event.callback()
			continue
		}
		run.report(event.event)
		for _, a := range run.gateways[event.gateway].Handle(run.now, event.event, nil) {
			run.report(a)
			run.handleAction(event.gateway, a)
		}
	}
}

func (run *goldenRun) report(message any) {
	if run.observe != nil {
		run.observe(message)
	}
}

// endpointByID returns the endpoint with an id.
func (run *goldenRun) endpointByID(id EndpointID) Endpoint {
	i := slices.IndexFunc(run.endpoints, func(e Endpoint) bool { return e.ID == id })
	return run.endpoints[i]
}

// scheduleRequest schedules a random request of gateway i for now, and the next call of itself.
func (run *goldenRun) scheduleRequest(i int, settings Settings) {
	if run.hasEnded {
		return
	}
	class := settings.Classes[run.rng.IntN(len(settings.Classes))]
	plan := settings.Plans[run.rng.IntN(len(settings.Plans))]
	run.lastID++
	id := run.lastID
	request := Request{ID: id, Class: class.Name, Plan: plan.Name, Customer: fmt.Sprint(plan.Name, "-", run.rng.IntN(3)),
		Deadline: run.now + time.Duration(run.rng.Float64()*float64(class.Deadline)), Units: 1 + 3*run.rng.Float64(),
		GatewaySpan: 1 + run.rng.IntN(2*settings.GatewayCount), FirstGateway: run.rng.IntN(settings.GatewayCount),
		IsRetry: run.rng.IntN(4) == 0}
	switch run.rng.IntN(60) {
	case 0:
		request.Class = "unknown"
	case 1:
		request.Plan, request.Customer = "unknown", "unknown"
	case 2:
		request.Deadline = run.now - ms
	}
	run.schedule(0, i, Arrival{request}, nil)
	if run.rng.IntN(20) == 0 {
		run.schedule(run.exponentialDuration(class.LatencyObjective), i, ClientDisconnected{ID: id}, nil)
	}
	run.schedule(run.exponentialDuration(run.meanRequestInterval), i, nil, func() { run.scheduleRequest(i, settings) })
}

// changeEndpoints schedules random changes of the endpoint list, a snapshot or a failure for gateway i, and the next call of
// itself.
func (run *goldenRun) changeEndpoints(i int) {
	event := EndpointsChanged{GatewaysPerEndpoint: float64(1 + run.rng.IntN(goldenGateways))}
	for range 1 + run.rng.IntN(3) {
		endpoint := &run.endpoints[run.rng.IntN(len(run.endpoints))]
		switch run.rng.IntN(5) {
		case 0:
			endpoint.State = Draining
		case 1:
			endpoint.State = Removed
		default:
			if endpoint.State != Serving || run.rng.IntN(2) == 0 {
				endpoint.StartedAt = run.now - run.exponentialDuration(time.Second)
			}
			endpoint.State = Serving
		}
		event.Endpoints = append(event.Endpoints, *endpoint)
	}
	switch run.rng.IntN(10) {
	case 0:
		event = EndpointsChanged{IsSnapshot: true}
		for _, endpoint := range run.endpoints {
			if endpoint.State != Removed {
				event.Endpoints = append(event.Endpoints, endpoint)
			}
		}
	case 1:
		event = EndpointsChanged{Failed: true}
	}
	run.schedule(0, i, event, nil)
	if run.rng.IntN(8) == 0 {
		run.schedule(0, i, HealthCheckEnded{Endpoint: run.endpoints[0].ID, Outcome: Succeeded, Latency: ms}, nil)
		run.schedule(0, i, GossipReceived{From: 1, Body: []byte("x")}, nil)
	}
	run.schedule(run.exponentialDuration(run.meanChangeInterval), i, nil, func() { run.changeEndpoints(i) })
}

// handleAction adds an action of gateway i to the hash and schedules the event that follows it.
func (run *goldenRun) handleAction(i int, a Action) {
	write := func(kind string, args ...any) {
		run.actionCounts[kind]++
		fmt.Fprintln(run.actionHash, append([]any{i, kind}, args...)...)
	}
	switch a := a.(type) {
	case Send:
		attempt := run.attemptCounts[a.ID]
		run.attemptCounts[a.ID]++
		write("send", a.ID, a.Endpoint, int64(a.AttemptDeadline))
		run.scheduleAttemptEnd(i, a.ID, attempt, a.Endpoint)
	case Cancel:
		write("cancel", a.ID, a.Attempt)
		run.schedule(ms, i, nil, func() { run.endAttempt(i, a.ID, a.Attempt, "", Cancelled, 5*ms) })
	case Reject:
		write("refuse", a.ID, int64(a.RetryAfter))
		run.recordFinalAnswer(a.ID)
	case Fail:
		write("fail", a.ID)
		run.recordFinalAnswer(a.ID)
	case SetTimer:
		write("timer", int64(a.Delay))
		run.schedule(a.Delay, i, TimerFired{}, nil)
	case IncrementCounter:
		write("count", a.Name, a.Delta, int64(a.TTL))
		run.replyToCounterCall(i, a)
	case CheckHealth:
		write("probe", a.Endpoint)
	case Gossip:
		write("tell", a.To, a.Body)
	case WatchEndpoints:
		write("watch")
	case FetchEndpoints:
		write("fetch")
	case CloseIdleConnections:
		write("close idle", a.Endpoint)
	case Log:
		write("log")
	default:
		run.t.Fatalf("got unknown action %T", a)
	}
}

// recordFinalAnswer records the final answer of a request, and fails the test if there already is one.
func (run *goldenRun) recordFinalAnswer(id RequestID) {
	if run.answered[id] {
		run.t.Errorf("request %d: got a second final answer, want one", id)
	}
	run.answered[id] = true
}

// scheduleAttemptEnd schedules the end of an attempt with a random latency and outcome.
func (run *goldenRun) scheduleAttemptEnd(i int, id RequestID, attempt int, endpoint EndpointID) {
	latency, outcome := 5*ms+run.exponentialDuration(20*ms), Succeeded
	if run.rng.IntN(25) == 0 {
		latency += run.exponentialDuration(400 * ms)
	}
	if run.rng.Float64() < run.endpointFaultShare {
		outcome = Outcome(run.rng.IntN(int(OutcomeCount)))
	}
	if outcome == Succeeded && run.rng.IntN(30) == 0 {
		run.schedule(latency/2, i, StreamStarted{ID: id, Attempt: attempt}, nil)
	}
	run.schedule(latency, i, nil, func() { run.endAttempt(i, id, attempt, endpoint, outcome, latency) })
}

// endAttempt reports the end of an attempt to its gateway, unless it has been reported already.
func (run *goldenRun) endAttempt(i int, id RequestID, attempt int, endpoint EndpointID, outcome Outcome, latency time.Duration) {
	key := fmt.Sprint(id, "/", attempt)
	if run.endedAttempts[key] {
		return
	}
	run.endedAttempts[key] = true
	event := AttemptEnded{ID: id, Attempt: attempt, Endpoint: endpoint, Outcome: outcome, Latency: latency}
	if run.rng.IntN(2) == 0 {
		event.LoadReport = LoadReport{"queue": float64(run.rng.IntN(3)), "inflight": float64(run.rng.IntN(9))}
	}
	if outcome == Succeeded {
		event.SettledUnits = 1 + 3*run.rng.Float64()
	}
	if event.RequestFinished = run.answered[id] || outcome == Succeeded; event.RequestFinished {
		run.answered[id] = true
	}
	run.schedule(0, i, event, nil)
}

// replyToCounterCall schedules the reply to a call of the counter, with a random failure for some calls. All calls take the
// same time, so replies for one name arrive in the order of the calls.
func (run *goldenRun) replyToCounterCall(i int, a IncrementCounter) {
	reply := CounterReply{Name: a.Name, Outcome: Succeeded}
	delay := run.counterDelay
	if run.rng.Float64() < run.counterFaultShare {
		reply.Outcome = []Outcome{Failed, Rejected, TimedOut, ConnectFailed, Reset, NotSent}[run.rng.IntN(6)]
	}
	if !reply.Outcome.NotExecuted() {
		run.counterTotals[a.Name] += a.Delta
	}
	if run.rng.IntN(2000) == 0 { // the counter restarts without its totals
		clear(run.counterTotals)
	}
	if reply.Outcome == Succeeded {
		reply.Total = run.counterTotals[a.Name]
	}
	run.schedule(delay, i, reply, nil)
}
