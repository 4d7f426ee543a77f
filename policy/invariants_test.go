package policy

import (
	"fmt"
	"testing"
	"time"

	"lemontack/policy/limiter"
)

// Each request receives exactly one final answer before its deadline.
func TestEveryRequestHasOneFinalAnswer(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving})
	finalAnswers := map[RequestID]int{}
	countFinalAnswers := func(actions []Action) {
		for _, a := range actionsOf[Reject](actions) {
			finalAnswers[a.ID]++
		}
		for _, a := range actionsOf[Fail](actions) {
			finalAnswers[a.ID]++
		}
	}
	for id := RequestID(1); id <= 40; id++ {
		countFinalAnswers(g.sendRequest(id, []string{"read", "book", "pay"}[id%3], "free"))
	}
	countFinalAnswers(g.advance(1990 * ms))
	for id := RequestID(1); id <= 40; id++ {
		request := g.gateway.requestsByID[id]
		if request == nil || request.finished {
			continue
		}
		if request.queued {
			t.Fatalf("request %d is still queued at its deadline, want it ended", id)
		}
		for _, a := range request.attempts {
			countFinalAnswers(g.handle(AttemptEnded{ID: id, Attempt: a.number, Endpoint: "s", Outcome: TimedOut}))
		}
	}
	for id := RequestID(1); id <= 40; id++ {
		if finalAnswers[id] != 1 {
			t.Errorf("request %d: got %d final answers, want 1", id, finalAnswers[id])
		}
	}
}

// A non-idempotent request that may have been executed is neither retried nor rejected.
func TestNonIdempotentRequestThatMayHaveBeenExecutedFails(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, Reset, Cancelled, Outcome(99)} {
		g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
		s := actionsOf[Send](g.sendRequest(1, "pay", "free"))[0].Endpoint
		got := g.handle(AttemptEnded{ID: 1, Endpoint: s, Outcome: o})
		if len(actionsOf[Send](got)) > 0 || len(actionsOf[Reject](got)) > 0 || len(actionsOf[Fail](got)) != 1 {
			t.Errorf("outcome %v: got actions %v, want one failure", o, got)
		}
	}
}

func TestRequestThatWasNotExecutedIsRetried(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	s := actionsOf[Send](g.sendRequest(1, "pay", "free"))[0].Endpoint
	got := actionsOf[Send](g.handle(AttemptEnded{ID: 1, Endpoint: s, Outcome: ConnectFailed}))
	if len(got) != 1 || got[0].Endpoint == s {
		t.Fatalf("got sends %v, want one to the other endpoint", got)
	}
}

// A request with an idempotency key that may have been executed is retried only in the cell that deduplicates its key, and
// only within the deduplication window.
func TestRequestWithIdempotencyKeyIsRetriedInItsScopeAndWindowOnly(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Deadline, settings.Classes[1].DeduplicationWindow = 60*time.Second, time.Second
	for wait, want := range map[time.Duration]int{100 * ms: 1, 1200 * ms: 0} {
		g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving, Cell: 1}, Endpoint{ID: "u", State: Serving, Cell: 1},
			Endpoint{ID: "v", State: Serving, Cell: 2}, Endpoint{ID: "w", State: Serving, Cell: 2})
		request := Request{ID: 1, Class: "book", Plan: "free", Customer: "c", Units: 1, Deadline: g.now + time.Minute}
		s := actionsOf[Send](g.handle(Arrival{request}))[0].Endpoint
		g.now += wait
		got := g.handle(AttemptEnded{ID: 1, Endpoint: s, Outcome: Reset})
		sends := actionsOf[Send](got)
		if len(sends) != want || len(actionsOf[Reject](got)) > 0 {
			t.Fatalf("after %v: got actions %v, want %d sends and no rejection", wait, got, want)
		}
		if want == 1 && g.endpoint(sends[0].Endpoint).Cell != g.endpoint(s).Cell {
			t.Fatalf("got a retry at %v after an attempt at %v, want one in the same cell", sends[0].Endpoint, s)
		}
	}
}

