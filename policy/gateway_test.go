package policy

import (
	"fmt"
	"testing"
	"time"

	"lemontack/policy/balancer"
	"lemontack/policy/limiter"
)

const ms = time.Millisecond

// settings are those of one of two gateways that share a counter.
func settings() Settings {
	return Settings{Index: 0, GatewayCount: 2, Zone: "a", MaxUnits: 1, MaxAttempts: 3, MaxRetryAfter: time.Second,
		MayCancel: true, HedgingEnabled: true, HasSharedCounter: true, CounterTimeout: 50 * ms,
		SlowStartMinWeight: 0.2, SlowStartWindow: 10 * time.Second, SlowStartBudgetMultiple: 4, SlowStartBudgetSpan: 3 * time.Second,
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Idempotency: Idempotent},
			{Name: "book", PriorityWeight: 5, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Idempotency: IdempotencyKey, DeduplicationWindow: 4 * time.Second},
			{Name: "pay", PriorityWeight: 5, LatencyObjective: 500 * ms, Deadline: 2 * time.Second},
		},
		Plans: []Plan{{Name: "free", Price: 1}, {Name: "dear", Price: 2},
			{Name: "small", Price: 1, Rate: 2, Burst: 8, OverQuotaCost: 0.5},
			{Name: "capped", Price: 1, Rate: 10, Burst: 20, CeilingRate: 20, CeilingBurst: 40, CeilingTolerance: 4}},
	}
}

// testGateway is a gateway on a simulated clock.
type testGateway struct {
	*testing.T
	gateway *Gateway
	now     time.Duration
}

// newTestGateway returns a gateway that has just started and knows these endpoints.
func newTestGateway(t *testing.T, set Settings, endpoints ...Endpoint) *testGateway {
	t.Helper()
	gateway, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &testGateway{T: t, gateway: gateway, now: time.Minute}
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpoints})
	return g
}

// handle gives the gateway an event now and returns its actions.
func (g *testGateway) handle(ev Event) []Action { return g.gateway.Handle(g.now, ev, nil) }

// arrive brings a request of one unit of customer c.
func (g *testGateway) arrive(id RequestID, class, plan string) []Action {
	return g.handle(Arrival{Request{ID: id, Class: class, Plan: plan, Customer: "c", Units: 1,
		Deadline: g.now + 2*time.Second, GatewaySpan: 2}})
}

// advance moves the clock on in ticks and returns all actions.
func (g *testGateway) advance(d time.Duration) (out []Action) {
	for end := g.now + d; g.now < end; {
		g.now += 10 * ms
		out = append(out, g.handle(TimerFired{})...)
	}
	return out
}

// endpoint returns a serving endpoint.
func (g *testGateway) endpoint(id EndpointID) *balancer.Endpoint {
	g.Helper()
	for _, e := range g.gateway.balancer.ServingEndpoints() {
		if e.ID == id {
			return e
		}
	}
	g.Fatalf("no serving endpoint %s", id)
	return nil
}

// inFlight is an attempt that has not ended.
type inFlight struct {
	*attempt
	id RequestID
}

// attemptsInFlight returns all attempts that have not ended, in the order of their requests' arrival.
func (g *testGateway) attemptsInFlight() (all []inFlight) {
	for _, q := range g.gateway.activeRequests {
		for _, a := range q.attempts {
			if !a.ended {
				all = append(all, inFlight{a, q.ID})
			}
		}
	}
	return all
}

// only returns the actions of one type.
func only[A Action](acts []Action) (out []A) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func TestRequestIsSentAtOnceWhileTheWindowHasCapacity(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving})
	if got := only[Send](g.arrive(1, "read", "free")); len(got) != 1 || got[0].Endpoint != "s" {
		t.Fatalf("sends %v", got)
	}
}

func TestCapacityThatBecomesFreeGoesToTheHighestPriority(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving})
	g.arrive(1, "read", "free")
	g.arrive(2, "read", "free")
	g.arrive(3, "read", "free")
	g.arrive(4, "read", "dear")
	got := only[Send](g.handle(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Succeeded, Latency: 20 * ms, RequestFinished: true}))
	if len(got) == 0 || got[0].ID != 4 {
		t.Fatalf("sends %v, want request 4 first", got)
	}
}

func TestRequestWithLessTimeThanATickIsAnsweredAtOnce(t *testing.T) {
	g := newTestGateway(t, settings()) // no endpoints: nothing can be sent
	got := g.handle(Arrival{Request{ID: 1, Class: "read", Plan: "free", Customer: "c", Units: 1, Deadline: g.now + ms}})
	if len(only[Reject](got)) != 1 {
		t.Fatalf("actions %v, want a rejection", got)
	}
}

func TestRejectedRequestsRefundNoUnits(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	sent := 0
	for id := RequestID(1); id < 60; id++ { // no counter answers: this gateway's share of the burst is 4
		sent += len(only[Send](g.arrive(id, "read", "small")))
		g.handle(AttemptEnded{ID: id, Outcome: Succeeded, Latency: ms, RequestFinished: true})
	}
	if sent < 4 || sent > 8 {
		t.Fatalf("sent %d of 59, the whole burst is 8", sent)
	}
}

