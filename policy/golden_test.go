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

// This file pins every decision of the module: seeded random events of every type drive several gateways, and a hash of
// all their actions, in their order, is compared with a constant. A refactoring leaves the hashes as they are; a change
// of behaviour changes them, and its commit says why. The hashes were taken on amd64.

// goldenHashes are the hashes by scenario, each over all of goldenSeeds.
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

// goldenScenario is a variant of the settings and of what happens.
type goldenScenario struct {
	name           string
	adjust         func(*Settings)
	endpointCount  int
	counterDelay   time.Duration // mean of a call's time
	counterFaults  float64       // share of the calls that end otherwise than done
	endpointFaults float64       // share of the attempts that do
	changeEvery    time.Duration // mean time between two changes of the endpoint list of one gateway
	requestEvery   time.Duration // mean time between two requests of one gateway
}

func goldenScenarios() []goldenScenario {
	base := goldenScenario{endpointCount: goldenEndpoints, counterDelay: 4 * ms, counterFaults: 0.02, endpointFaults: 0.05,
		changeEvery: 800 * ms, requestEvery: 9 * ms}
	with := func(name string, change func(*goldenScenario)) goldenScenario {
		s := base
		s.name, s.adjust = name, func(*Settings) {}
		change(&s)
		return s
	}
	return []goldenScenario{
		with("leases", func(*goldenScenario) {}),
		with("hedging off", func(s *goldenScenario) {
			s.adjust = func(set *Settings) { set.HedgingEnabled, set.MayCancel = false, false }
		}),
		with("central buckets", func(s *goldenScenario) {
			s.adjust = func(set *Settings) { set.GatewayCount = 60 }
		}),
		with("central buckets without counter", func(s *goldenScenario) {
			s.adjust = func(set *Settings) { set.GatewayCount, set.HasSharedCounter = 60, false }
		}),
		with("counter slow and failing", func(s *goldenScenario) {
			s.adjust = func(set *Settings) { set.GatewayCount = 60 }
			s.counterDelay, s.counterFaults = 30*ms, 0.4
		}),
		with("overload", func(s *goldenScenario) { s.requestEvery, s.endpointFaults, s.endpointCount = 2*ms, 0.3, 6 }),
		with("slow start", func(s *goldenScenario) {
			s.adjust = func(set *Settings) { set.HandshakePrice, set.CrossZonePrice = 0.2, 0.1 }
			s.changeEvery = 150 * ms
		}),
		with("long list", func(s *goldenScenario) { s.endpointCount = 600 }),
		with("asked list", func(s *goldenScenario) {
			s.adjust = func(set *Settings) { set.PollEndpoints, set.MayCheckHealth = true, true }
			s.counterFaults, s.endpointFaults = 0.2, 0.2
		}),
	}
}

func goldenSettings() Settings {
	return Settings{GatewayCount: goldenGateways, Zone: "z0", MaxUnits: 4, MaxAttempts: 3, MaxRetryAfter: 2 * time.Second,
		MayCancel: true, HedgingEnabled: true, HasSharedCounter: true, CounterTimeout: 40 * ms, ConnectionIdleTimeout: 5 * time.Second,
		SlowStartMinWeight: 0.2, SlowStartWindow: 4 * time.Second, SlowStartBudgetMultiple: 2, SlowStartBudgetSpan: time.Second, DrainGracePeriod: time.Second,
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyObjective: 200 * ms, Deadline: 900 * ms, LateWeight: 0.4, Idempotency: Idempotent},
			{Name: "book", PriorityWeight: 4, LatencyObjective: 300 * ms, Deadline: 1200 * ms, LateWeight: 0, Idempotency: IdempotencyKey, DeduplicationScope: ScopeZone,
				DeduplicationWindow: 800 * ms},
			{Name: "key", PriorityWeight: 2, LatencyObjective: 250 * ms, Deadline: time.Second, LateWeight: 0.1, Idempotency: IdempotencyKey, DeduplicationScope: ScopeAll,
				DeduplicationWindow: 2 * time.Second},
			{Name: "pay", PriorityWeight: 9, LatencyObjective: 400 * ms, Deadline: 1500 * ms, LateWeight: 0.2, Idempotency: NonIdempotent}},
		Plans: []Plan{
			{Name: "rate", Price: 1, Rate: 40, Burst: 30, OverQuotaWeight: 0.2, OverQuotaCost: 0.5},
			{Name: "paid", Price: 3, Rate: 25, Burst: 60, OverQuotaWeight: 0.5, OverQuotaCost: 0.1, SettledByReply: true},
			{Name: "open", Price: 2, MaxConcurrency: 3, OverQuotaCost: 1.5},
			{Name: "both", Price: 2, Rate: 30, Burst: 40, MaxConcurrency: 2, OverQuotaWeight: 0.1, OverQuotaCost: 0.8},
			{Name: "ceiling", Price: 1, Rate: 20, Burst: 25, OverQuotaWeight: 0.6, OverQuotaCost: 0.2, CeilingRate: 30,
				CeilingBurst: 45, CeilingTolerance: 0.1},
			{Name: "none", Price: 0.5}}}
}

