package policy

import (
	"fmt"
	"testing"
	"time"

	"lemontack/policy/balancer"
	"lemontack/policy/limiter"
)

const ms = time.Millisecond

// testSettings returns the settings of one of two gateways that share a counter.
func testSettings() Settings {
	return Settings{GatewayIndex: 0, GatewayCount: 2, Zone: "a", MaxUnits: 1, MaxAttempts: 3, MaxRetryAfter: time.Second,
		MayCancel: true, HedgingEnabled: true, HasSharedCounter: true, CounterTimeout: 50 * ms,
		SlowStartMinWeight: 0.2, SlowStartWindow: 10 * time.Second,
		SlowStartBudgetMultiple: 4, SlowStartBudgetPeriod: 3 * time.Second,
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Idempotency: Idempotent},
			{Name: "book", PriorityWeight: 5, LatencyObjective: 500 * ms, Deadline: 2 * time.Second,
				Idempotency: IdempotencyKey, DeduplicationWindow: 4 * time.Second},
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

// newTestGateway returns a gateway that has just started and received the endpoint list.
func newTestGateway(t *testing.T, settings Settings, endpoints ...Endpoint) *testGateway {
	t.Helper()
	gateway, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &testGateway{T: t, gateway: gateway, now: time.Minute}
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpoints})
	return g
}

// handle passes an event to the gateway at the current time and returns its actions.
func (tg *testGateway) handle(event Event) []Action { return tg.gateway.Handle(tg.now, event, nil) }

// sendRequest passes a request of one unit of customer c to the gateway and returns its actions.
func (tg *testGateway) sendRequest(id RequestID, class, plan string) []Action {
	return tg.handle(Arrival{Request{ID: id, Class: class, Plan: plan, Customer: "c", Units: 1,
		Deadline: tg.now + 2*time.Second, GatewaySpan: 2}})
}

// advance moves the clock forward in ticks of 10 ms and returns all actions.
func (tg *testGateway) advance(d time.Duration) (out []Action) {
	for end := tg.now + d; tg.now < end; {
		tg.now += 10 * ms
		out = append(out, tg.handle(TimerFired{})...)
	}
	return out
}

// endpoint returns the serving endpoint with an id, and fails the test if there is none.
func (tg *testGateway) endpoint(id EndpointID) *balancer.Endpoint {
	tg.Helper()
	for _, e := range tg.gateway.balancer.ServingEndpoints() {
		if e.ID == id {
			return e
		}
	}
	tg.Fatalf("got no serving endpoint %s, want one", id)
	return nil
}

// attemptInFlight is an attempt that has not ended.
type attemptInFlight struct {
	*attempt
	id RequestID
}

// attemptsInFlight returns all attempts that have not ended, in the order of their requests' arrival.
func (tg *testGateway) attemptsInFlight() (all []attemptInFlight) {
	for _, request := range tg.gateway.requestsByArrival {
		for _, a := range request.attempts {
			if !a.ended {
				all = append(all, attemptInFlight{a, request.ID})
			}
		}
	}
	return all
}

func actionsOf[A Action](actions []Action) (out []A) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func TestRequestIsSentAtOnceWhileTheWindowHasCapacity(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving})
	if got := actionsOf[Send](g.sendRequest(1, "read", "free")); len(got) != 1 || got[0].Endpoint != "s" {
		t.Fatalf("got sends %v, want one to s", got)
	}
}

func TestCapacityThatBecomesFreeGoesToTheHighestPriority(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving})
	g.sendRequest(1, "read", "free")
	g.sendRequest(2, "read", "free")
	g.sendRequest(3, "read", "free")
	g.sendRequest(4, "read", "dear")
	got := actionsOf[Send](g.handle(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Succeeded, Latency: 20 * ms,
		RequestFinished: true}))
	if len(got) == 0 || got[0].ID != 4 {
		t.Fatalf("got sends %v, want request 4 first", got)
	}
}

func TestRequestWithLessTimeThanATickIsRejectedAtOnce(t *testing.T) {
	g := newTestGateway(t, testSettings()) // no endpoints, so the request cannot be sent
	got := g.handle(Arrival{Request{ID: 1, Class: "read", Plan: "free", Customer: "c", Units: 1, Deadline: g.now + ms}})
	if len(actionsOf[Reject](got)) != 1 {
		t.Fatalf("got actions %v, want one rejection", got)
	}
}

func TestRejectedRequestsRefundNoUnits(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	sent := 0
	for id := RequestID(1); id < 60; id++ { // no counter replies, so the gateway has its share of 4 of the burst
		sent += len(actionsOf[Send](g.sendRequest(id, "read", "small")))
		g.handle(AttemptEnded{ID: id, Outcome: Succeeded, Latency: ms, RequestFinished: true})
	}
	if sent < 4 || sent > 8 {
		t.Fatalf("got %d of 59 requests sent, want the share of 4 to the whole burst of 8", sent)
	}
}

