package policy

import (
	"fmt"
	"testing"
	"time"

	"lemontack/policy/limiter"
)

// Rule 1: each request has exactly one final answer before its client gives up.
func TestEveryRequestHasOneFinalAnswer(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving})
	final := map[RequestID]int{}
	count := func(acts []Action) {
		for _, a := range only[Reject](acts) {
			final[a.ID]++
		}
		for _, a := range only[Fail](acts) {
			final[a.ID]++
		}
	}
	for id := RequestID(1); id <= 40; id++ {
		count(g.arrive(id, []string{"read", "book", "pay"}[id%3], "free"))
	}
	count(g.advance(1990 * ms))
	for id := RequestID(1); id <= 40; id++ {
		q := g.gateway.requests[id]
		if q == nil || q.finished {
			continue
		}
		if q.queued {
			t.Fatalf("request %d is still queued at its deadline", id)
		}
		for _, a := range q.attempts {
			count(g.handle(AttemptEnded{ID: id, Attempt: a.number, Endpoint: "s", Outcome: TimedOut}))
		}
	}
	for id := RequestID(1); id <= 40; id++ {
		if final[id] != 1 {
			t.Errorf("request %d: %d final answers", id, final[id])
		}
	}
}

// Rule 2: a non-idempotent request that may have been executed is neither retried nor rejected.
func TestNonIdempotentRequestThatMayHaveBeenExecutedFails(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, Reset, Cancelled, Outcome(99)} {
		g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
		s := only[Send](g.arrive(1, "pay", "free"))[0].Endpoint
		got := g.handle(AttemptEnded{ID: 1, Endpoint: s, Outcome: o})
		if len(only[Send](got)) > 0 || len(only[Reject](got)) > 0 || len(only[Fail](got)) != 1 {
			t.Errorf("outcome %v: actions %v, want one failure", o, got)
		}
	}
}

func TestRequestThatWasNotExecutedIsRetried(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	s := only[Send](g.arrive(1, "pay", "free"))[0].Endpoint
	got := only[Send](g.handle(AttemptEnded{ID: 1, Endpoint: s, Outcome: ConnectFailed}))
	if len(got) != 1 || got[0].Endpoint == s {
		t.Fatalf("sends %v, want one to the other endpoint", got)
	}
}

// Rule 2: a request with an idempotency key that may have been executed is retried only in the cell that drops its
// repeats, and only within the deduplication window.
func TestRequestWithIdempotencyKeyIsRetriedInItsScopeAndWindowOnly(t *testing.T) {
	set := settings()
	set.Classes[1].Deadline, set.Classes[1].DeduplicationWindow = 60*time.Second, time.Second
	for wait, want := range map[time.Duration]int{100 * ms: 1, 1200 * ms: 0} {
		g := newTestGateway(t, set, Endpoint{ID: "s", State: Serving, Cell: 1}, Endpoint{ID: "u", State: Serving, Cell: 1},
			Endpoint{ID: "v", State: Serving, Cell: 2}, Endpoint{ID: "w", State: Serving, Cell: 2})
		q := Request{ID: 1, Class: "book", Plan: "free", Customer: "c", Units: 1, Deadline: g.now + time.Minute}
		s := only[Send](g.handle(Arrival{q}))[0].Endpoint
		g.now += wait
		got := g.handle(AttemptEnded{ID: 1, Endpoint: s, Outcome: Reset})
		sends := only[Send](got)
		if len(sends) != want || len(only[Reject](got)) > 0 {
			t.Fatalf("after %v: actions %v, want %d sends and no rejection", wait, got, want)
		}
		if want == 1 && g.endpoint(sends[0].Endpoint).Cell != g.endpoint(s).Cell {
			t.Fatalf("sent to %v after %v: another cell", sends[0].Endpoint, s)
		}
	}
}