// goldenEvent is an event that is due at a gateway.
type goldenEvent struct {
	at      time.Duration
	number  int
	gateway int
	event   Event
	then    func() // instead of the event
}

type goldenQueue []goldenEvent

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(x any)   { *q = append(*q, x.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// goldenRun is one run of a scenario on a simulated clock.
type goldenRun struct {
	goldenScenario
	t         *testing.T
	rng       *rand.Rand
	sum       hash.Hash
	now       time.Duration
	queue     goldenQueue
	number    int
	gateways  []*Gateway
	totals    map[string]float64
	endpoints []Endpoint
	lastID    RequestID
	seen      map[string]int // actions by kind
	attempts  map[RequestID]int
	ended     map[string]bool // attempts that have had their end
	final     map[RequestID]bool
}

func (run *goldenRun) push(after time.Duration, gateway int, event Event, then func()) {
	run.number++
	heap.Push(&run.queue, goldenEvent{run.now + after, run.number, gateway, event, then})
}

// about is a random time with a mean.
func (run *goldenRun) about(mean time.Duration) time.Duration {
	return time.Duration(run.rng.ExpFloat64() * float64(mean))
}

func (run *goldenRun) play() {
	set := goldenSettings()
	run.adjust(&set)
	for i := range run.goldenScenario.endpointCount {
		run.endpoints = append(run.endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), Zone: fmt.Sprint("z", i%3),
			Kind: fmt.Sprint("k", i%2), Cell: i % 5, State: Serving, Capacity: 1 + float64(i%3)})
	}
	for i := range goldenGateways {
		set.Index = i
		g, err := New(set, run.rng.Uint64())
		if err != nil {
			run.t.Fatal(err)
		}
		run.gateways = append(run.gateways, g)
		run.push(0, i, EndpointsChanged{IsSnapshot: true, Endpoints: append([]Endpoint{}, run.endpoints...)}, nil)
		run.push(run.about(run.requestEvery), i, nil, func() { run.request(i, set) })
		run.push(run.about(run.changeEvery), i, nil, func() { run.change(i) })
	}
	for len(run.queue) > 0 && run.queue[0].at < time.Hour+goldenLength {
		ev := heap.Pop(&run.queue).(goldenEvent)
		run.now = ev.at
		if ev.then != nil {
			ev.then()
			continue
		}
		for _, a := range run.gateways[ev.gateway].Handle(run.now, ev.event, nil) {
			run.act(ev.gateway, a)
		}
	}
}

// request brings a request, and the next one.
func (run *goldenRun) request(i int, set Settings) {
	class := set.Classes[run.rng.IntN(len(set.Classes))]
	plan := set.Plans[run.rng.IntN(len(set.Plans))]
	run.lastID++
	id := run.lastID
	q := Request{ID: id, Class: class.Name, Plan: plan.Name, Customer: fmt.Sprint(plan.Name, "-", run.rng.IntN(3)),
		Deadline: run.now + time.Duration(run.rng.Float64()*float64(class.Deadline)), Units: 1 + 3*run.rng.Float64(),
		GatewaySpan: 1 + run.rng.IntN(2*set.GatewayCount), FirstGateway: run.rng.IntN(set.GatewayCount), IsRetry: run.rng.IntN(4) == 0}
	switch run.rng.IntN(60) {
	case 0:
		q.Class = "unknown"
	case 1:
		q.Plan, q.Customer = "unknown", "unknown"
	case 2:
		q.Deadline = run.now - ms
	}
	run.push(0, i, Arrival{q}, nil)
	if run.rng.IntN(20) == 0 {
		run.push(run.about(class.LatencyObjective), i, ClientDisconnected{ID: id}, nil)
	}
	run.push(run.about(run.requestEvery), i, nil, func() { run.request(i, set) })
}

// change notifies a gateway of changes of the endpoint list, or of a failure, and schedules the next notification.
func (run *goldenRun) change(i int) {
	ev := EndpointsChanged{GatewaysPerEndpoint: float64(1 + run.rng.IntN(goldenGateways))}
	for range 1 + run.rng.IntN(3) {
		s := &run.endpoints[run.rng.IntN(len(run.endpoints))]
		switch run.rng.IntN(5) {
		case 0:
			s.State = Draining
		case 1:
			s.State = Removed
		default:
			if s.State != Serving || run.rng.IntN(2) == 0 {
				s.StartedAt = run.now - run.about(time.Second)
			}
			s.State = Serving
		}
		ev.Endpoints = append(ev.Endpoints, *s)
	}
	switch run.rng.IntN(10) {
	case 0:
		ev = EndpointsChanged{IsSnapshot: true}
		for _, s := range run.endpoints {
			if s.State != Removed {
				ev.Endpoints = append(ev.Endpoints, s)
			}
		}
	case 1:
		ev = EndpointsChanged{Failed: true}
	}
	run.push(0, i, ev, nil)
	if run.rng.IntN(8) == 0 {
		run.push(0, i, HealthCheckEnded{Endpoint: run.endpoints[0].ID, Outcome: Succeeded, Latency: ms}, nil)
		run.push(0, i, GossipReceived{From: 1, Body: []byte("x")}, nil)
	}
	run.push(run.about(run.changeEvery), i, nil, func() { run.change(i) })
}