// A retry that waits in the queue until its deduplication window has ended would be executed twice. It is not sent, and has its
// final answer as soon as the window has ended, whether or not there is capacity meanwhile.
func TestQueuedRetryIsNotSentAfterItsDeduplicationWindow(t *testing.T) {
	const window, failsAfter = time.Second, 300 * ms
	reset, rejected := Reset, Rejected
	for name, test := range map[string]struct {
		scope       DeduplicationScope
		outcome     Outcome       // of the attempt before
		waits       time.Duration // in the queue, with ticks
		pauses      time.Duration // after that, without any event
		wantSends   int
		wantRejects int
		wantFails   int
	}{
		"within the window":                   {ScopeAll, reset, 500 * ms, 0, 1, 0, 0},
		"after the window":                    {ScopeAll, reset, window, 0, 0, 1, 0},
		"after the window, scope of a cell":   {ScopeCell, reset, window, 0, 0, 0, 1},
		"the window ends without a tick":      {ScopeAll, reset, 0, window, 0, 1, 0},
		"as before, scope of a cell":          {ScopeCell, reset, 0, window, 0, 0, 1},
		"the attempt before was not executed": {ScopeAll, rejected, window, window, 1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[1].Deadline, settings.Classes[1].LatencyObjective = 60*time.Second, 30*time.Second
			settings.Classes[1].DeduplicationWindow, settings.Classes[1].DeduplicationScope = window, test.scope
			g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving, Cell: 1}, Endpoint{ID: "u", State: Serving, Cell: 1})
			request := Request{ID: 1, Class: "book", Plan: "free", Customer: "c", Units: 1, Deadline: g.now + time.Minute}
			s := actionsOf[Send](g.handle(Arrival{request}))[0].Endpoint
			g.now += failsAfter
			g.gateway.limiter.SetWindow(0)
			got := g.handle(AttemptEnded{ID: 1, Endpoint: s, Outcome: test.outcome})
			got = append(got, g.advance(test.waits)...)
			g.now += test.pauses
			g.gateway.limiter.SetWindow(10)
			got = append(got, g.handle(EndpointsChanged{})...) // any event makes the gateway dispatch
			sends, rejects, fails := len(actionsOf[Send](got)), len(actionsOf[Reject](got)), len(actionsOf[Fail](got))
			if sends != test.wantSends || rejects != test.wantRejects || fails != test.wantFails {
				t.Fatalf("got %d sends, %d rejections and %d failures, want %d, %d and %d", sends, rejects, fails, test.wantSends,
					test.wantRejects, test.wantFails)
			}
		})
	}
}

// No attempt is sent to an endpoint that is draining or removed, or whose state is unknown.
func TestNoAttemptGoesToADrainingEndpoint(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed, EndpointState(9)} {
		g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
		g.handle(EndpointsChanged{Endpoints: []Endpoint{{ID: "s", State: state}}})
		for id := RequestID(1); id < 20; id++ {
			for _, a := range actionsOf[Send](g.sendRequest(id, "read", "free")) {
				if a.Endpoint == "s" {
					t.Fatalf("state %v: got an attempt at the endpoint, want none", state)
				}
			}
			g.handle(AttemptEnded{ID: id, Endpoint: "u", Outcome: Succeeded, Latency: 5 * ms, RequestFinished: true})
		}
	}
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: []Endpoint{{ID: "u", State: Serving}}})
	if len(g.gateway.balancer.ServingEndpoints()) != 1 {
		t.Fatal("got an endpoint serving that is missing in the snapshot, want only the other one")
	}
}