// Rule 3: no attempt goes to an endpoint that is draining or removed.
func TestNoAttemptGoesToADrainingEndpoint(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed, EndpointState(9)} {
		g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
		g.handle(EndpointsChanged{Endpoints: []Endpoint{{ID: "s", State: state}}})
		for id := RequestID(1); id < 20; id++ {
			for _, a := range only[Send](g.arrive(id, "read", "free")) {
				if a.Endpoint == "s" {
					t.Fatalf("state %v: sent to it", state)
				}
			}
			g.handle(AttemptEnded{ID: id, Endpoint: "u", Outcome: Succeeded, Latency: 5 * ms, RequestFinished: true})
		}
	}
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: []Endpoint{{ID: "u", State: Serving}}})
	if len(g.gateway.balancer.ServingEndpoints()) != 1 {
		t.Fatal("an endpoint that is not in a snapshot still serves")
	}
}

// Rule 4: an endpoint in slow start gets one attempt at a time at first, also from a gateway that has just started, and
// also where all endpoints are in slow start.
func TestEndpointInSlowStartIsNotOverloaded(t *testing.T) {
	g := newTestGateway(t, settings())
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: []Endpoint{{ID: "s", State: Serving, StartedAt: g.now}}})
	g.gateway.limiter.SetWindow(100)
	sent := 0
	for i := range 300 { // three seconds of a hundred requests a second, each rejected by the endpoint at once
		id := RequestID(i + 1)
		g.arrive(id, "read", "free")
		for g.endpoint("s").InFlight() > 0 {
			for _, a := range g.attemptsInFlight() {
				sent++
				g.handle(AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: "s", Outcome: Rejected})
			}
		}
		g.advance(10 * ms)
	}
	// An endpoint that answers 20 a second when warm answers 4 now; 4 times that for 3 s, halved for two gateways, is 24.
	if sent == 0 || sent > 24 {
		t.Fatalf("%d sent to an endpoint in slow start in 3 s", sent)
	}
}

// Rule 5: a gateway stays within its part of the ceiling, and starts with none of it.
func TestCeilingHoldsWithoutTheCounter(t *testing.T) {
	set := settings()
	set.Plans[3].Rate = 0 // the ceiling is the only limit
	g := newTestGateway(t, set, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	g.gateway.limiter.SetWindow(1000)
	sent := 0
	for i := range 400 {
		acts := g.arrive(RequestID(i+1), "read", "capped")
		acts = append(acts, g.advance(10*ms)...)
		sent += len(only[Send](acts))
	}
	if max := 4*20/2 + 1; sent == 0 || sent > max { // 4 s of half the ceiling's rate
		t.Fatalf("%d sent in 4 s, the share is %d", sent, max)
	}
}

func TestConcurrencyQuotaIsSharedAndRequestsWaitForIt(t *testing.T) {
	set := settings()
	set.Plans = append(set.Plans, Plan{Name: "open", Price: 1, Rate: 100, Burst: 100, MaxConcurrency: 4, OverQuotaCost: 1})
	g := newTestGateway(t, set, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	g.gateway.limiter.SetWindow(100)
	sends := 0
	for id := RequestID(1); id <= 5; id++ {
		sends += len(only[Send](g.arrive(id, "read", "open")))
	}
	if sends != 2 {
		t.Fatalf("%d in flight, this gateway's share is 2", sends)
	}
	got := only[Send](g.handle(AttemptEnded{ID: 1, Outcome: Succeeded, Latency: 5 * ms, RequestFinished: true}))
	if len(got) != 1 {
		t.Fatalf("sends %v, want one of a request that waits", got)
	}
}

// After a stall no capacity goes to requests that can no longer be answered: they end before dispatch.
func TestStalledGatewayExpiresRequestsBeforeItDispatches(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving})
	for id := RequestID(1); id <= 10; id++ {
		g.arrive(id, "read", "free")
	}
	g.now += 1900 * ms
	if got := only[Send](g.handle(TimerFired{})); len(got) > 0 {
		t.Fatalf("sent %v after the stall", got)
	}
}