// act hashes an action and lets its outcome come.
func (run *goldenRun) act(i int, a Action) {
	write := func(kind string, args ...any) {
		run.seen[kind]++
		fmt.Fprintln(run.sum, append([]any{i, kind}, args...)...)
	}
	switch a := a.(type) {
	case Send:
		n := run.attempts[a.ID]
		run.attempts[a.ID]++
		write("send", a.ID, a.Endpoint, int64(a.AttemptDeadline))
		run.attempt(i, a.ID, n, a.Endpoint)
	case Cancel:
		write("cancel", a.ID, a.Attempt)
		run.push(ms, i, nil, func() { run.end(i, a.ID, a.Attempt, "", Cancelled, 5*ms) })
	case Reject:
		write("refuse", a.ID, int64(a.RetryAfter))
		run.finish(a.ID)
	case Fail:
		write("fail", a.ID)
		run.finish(a.ID)
	case SetTimer:
		write("timer", int64(a.Delay))
		run.push(a.Delay, i, TimerFired{}, nil)
	case IncrementCounter:
		write("count", a.Name, a.Delta, int64(a.TTL))
		run.count(i, a)
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
		run.t.Fatalf("unknown action %T", a)
	}
}

// finish notes the one final answer.
func (run *goldenRun) finish(id RequestID) {
	if run.final[id] {
		run.t.Errorf("request %d has two final answers", id)
	}
	run.final[id] = true
}

// attempt lets an attempt end, with the latency and the faults of an endpoint.
func (run *goldenRun) attempt(i int, id RequestID, n int, endpoint EndpointID) {
	took, outcome := 5*ms+run.about(20*ms), Succeeded
	if run.rng.IntN(25) == 0 {
		took += run.about(400 * ms)
	}
	if run.rng.Float64() < run.endpointFaults {
		outcome = Outcome(run.rng.IntN(int(OutcomeCount)))
	}
	if outcome == Succeeded && run.rng.IntN(30) == 0 {
		run.push(took/2, i, StreamStarted{ID: id, Attempt: n}, nil)
	}
	run.push(took, i, nil, func() { run.end(i, id, n, endpoint, outcome, took) })
}

// end notifies the gateway of an attempt's end, once.
func (run *goldenRun) end(i int, id RequestID, n int, endpoint EndpointID, outcome Outcome, took time.Duration) {
	key := fmt.Sprint(id, "/", n)
	if run.ended[key] {
		return
	}
	run.ended[key] = true
	ev := AttemptEnded{ID: id, Attempt: n, Endpoint: endpoint, Outcome: outcome, Latency: took}
	if run.rng.IntN(2) == 0 {
		ev.LoadReport = LoadReport{"queue": float64(run.rng.IntN(3)), "inflight": float64(run.rng.IntN(9))}
	}
	if outcome == Succeeded {
		ev.SettledUnits = 1 + 3*run.rng.Float64()
	}
	if ev.RequestFinished = run.final[id] || outcome == Succeeded; ev.RequestFinished {
		run.final[id] = true
	}
	run.push(0, i, ev, nil)
}

// count answers a call of the counter, late or not at all where it fails. Calls of one name are answered in order.
func (run *goldenRun) count(i int, a IncrementCounter) {
	reply := CounterReply{Name: a.Name, Outcome: Succeeded}
	after := run.counterDelay
	if run.rng.Float64() < run.counterFaults {
		reply.Outcome = []Outcome{Failed, Rejected, TimedOut, ConnectFailed, Reset, NotSent}[run.rng.IntN(6)]
	}
	if !reply.Outcome.NotExecuted() {
		run.totals[a.Name] += a.Delta
	}
	if run.rng.IntN(2000) == 0 { // it comes back empty
		clear(run.totals)
	}
	if reply.Outcome == Succeeded {
		reply.Total = run.totals[a.Name]
	}
	run.push(after, i, reply, nil)
}

func TestDecisionsAreUnchanged(t *testing.T) {
	for _, scenario := range goldenScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			sum, seen := sha256.New(), map[string]int{}
			for seed := range uint64(goldenSeeds) {
				run := &goldenRun{goldenScenario: scenario, t: t, rng: rand.New(rand.NewPCG(seed, 22)), sum: sum,
					now: time.Hour, totals: map[string]float64{}, attempts: map[RequestID]int{}, seen: seen,
					ended: map[string]bool{}, final: map[RequestID]bool{}}
				run.play()
			}
			t.Log("actions:", seen)
			if got := hex.EncodeToString(sum.Sum(nil)); got != goldenHashes[scenario.name] {
				t.Errorf("hash of all actions: %s, want %s", got, goldenHashes[scenario.name])
			}
		})
	}
}