// A gateway stays within its share of the budget of an endpoint in slow start, even if the gateway has just started and all
// endpoints are in slow start.
func TestEndpointInSlowStartIsNotOverloaded(t *testing.T) {
	g := newTestGateway(t, testSettings())
	g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: []Endpoint{{ID: "s", State: Serving, StartedAt: g.now}}})
	g.gateway.limiter.SetWindow(100)
	sent := 0
	for i := range 300 { // 3 s at 100 requests per second, each rejected by the endpoint at once
		id := RequestID(i + 1)
		g.sendRequest(id, "read", "free")
		for g.endpoint("s").InFlight() > 0 {
			for _, a := range g.attemptsInFlight() {
				sent++
				g.handle(AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: "s", Outcome: Rejected})
			}
		}
		g.advance(10 * ms)
	}
	// An endpoint that answers 20 requests per second when warm answers 4 at its start; 4 times that for 3 s, divided by two
	// gateways, is 24.
	if sent == 0 || sent > 24 {
		t.Fatalf("got %d attempts at an endpoint in slow start in 3 s, want 1 to 24", sent)
	}
}

// Without replies of the counter a gateway stays within its share of the ceiling, and starts with an empty bucket.
func TestCeilingHoldsWithoutTheCounter(t *testing.T) {
	settings := testSettings()
	settings.Plans[3].Rate = 0 // leaves the ceiling as the only limit
	g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	g.gateway.limiter.SetWindow(1000)
	sent := 0
	for i := range 400 {
		actions := g.sendRequest(RequestID(i+1), "read", "capped")
		actions = append(actions, g.advance(10*ms)...)
		sent += len(actionsOf[Send](actions))
	}
	if limit := 4*20/2 + 1; sent == 0 || sent > limit { // half of the ceiling rate for 4 s
		t.Fatalf("got %d sent in 4 s, want 1 to the share of %d", sent, limit)
	}
}

func TestConcurrencyQuotaIsSharedAndRequestsWaitForIt(t *testing.T) {
	settings := testSettings()
	settings.Plans = append(settings.Plans, Plan{Name: "open", Price: 1, Rate: 100, Burst: 100, MaxConcurrency: 4,
		OverQuotaCost: 1})
	g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	g.gateway.limiter.SetWindow(100)
	sends := 0
	for id := RequestID(1); id <= 5; id++ {
		sends += len(actionsOf[Send](g.sendRequest(id, "read", "open")))
	}
	if sends != 2 {
		t.Fatalf("got %d attempts sent, want this gateway's share of 2", sends)
	}
	got := actionsOf[Send](g.handle(AttemptEnded{ID: 1, Outcome: Succeeded, Latency: 5 * ms, RequestFinished: true}))
	if len(got) != 1 {
		t.Fatalf("got sends %v, want one of a waiting request", got)
	}
}

// After a stall of the gateway, requests that can no longer be answered by their deadline end before dispatch, so that they
// receive no capacity.
func TestStalledGatewayExpiresRequestsBeforeItDispatches(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving})
	for id := RequestID(1); id <= 10; id++ {
		g.sendRequest(id, "read", "free")
	}
	g.now += 1900 * ms
	if got := actionsOf[Send](g.handle(TimerFired{})); len(got) > 0 {
		t.Fatalf("got sends %v after the stall, want none", got)
	}
}

func TestInvalidSettingsReturnAnError(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"gateways":  func(s *Settings) { s.GatewayCount = 0 },
		"index":     func(s *Settings) { s.GatewayIndex = 2 },
		"classes":   func(s *Settings) { s.Classes = nil },
		"objective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"rate":      func(s *Settings) { s.Plans[0].Rate = -1 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil {
			t.Errorf("invalid %s: got no error, want one", name)
		}
	}
}

