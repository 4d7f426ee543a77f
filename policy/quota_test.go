package policy

import (
	"testing"
	"time"
)

// The units of a request are refunded if its client disconnects before the request is sent: in the queue, while it waits for
// a connection, and while it waits for the counter.
func TestUnitsAreRefundedWhenTheClientDisconnectsBeforeSending(t *testing.T) {
	for name, disconnectEarly := range map[string]func(g *testGateway){
		"in the queue": func(g *testGateway) {
			g.gateway.limiter.SetWindow(0)
			g.sendRequest(1, "read", "small")
			g.handle(ClientDisconnected{ID: 1})
		},
		"for a connection": func(g *testGateway) {
			g.sendRequest(1, "read", "small")
			g.handle(ClientDisconnected{ID: 1})
			g.handle(AttemptEnded{ID: 1, Endpoint: "s", Outcome: NotSent, RequestFinished: true})
		},
		"for the counter": func(g *testGateway) {
			actions := g.handle(Arrival{Request{ID: 1, Class: "read", Plan: "small", Customer: "c", Units: 1,
				Deadline: g.now + 2*time.Second, GatewaySpan: 100}})
			g.handle(ClientDisconnected{ID: 1})
			g.handle(CounterReply{Name: actionsOf[IncrementCounter](actions)[0].Name, Outcome: Succeeded, Total: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.GatewayCount, settings.MayCancel = 100, false
			g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving})
			want := 4.0
			if name == "for the counter" {
				want = 8.0/100 + 1 // the first lease of less than one unit, and the granted unit
			}
			disconnectEarly(g)
			c := g.gateway.quota.Customer("c")
			if tokens := c.LeaseTokens + c.ReservedTokens; tokens != want || c.AttemptsInFlight != 0 ||
				g.gateway.limiter.InFlight() != 0 {
				t.Fatalf("got %v units in lease and reservation, want %v; got %d attempts in flight, %d in the window, want none",
					tokens, want,
					c.AttemptsInFlight, g.gateway.limiter.InFlight())
			}
			g.gateway.limiter.SetWindow(10)
			if got := actionsOf[Send](g.advance(time.Second)); len(got) > 0 {
				t.Fatalf("got sends %v, want none", got)
			}
		})
	}
}

// The units of requests that expire unsent refill the lease only up to this gateway's share of the burst. The rest goes back
// to the token bucket or, for a central bucket, is reported to the counter.
func TestRefundsRefillTheLeaseOnlyUpToItsShare(t *testing.T) {
	for _, span := range []int{2, 4, 100} {
		settings := testSettings()
		settings.GatewayCount = 100
		g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving})
		g.gateway.limiter.SetWindow(0) // prevents all sends
		sendRequest := func(id RequestID) {
			for _, call := range actionsOf[IncrementCounter](g.handle(Arrival{Request{ID: id, Class: "read", Plan: "small",
				Customer: "c", Units: 1, Deadline: g.now + 2*time.Second, GatewaySpan: span}})) {
				g.handle(CounterReply{Name: call.Name, Outcome: Succeeded, Total: max(0, call.Delta)})
			}
		}
		for id := range RequestID(60) {
			sendRequest(id + 1)
			g.advance(300 * ms)
		}
		g.advance(3 * time.Second)
		c := g.gateway.quota.Customer("c")
		share, tokens := max(8/float64(span), 1), c.LeaseTokens+c.ReservedTokens
		if tokens > share+1e-9 || tokens < share/2 || len(g.gateway.requestsByArrival) > 0 {
			t.Errorf("%d gateways: got %v units in the lease after all requests expired, want half to all of the share of %v",
				span, tokens, share)
		}
		if all := c.LeaseTokens + c.AvailableTokens; !c.HasCentralBucket && all > 8+1e-9 {
			t.Errorf("%d gateways: got %v units in lease and token bucket, want at most the burst of 8", span, all)
		}
	}
}

// The difference between the units of a granted claim and the settled units of the answer is reported by the customer's next
// call.
func TestSettledUnitsOfAnAnswerAreReportedByTheNextCall(t *testing.T) {
	settings := manyGatewaySettings()
	for i := range settings.Plans {
		settings.Plans[i].SettledByAnswer = true
	}
	g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving})
	sendRequest := func(id RequestID) []Action {
		return g.handle(Arrival{Request{ID: id, Class: "read", Plan: "thick", Customer: "c", Units: 2,
			Deadline: g.now + 2*time.Second, GatewaySpan: 60}})
	}
	call := actionsOf[IncrementCounter](sendRequest(1))[0]
	sends := actionsOf[Send](g.handle(CounterReply{Name: call.Name, Outcome: Succeeded, Total: call.Delta}))
	if len(sends) != 1 {
		t.Fatalf("got sends %v, want one", sends)
	}
	g.handle(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Succeeded, Latency: ms, RequestFinished: true, SettledUnits: 3.5})
	next := actionsOf[IncrementCounter](sendRequest(2))
	if len(next) != 1 || next[0].Delta != 2+1.5 {
		t.Errorf("got calls %v, want one for 2 units and a correction of 1.5", next)
	}
}

// An attempt that was not sent is retried at another endpoint even if the retry budget is exhausted, since the retry is no
// additional load.
func TestRetryOfAnUnsentAttemptNeedsNoBudget(t *testing.T) {
	g := newTestGateway(t, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	first := actionsOf[Send](g.sendRequest(1, "pay", "free"))[0]
	g.gateway.retryBudget = 0
	g.handle(EndpointsChanged{Endpoints: []Endpoint{{ID: first.Endpoint}}}) // draining
	actions := g.handle(AttemptEnded{ID: 1, Endpoint: first.Endpoint, Outcome: NotSent})
	if got := actionsOf[Send](actions); len(got) != 1 || got[0].Endpoint == first.Endpoint {
		t.Fatalf("got sends %v, want one to the other endpoint", got)
	}
}

// A request that waits for the counter is answered before its deadline even if the counter does not reply, and a late reply
// of the counter causes no attempt and no second answer.
func TestRequestThatWaitsForTheCounterIsAnsweredBeforeItsDeadline(t *testing.T) {
	settings := testSettings()
	settings.GatewayCount = 100
	for _, remaining := range []time.Duration{2 * ms, 15 * ms, 700 * ms} {
		g := newTestGateway(t, settings, Endpoint{ID: "s", State: Serving})
		actions := g.handle(Arrival{Request{ID: 1, Class: "read", Plan: "small", Customer: "c", Units: 1,
			Deadline: g.now + remaining, GatewaySpan: 100}})
		calls := actionsOf[IncrementCounter](actions)
		if len(calls) != 1 || calls[0].Delta != 1 {
			t.Fatalf("got calls %v, want one for the request's unit", calls)
		}
		actions = append(actions, g.advance(remaining-remaining%(10*ms))...)
		if len(actionsOf[Reject](actions)) != 1 {
			t.Fatalf("deadline in %v: got actions %v, want one rejection", remaining, actions)
		}
		late := g.handle(CounterReply{Name: calls[0].Name, Outcome: Succeeded, Total: 1})
		if len(actionsOf[Send](late)) > 0 || len(actionsOf[Reject](late)) > 0 {
			t.Fatalf("deadline in %v: got actions %v after the late reply, want no send and no rejection", remaining, late)
		}
	}
}
