package policy

import (
	"testing"
	"time"
)

// The units of a request whose client disconnects before anything of it has left the gateway are refunded: in the queue,
// while it waits for a connection, and while it waits for the counter.
func TestUnitsAreRefundedWhenTheClientDisconnectsBeforeSending(t *testing.T) {
	for name, wait := range map[string]func(g *testGateway){
		"in the queue": func(g *testGateway) {
			g.gateway.limiter.SetWindow(0)
			g.arrive(1, "read", "small")
			g.handle(ClientDisconnected{ID: 1})
		},
		"for a connection": func(g *testGateway) {
			g.arrive(1, "read", "small")
			g.handle(ClientDisconnected{ID: 1})
			g.handle(AttemptEnded{ID: 1, Endpoint: "s", Outcome: NotSent, RequestFinished: true})
		},
		"for the counter": func(g *testGateway) {
			acts := g.handle(Arrival{Request{ID: 1, Class: "read", Plan: "small", Customer: "c", Units: 1,
				Deadline: g.now + 2*time.Second, GatewaySpan: 100}})
			g.handle(ClientDisconnected{ID: 1})
			g.handle(CounterReply{Name: only[IncrementCounter](acts)[0].Name, Outcome: Succeeded, Total: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			set := settings()
			set.GatewayCount, set.MayCancel = 100, false
			g := newTestGateway(t, set, Endpoint{ID: "s", State: Serving})
			want := 4.0
			if name == "for the counter" {
				want = 8.0/100 + 1 // the first lease, which is less than a unit, and the unit that was granted
			}
			wait(g)
			c := g.gateway.quota.Customer("c")
			if tokens := c.LeaseTokens + c.ReservedTokens; tokens != want || c.AttemptsInFlight != 0 || g.gateway.limiter.InFlight() != 0 {
				t.Fatalf("lease and reservation %v of %v, %d attempts in flight, %d in the window", tokens, want,
					c.AttemptsInFlight, g.gateway.limiter.InFlight())
			}
			g.gateway.limiter.SetWindow(10)
			if got := only[Send](g.advance(time.Second)); len(got) > 0 {
				t.Fatalf("sent %v", got)
			}
		})
	}
}

// However many requests expire unsent, their units refill the lease up to this gateway's share of the burst and no further:
// the rest goes back to the token bucket, or, of a central bucket, is reported.
func TestRefundsRefillTheLeaseOnlyUpToItsShare(t *testing.T) {
	for _, span := range []int{2, 4, 100} {
		set := settings()
		set.GatewayCount = 100
		g := newTestGateway(t, set, Endpoint{ID: "s", State: Serving})
		g.gateway.limiter.SetWindow(0) // nothing is sent
		arrive := func(id RequestID) {
			for _, call := range only[IncrementCounter](g.handle(Arrival{Request{ID: id, Class: "read", Plan: "small", Customer: "c",
				Units: 1, Deadline: g.now + 2*time.Second, GatewaySpan: span}})) {
				g.handle(CounterReply{Name: call.Name, Outcome: Succeeded, Total: max(0, call.Delta)})
			}
		}
		for id := range RequestID(60) {
			arrive(id + 1)
			g.advance(300 * ms)
		}
		g.advance(3 * time.Second)
		c := g.gateway.quota.Customer("c")
		share, tokens := max(8/float64(span), 1), c.LeaseTokens+c.ReservedTokens
		if tokens > share+1e-9 || tokens < share/2 || len(g.gateway.activeRequests) > 0 {
			t.Errorf("%d gateways: lease %v after all have expired, the share is %v", span, tokens, share)
		}
		if all := c.LeaseTokens + c.AvailableTokens; !c.HasCentralBucket && all > 8+1e-9 {
			t.Errorf("%d gateways: lease and token bucket hold %v, the burst is 8", span, all)
		}
	}
}

// The units that an answer settles for a request whose claim was granted are reported by the customer's next call.
func TestSettledUnitsOfAnAnswerAreReportedByTheNextCall(t *testing.T) {
	set := manyGatewaySettings()
	for i := range set.Plans {
		set.Plans[i].SettledByReply = true
	}
	g := newTestGateway(t, set, Endpoint{ID: "s", State: Serving})
	arrive := func(id RequestID) []Action {
		return g.handle(Arrival{Request{ID: id, Class: "read", Plan: "thick", Customer: "c", Units: 2,
			Deadline: g.now + 2*time.Second, GatewaySpan: 60}})
	}
	call := only[IncrementCounter](arrive(1))[0]
	sends := only[Send](g.handle(CounterReply{Name: call.Name, Outcome: Succeeded, Total: call.Delta}))
	if len(sends) != 1 {
		t.Fatalf("sends %v, want one", sends)
	}
	g.handle(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Succeeded, Latency: ms, RequestFinished: true, SettledUnits: 3.5})
	next := only[IncrementCounter](arrive(2))
	if len(next) != 1 || next[0].Delta != 2+1.5 {
		t.Errorf("calls %v, want one for 2 units and the 1.5 that were settled", next)
	}
}

// An attempt of which nothing was sent is retried elsewhere though the retry budget is spent: it is no additional load.
func TestRetryOfAnUnsentAttemptNeedsNoBudget(t *testing.T) {
	g := newTestGateway(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	first := only[Send](g.arrive(1, "pay", "free"))[0]
	g.gateway.retryBudget = 0
	g.handle(EndpointsChanged{Endpoints: []Endpoint{{ID: first.Endpoint}}}) // draining
	acts := g.handle(AttemptEnded{ID: 1, Endpoint: first.Endpoint, Outcome: NotSent})
	if got := only[Send](acts); len(got) != 1 || got[0].Endpoint == first.Endpoint {
		t.Fatalf("sends %v, want one to the other endpoint", got)
	}
}

// A request that waits for the counter has its answer before its deadline, whatever the counter does, and a late reply of
// the counter sends nothing.
func TestRequestThatWaitsForTheCounterIsAnsweredBeforeItsDeadline(t *testing.T) {
	set := settings()
	set.GatewayCount = 100
	for _, left := range []time.Duration{2 * ms, 15 * ms, 700 * ms} {
		g := newTestGateway(t, set, Endpoint{ID: "s", State: Serving})
		acts := g.handle(Arrival{Request{ID: 1, Class: "read", Plan: "small", Customer: "c", Units: 1,
			Deadline: g.now + left, GatewaySpan: 100}})
		calls := only[IncrementCounter](acts)
		if len(calls) != 1 || calls[0].Delta != 1 {
			t.Fatalf("calls %v, want one for the request's unit", calls)
		}
		acts = append(acts, g.advance(left-left%(10*ms))...)
		if len(only[Reject](acts)) != 1 {
			t.Fatalf("%v left: actions %v, want one rejection", left, acts)
		}
		late := g.handle(CounterReply{Name: calls[0].Name, Outcome: Succeeded, Total: 1})
		if len(only[Send](late)) > 0 || len(only[Reject](late)) > 0 {
			t.Fatalf("%v left: the late reply led to %v", left, late)
		}
	}
}