// A gateway with optional features disabled and an incomplete plan causes no panic, sends requests and stays within the rate.
func TestGatewayWithMinimalSettingsSendsRequests(t *testing.T) {
	settings := testSettings()
	settings.HasSharedCounter, settings.HedgingEnabled, settings.MayCancel, settings.SlowStartWindow = false, false, false, 0
	settings.Plans = []Plan{{Name: "small", Price: 1, Rate: 2}}
	g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving})
	sends := 0
	for id := RequestID(1); id <= 20; id++ {
		actions := append(g.sendRequest(id, "read", "small"),
			g.handle(AttemptEnded{ID: id, Outcome: Succeeded, Latency: ms, RequestFinished: true})...)
		actions = append(actions, g.advance(200*ms)...)
		sends += len(actionsOf[Send](actions))
		if len(actionsOf[IncrementCounter](actions)) > 0 {
			t.Fatal("got a call of the counter, want none without a shared counter")
		}
	}
	if sends < 3 || sends > 8 { // half of 2 units per second for 4 s, and the share of the burst
		t.Fatalf("got %d sent, want 3 to 8", sends)
	}
}

func TestGatewaysOfOneProcessShareNoState(t *testing.T) {
	run := func(withOther bool) string {
		a := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
		b := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving})
		actionLog := ""
		for id := RequestID(1); id <= 200; id++ {
			if withOther {
				b.sendRequest(id, "read", "small")
			}
			actionLog += fmt.Sprint(a.sendRequest(id, "read", "small"), a.advance(30*ms))
		}
		return actionLog
	}
	if run(false) != run(true) {
		t.Fatal("got different actions beside another gateway, want the same as alone")
	}
}

// The lease is renewed once half of it is spent, before a request has to wait for it, with one call in flight at a time.
func TestLeaseIsRenewedOnceHalfIsSpent(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving})
	var calls []IncrementCounter
	for id := RequestID(1); id <= 3; id++ {
		actions := g.sendRequest(id, "read", "small")
		if len(actionsOf[Send](actions)) != 1 {
			t.Fatalf("request %d was not sent at once", id)
		}
		calls = append(calls, actionsOf[IncrementCounter](actions)...)
		g.handle(AttemptEnded{ID: id, Outcome: Succeeded, Latency: ms, RequestFinished: true})
	}
	if len(calls) != 1 || calls[0].Delta < 4 {
		t.Fatalf("got calls %v, want one that adds the first lease and the next", calls)
	}
}

// Late answers of one endpoint do not narrow the window, which limits the attempts at all endpoints.
func TestOneSlowEndpointDoesNotNarrowTheWindow(t *testing.T) {
	var endpoints []Endpoint
	for i := range 12 {
		endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
	}
	g := newTestGateway(t, testSettings(), endpoints...)
	before := g.gateway.limiter.Window()
	class := g.gateway.classes["read"]
	for range 50 {
		g.gateway.recordSample(class, g.gateway.balancer.ServingEndpoints()[0], limiter.Sample{Outcome: TimedOut})
	}
	g.advance(100 * ms)
	if g.gateway.limiter.Window() < before {
		t.Fatal("got a narrower window after late answers of one endpoint, want the same or a wider one")
	}
	for i := range 50 {
		g.gateway.recordSample(class, g.gateway.balancer.ServingEndpoints()[i%12], limiter.Sample{Outcome: TimedOut})
	}
	g.advance(2 * time.Second)
	if g.gateway.limiter.Window() >= before {
		t.Fatal("got the same or a wider window after late answers of all endpoints, want a narrower one")
	}
}

// Long requests of one class do not narrow the window while another class is answered in time, since they are no overload.
func TestLongRequestsOfOneClassDoNotNarrowTheWindow(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	before := g.gateway.limiter.Window()
	for i := range 40 {
		s := g.gateway.balancer.ServingEndpoints()[i%2]
		g.gateway.recordSample(g.gateway.classes["book"], s, limiter.Sample{Outcome: Succeeded, Latency: 400 * ms})
		g.gateway.recordSample(g.gateway.classes["read"], s, limiter.Sample{Outcome: Succeeded, Latency: 20 * ms})
	}
	g.advance(2 * time.Second)
	if g.gateway.limiter.Window() < before {
		t.Fatal("got a narrower window after long requests of one class, want the same or a wider one")
	}
}
