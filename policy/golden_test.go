package policy

import (
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"
)

// This file detects any change of the decisions: several gateways receive seeded random events of every type, and a hash of
// all their actions, in order, is compared with a constant. A refactoring keeps the hashes; a commit that changes them explains
// the change of behaviour. The hashes are valid on amd64, and on other architectures if the compiler fuses no multiplication
// with an addition; README tells the flags for arm64.

// goldenHashes holds the hash of each scenario, over all seeds.
var goldenHashes = map[string]string{
	"leases":                          "723373da3334cb991807f677810bc544ac12eb07d0ca67384c77fddacd21076f",
	"hedging off":                     "9c93cc49bf5673629a6f5fd5e8abaef9fe037bf696f9acdaadaeb09242f9075d",
	"central buckets":                 "deccead10b9798fc7cd94bba9ec3faeccbe1363de97f736bced24a250aa20b5b",
	"central buckets without counter": "62378cff3f8db048beeb322c092306ab29307751467ccd9c66820a970d359223",
	"counter slow and failing":        "c40aaf0cbbdd5d0ffa5fdd7fe5c46c44aecf2ff7809a71db70efed9b6bed7fac",
	"overload":                        "3e7fab31f071a40d7c98be45727ed6cbfc266c2d466af3b77ca687b55543d7fd",
	"slow start":                      "7291a13d6c5de04ed21c3f99b9fb1d61cef46602e3dd6924fb8a5451b3bcd9c2",
	"long list":                       "61542607c782a2bae0e96c7a451099f42f61d035c002f2edb319c1ecc88dc6bb",
	"asked list":                      "df645a2b5c753abb733f846f04e53e42642118d892cd2668edb947ea5a108df3",
}

const (
	goldenSeeds     = 3
	goldenLength    = 20 * time.Second
	goldenGateways  = 4
	goldenEndpoints = 24
)

// goldenScenario is a variant of the settings and the simulated environment.
type goldenScenario struct {
	name                string
	adjustSettings      func(*Settings)
	endpointCount       int
	counterDelay        time.Duration // time from a call to its reply
	counterFaultShare   float64       // share of the calls that do not succeed
	endpointFaultShare  float64       // share of the attempts with a random outcome
	meanChangeInterval  time.Duration // mean time between two endpoint list events of one gateway
	meanRequestInterval time.Duration // mean time between two requests of one gateway
}

func goldenScenarios() []goldenScenario {
	base := goldenScenario{endpointCount: goldenEndpoints, counterDelay: 4 * ms, counterFaultShare: 0.02,
		endpointFaultShare: 0.05, meanChangeInterval: 800 * ms, meanRequestInterval: 9 * ms}
	with := func(name string, change func(*goldenScenario)) goldenScenario {
		scenario := base
		scenario.name, scenario.adjustSettings = name, func(*Settings) {}
		change(&scenario)
		return scenario
	}
	return []goldenScenario{
		with("leases", func(*goldenScenario) {}),
		with("hedging off", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.HedgingEnabled, settings.MayCancel = false, false }
		}),
		with("central buckets", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.GatewayCount = 60 }
		}),
		with("central buckets without counter", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.GatewayCount, settings.HasSharedCounter = 60, false }
		}),
		with("counter slow and failing", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.GatewayCount = 60 }
			scenario.counterDelay, scenario.counterFaultShare = 30*ms, 0.4
		}),
		with("overload", func(scenario *goldenScenario) {
			scenario.meanRequestInterval, scenario.endpointFaultShare, scenario.endpointCount = 2*ms, 0.3, 6
		}),
		with("slow start", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.HandshakePrice, settings.CrossZonePrice = 0.2, 0.1 }
			scenario.meanChangeInterval = 150 * ms
		}),
		with("long list", func(scenario *goldenScenario) { scenario.endpointCount = 600 }),
		with("asked list", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.PollEndpoints, settings.MayCheckHealth = true, true }
			scenario.counterFaultShare, scenario.endpointFaultShare = 0.2, 0.2
		}),
	}
}