// An endpoint that restarts keeps its attempts in flight until they end.
func TestRestartedEndpointKeepsItsAttemptsInFlight(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving})
	g.sendRequest(1, "read", "free")
	g.sendRequest(2, "read", "free")
	before := g.endpoint("s").InFlight()
	g.handle(EndpointsChanged{Endpoints: []Endpoint{{ID: "s", State: Serving, StartedAt: g.now}}})
	if after := g.endpoint("s").InFlight(); after != before || before == 0 {
		t.Fatalf("got %d attempts in flight before the restart and %d after, want the same number above 0", before, after)
	}
	g.handle(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Reset})
	g.handle(AttemptEnded{ID: 2, Endpoint: "s", Outcome: Reset})
	g.advance(time.Second)
	if got, want := g.endpoint("s").InFlight(), len(g.attemptsInFlight()); got != want {
		t.Fatalf("got %d attempts in flight at the endpoint, want the %d that have not ended", got, want)
	}
	for remaining := g.attemptsInFlight(); len(remaining) > 0; remaining = g.attemptsInFlight() {
		g.handle(AttemptEnded{ID: remaining[0].id, Attempt: remaining[0].number, Endpoint: "s", Outcome: Reset})
	}
	if got := g.endpoint("s").InFlight(); got != 0 {
		t.Fatalf("got %d attempts in flight at the endpoint after all have ended, want 0", got)
	}
}

// Each request of a customer whose burst is less than one request per gateway is claimed at the counter, so that all gateways
// together stay within the burst, even after all have restarted.
func TestSmallBurstOverManyGatewaysIsClaimedAtTheCounter(t *testing.T) {
	for _, n := range []int{4, 100, 340} {
		settings := testSettings()
		settings.GatewayCount = n
		settings.Plans = append(settings.Plans, Plan{Name: "tiny", Price: 1, Rate: 0.5, Burst: 2, OverQuotaCost: 1})
		totals, sent := map[string]float64{}, 0
		for i := range 2 * n { // each gateway twice, the second time after a restart
			settings.GatewayIndex = i % n
			g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving})
			actions := g.handle(Arrival{Request{ID: 1, Class: "read", Plan: "tiny", Customer: "c", Units: 1,
				Deadline: g.now + time.Second, GatewaySpan: n}})
			for k := 0; k < len(actions); k++ {
				if c, ok := actions[k].(IncrementCounter); ok {
					totals[c.Name] += c.Delta
					actions = append(actions, g.handle(CounterReply{Name: c.Name, Outcome: Succeeded, Total: totals[c.Name]})...)
				}
			}
			sent += len(actionsOf[Send](actions))
		}
		if sent != 2 {
			t.Errorf("%d gateways: got %d requests sent at once, want the burst of 2", n, sent)
		}
	}
}

// Late answers of several endpoints narrow the window of one of many gateways below one attempt, and attempts are then spaced
// in time, since the windows of all gateways add up.
func TestWindowBelowOneAttemptSpacesAttempts(t *testing.T) {
	settings := testSettings()
	settings.GatewayCount = 300
	var endpoints []Endpoint
	for i := range 60 {
		endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
	}
	g := newTestGateway(t, settings, endpoints...)
	for i := range 12 {
		g.gateway.recordSample(g.gateway.classes["read"], g.gateway.balancer.ServingEndpoints()[i], limiter.Sample{Outcome: TimedOut})
		g.advance(time.Second)
	}
	if g.gateway.limiter.Window() >= 1 {
		t.Fatalf("got window %v after late answers only, want less than 1", g.gateway.limiter.Window())
	}
	g.gateway.classes["read"].latency.Record(100 * ms)
	g.gateway.limiter.SetWindow(0.5)
	first := actionsOf[Send](g.sendRequest(1, "read", "free"))
	g.handle(AttemptEnded{ID: 1, Outcome: Succeeded, Latency: 100 * ms, RequestFinished: true})
	second := actionsOf[Send](g.sendRequest(2, "read", "free"))
	if len(first) != 1 || len(second) != 0 {
		t.Fatalf("got sends %v, then %v at once; want one, then none", first, second)
	}
	if got := actionsOf[Send](g.advance(time.Second)); len(got) == 0 || got[0].ID != 2 {
		t.Fatalf("got sends %v in the following second, want request 2 first", got)
	}
}

// A request whose gateway span or first gateway is out of range causes no panic and is sent.
func TestRequestWithOutOfRangeGatewaySpanIsSent(t *testing.T) {
	settings := testSettings()
	settings.GatewayCount = 100
	for _, request := range []Request{{GatewaySpan: 0}, {GatewaySpan: 5000}, {GatewaySpan: 3, FirstGateway: 70},
		{GatewaySpan: 3, FirstGateway: 4000}, {GatewaySpan: 2, FirstGateway: -7}} {
		g := newTestGateway(t, settings)
		request.ID, request.Class, request.Plan, request.Customer, request.Units, request.Deadline = 1, "read", "small", "c", 1,
			g.now+time.Second
		calls := actionsOf[IncrementCounter](g.handle(Arrival{request}))
		for _, c := range calls {
			g.handle(CounterReply{Name: c.Name, Outcome: Succeeded, Total: c.Delta})
		}
		var endpoints []Endpoint
		for i := range 100 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
		}
		actions := g.handle(EndpointsChanged{Endpoints: endpoints})
		if got := actionsOf[Send](append(actions, g.advance(20*ms)...)); len(got) != 1 {
			t.Errorf("request %+v: got sends %v, want one after endpoints are known", request, got)
		}
	}
}