func TestInvalidSettingsReturnAnError(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"gateways":  func(s *Settings) { s.GatewayCount = 0 },
		"index":     func(s *Settings) { s.Index = 2 },
		"classes":   func(s *Settings) { s.Classes = nil },
		"objective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"rate":      func(s *Settings) { s.Plans[0].Rate = -1 },
	} {
		set := settings()
		change(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// A gateway with few permissions and minimal settings must still decide, and never panic.
func TestMinimalSettingsStillDecide(t *testing.T) {
	set := settings()
	set.HasSharedCounter, set.HedgingEnabled, set.MayCancel, set.SlowStartWindow = false, false, false, 0
	set.Plans = []Plan{{Name: "small", Price: 1, Rate: 2}}
	g := newTestGateway(t, set, Endpoint{ID: "s", State: Serving})
	sends := 0
	for id := RequestID(1); id <= 20; id++ {
		acts := append(g.arrive(id, "read", "small"), g.handle(AttemptEnded{ID: id, Outcome: Succeeded, Latency: ms, RequestFinished: true})...)
		acts = append(acts, g.advance(200*ms)...)
		sends += len(only[Send](acts))
		if len(only[IncrementCounter](acts)) > 0 {
			t.Fatal("called a counter that is not there")
		}
	}
	if sends < 3 || sends > 8 { // half of 2 units a second over 4 s, and its part of the burst
		t.Fatalf("%d sent", sends)
	}
}

func TestGatewaysOfOneProcessShareNoState(t *testing.T) {
	play := func(beside bool) string {
		a := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
		b := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving})
		log := ""
		for id := RequestID(1); id <= 200; id++ {
			if beside {
				b.arrive(id, "read", "small")
			}
			log += fmt.Sprint(a.arrive(id, "read", "small"), a.advance(30*ms))
		}
		return log
	}
	if play(false) != play(true) {
		t.Fatal("actions differ")
	}
}

// The lease is renewed once half of it is spent, without a request that waits for it; one call is in flight at a time.
func TestLeaseIsRenewedAtHalfSpent(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving})
	var calls []IncrementCounter
	for id := RequestID(1); id <= 3; id++ {
		acts := g.arrive(id, "read", "small")
		if len(only[Send](acts)) != 1 {
			t.Fatalf("request %d did not go at once", id)
		}
		calls = append(calls, only[IncrementCounter](acts)...)
		g.handle(AttemptEnded{ID: id, Outcome: Succeeded, Latency: ms, RequestFinished: true})
	}
	if len(calls) != 1 || calls[0].Delta < 4 {
		t.Fatalf("calls %v, want one that adds the first lease and the next", calls)
	}
}

// Late answers of one endpoint must not narrow the window for all.
func TestOneSlowEndpointDoesNotNarrowTheWindow(t *testing.T) {
	var endpoints []Endpoint
	for i := range 12 {
		endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
	}
	g := newTestGateway(t, settings(), endpoints...)
	before := g.gateway.limiter.Window()
	c := g.gateway.classes["read"]
	for range 50 {
		g.gateway.recordSample(c, g.gateway.balancer.ServingEndpoints()[0], limiter.Sample{Outcome: TimedOut})
	}
	g.advance(100 * ms)
	if g.gateway.limiter.Window() < before {
		t.Fatal("narrowed by one endpoint")
	}
	for i := range 50 {
		g.gateway.recordSample(c, g.gateway.balancer.ServingEndpoints()[i%12], limiter.Sample{Outcome: TimedOut})
	}
	g.advance(2 * time.Second)
	if g.gateway.limiter.Window() >= before {
		t.Fatal("not narrowed by late answers of all endpoints")
	}
}

// Long requests of one class are no overload: while another class is answered in time the window stays.
func TestLongRequestsOfOneClassDoNotNarrowTheWindow(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	before := g.gateway.limiter.Window()
	for i := range 40 {
		s := g.gateway.balancer.ServingEndpoints()[i%2]
		g.gateway.recordSample(g.gateway.classes["book"], s, limiter.Sample{Outcome: Succeeded, Latency: 400 * ms})
		g.gateway.recordSample(g.gateway.classes["read"], s, limiter.Sample{Outcome: Succeeded, Latency: 20 * ms})
	}
	g.advance(2 * time.Second)
	if g.gateway.limiter.Window() < before {
		t.Fatal("narrowed by long requests of one class")
	}
}