func goldenSettings() Settings {
	return Settings{GatewayCount: goldenGateways, Zone: "z0", MaxUnits: 4, MaxAttempts: 3, MaxRetryAfter: 2 * time.Second,
		MayCancel: true, HedgingEnabled: true, HasSharedCounter: true, CounterTimeout: 40 * ms,
		ConnectionIdleTimeout: 5 * time.Second, SlowStartMinWeight: 0.2, SlowStartWindow: 4 * time.Second,
		SlowStartBudgetMultiple: 2, SlowStartBudgetPeriod: time.Second, DrainGracePeriod: time.Second,
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyObjective: 200 * ms, Deadline: 900 * ms, LateWeight: 0.4,
				Idempotency: Idempotent},
			{Name: "book", PriorityWeight: 4, LatencyObjective: 300 * ms, Deadline: 1200 * ms, LateWeight: 0,
				Idempotency: IdempotencyKey, DeduplicationScope: ScopeZone,
				DeduplicationWindow: 800 * ms},
			{Name: "key", PriorityWeight: 2, LatencyObjective: 250 * ms, Deadline: time.Second, LateWeight: 0.1,
				Idempotency: IdempotencyKey, DeduplicationScope: ScopeAll,
				DeduplicationWindow: 2 * time.Second},
			{Name: "pay", PriorityWeight: 9, LatencyObjective: 400 * ms, Deadline: 1500 * ms, LateWeight: 0.2,
				Idempotency: NonIdempotent}},
		Plans: []Plan{
			{Name: "rate", Price: 1, Rate: 40, Burst: 30, OverQuotaWeight: 0.2, OverQuotaCost: 0.5},
			{Name: "paid", Price: 3, Rate: 25, Burst: 60, OverQuotaWeight: 0.5, OverQuotaCost: 0.1, SettledByAnswer: true},
			{Name: "open", Price: 2, MaxConcurrency: 3, OverQuotaCost: 1.5},
			{Name: "both", Price: 2, Rate: 30, Burst: 40, MaxConcurrency: 2, OverQuotaWeight: 0.1, OverQuotaCost: 0.8},
			{Name: "ceiling", Price: 1, Rate: 20, Burst: 25, OverQuotaWeight: 0.6, OverQuotaCost: 0.2, CeilingRate: 30,
				CeilingBurst: 45, CeilingTolerance: 0.1},
			{Name: "none", Price: 0.5}}}
}

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
	hasEnded      bool // no more requests arrive
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
		for _, a := range run.gateways[event.gateway].Handle(run.now, event.event, nil) {
			run.handleAction(event.gateway, a)
		}
	}
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

func TestDecisionsAreUnchanged(t *testing.T) {
	for _, scenario := range goldenScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			actionHash, actionCounts := sha256.New(), map[string]int{}
			for seed := range uint64(goldenSeeds) {
				newGoldenRun(t, scenario, seed, actionHash, actionCounts).simulate()
			}
			t.Log("actions:", actionCounts)
			if got := hex.EncodeToString(actionHash.Sum(nil)); got != goldenHashes[scenario.name] {
				t.Errorf("got hash %s of all actions, want %s", got, goldenHashes[scenario.name])
			}
		})
	}
}

// A customer that a request, a call or a permit still seems to refer to would be kept for good. Whatever the events, all customers
// are forgotten once no more requests arrive, and so are all requests.
func TestNothingIsKeptOnceNoMoreRequestsArrive(t *testing.T) {
	const (
		// A customer asks for about 300 units in goldenLength, and with 60 gateways a gateway's share of a ceiling refills by half a
		// unit a second. So an exceeded ceiling is owed for 10 min at most, the longest of all.
		length = 12 * time.Minute
		seed   = 3
	)
	for _, scenario := range goldenScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			run := newGoldenRun(t, scenario, seed, sha256.New(), map[string]int{})
			run.simulate()
			run.hasEnded = true
			for _, g := range run.gateways {
				if g.quota.CustomerCount() == 0 {
					t.Fatal("got no customer while requests arrive, want some")
				}
			}
			run.playUntil(run.now + length)
			for i, g := range run.gateways {
				if customers, requests := g.quota.CustomerCount(), len(g.requestsByID); customers > 0 || requests > 0 {
					t.Errorf("gateway %d: got %d customers and %d requests at the end, want none", i, customers, requests)
				}
			}
		})
	}
}