// An endpoint that restarts keeps its attempts in flight until they end.
func TestRestartedEndpointKeepsItsAttemptsInFlight(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving})
	g.arrive(1, "read", "free")
	g.arrive(2, "read", "free")
	before := g.endpoint("s").InFlight()
	g.handle(EndpointsChanged{Endpoints: []Endpoint{{ID: "s", State: Serving, StartedAt: g.now}}})
	if now := g.endpoint("s").InFlight(); now != before || before == 0 {
		t.Fatalf("%d attempts in flight before the restart, %d after", before, now)
	}
	g.handle(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Reset})
	g.handle(AttemptEnded{ID: 2, Endpoint: "s", Outcome: Reset})
	g.advance(time.Second)
	if got, want := g.endpoint("s").InFlight(), len(g.attemptsInFlight()); got != want {
		t.Fatalf("%d attempts in flight at the endpoint, %d have not ended", got, want)
	}
	for left := g.attemptsInFlight(); len(left) > 0; left = g.attemptsInFlight() {
		g.handle(AttemptEnded{ID: left[0].id, Attempt: left[0].number, Endpoint: "s", Outcome: Reset})
	}
	if got := g.endpoint("s").InFlight(); got != 0 {
		t.Fatalf("%d attempts in flight at the endpoint after all have ended", got)
	}
}

// A burst that gives each gateway less than one request is claimed at the counter, request by request: what all gateways
// send stays within it, whatever each has seen, and also after all have restarted.
func TestSmallBurstOverManyGatewaysIsClaimedAtTheCounter(t *testing.T) {
	for _, n := range []int{4, 100, 340} {
		set := settings()
		set.GatewayCount = n
		set.Plans = append(set.Plans, Plan{Name: "tiny", Price: 1, Rate: 0.5, Burst: 2, OverQuotaCost: 1})
		totals, sent := map[string]float64{}, 0
		for i := range 2 * n { // each gateway twice, the second time as one that has just started
			set.Index = i % n
			g := newTestGateway(t, set, Endpoint{ID: "s", State: Serving})
			acts := g.handle(Arrival{Request{ID: 1, Class: "read", Plan: "tiny", Customer: "c", Units: 1,
				Deadline: g.now + time.Second, GatewaySpan: n}})
			for k := 0; k < len(acts); k++ {
				if c, ok := acts[k].(IncrementCounter); ok {
					totals[c.Name] += c.Delta
					acts = append(acts, g.handle(CounterReply{Name: c.Name, Outcome: Succeeded, Total: totals[c.Name]})...)
				}
			}
			sent += len(only[Send](acts))
		}
		if sent != 2 {
			t.Errorf("%d gateways sent %d at once, the burst is 2", n, sent)
		}
	}
}

// The windows of many gateways add up: with late answers of several endpoints a window falls below one attempt, and the
// attempts are spaced from then on.
func TestWindowBelowOneAttemptSpacesAttempts(t *testing.T) {
	set := settings()
	set.GatewayCount = 300
	var endpoints []Endpoint
	for i := range 60 {
		endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
	}
	g := newTestGateway(t, set, endpoints...)
	for i := range 12 {
		g.gateway.recordSample(g.gateway.classes["read"], g.gateway.balancer.ServingEndpoints()[i], limiter.Sample{Outcome: TimedOut})
		g.advance(time.Second)
	}
	if g.gateway.limiter.Window() >= 1 {
		t.Fatalf("window %v after late answers only", g.gateway.limiter.Window())
	}
	g.gateway.classes["read"].latency.Record(100 * ms)
	g.gateway.limiter.SetWindow(0.5)
	first := only[Send](g.arrive(1, "read", "free"))
	g.handle(AttemptEnded{ID: 1, Outcome: Succeeded, Latency: 100 * ms, RequestFinished: true})
	second := only[Send](g.arrive(2, "read", "free"))
	if len(first) != 1 || len(second) != 0 {
		t.Fatalf("sent %v, then %v at once", first, second)
	}
	if got := only[Send](g.advance(time.Second)); len(got) == 0 || got[0].ID != 2 {
		t.Fatalf("sent %v in the second after, want the queued one", got)
	}
}

// Out-of-range gateway spans and indexes lead to valid decisions without a panic.
func TestOutOfRangeGatewaySpansStillDecide(t *testing.T) {
	set := settings()
	set.GatewayCount = 100
	for _, q := range []Request{{GatewaySpan: 0}, {GatewaySpan: 5000}, {GatewaySpan: 3, FirstGateway: 70}, {GatewaySpan: 3, FirstGateway: 4000}, {GatewaySpan: 2, FirstGateway: -7}} {
		g := newTestGateway(t, set)
		q.ID, q.Class, q.Plan, q.Customer, q.Units, q.Deadline = 1, "read", "small", "c", 1, g.now+time.Second
		calls := only[IncrementCounter](g.handle(Arrival{q}))
		for _, c := range calls {
			g.handle(CounterReply{Name: c.Name, Outcome: Succeeded, Total: c.Delta})
		}
		var endpoints []Endpoint
		for i := range 100 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
		}
		acts := g.handle(EndpointsChanged{Endpoints: endpoints})
		if got := only[Send](append(acts, g.advance(20*ms)...)); len(got) != 1 {
			t.Errorf("request %+v: sent %v, want it sent once there are endpoints", q, got)
		}
	}
}
