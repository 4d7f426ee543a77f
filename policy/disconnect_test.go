package policy

import (
	"testing"
	"time"
)

// manyGatewaySettings returns the settings of one of many gateways, with the plans of customers that use all of them.
func manyGatewaySettings() Settings {
	settings := testSettings()
	settings.GatewayCount, settings.MaxUnits = 60, 4
	settings.Plans = append(settings.Plans,
		Plan{Name: "thin", Price: 1, Rate: 0.8, Burst: 8, OverQuotaCost: 1.2},
		Plan{Name: "thick", Price: 1, Rate: 14, Burst: 25, OverQuotaCost: 1.2})
	return settings
}

// A waiting request is neither sent nor answered after its client has disconnected, not even if a reply of the counter, the end
// of an attempt, free capacity or new endpoints follow.
func TestNothingIsSentAfterTheClientDisconnects(t *testing.T) {
	endpoints := []Endpoint{{ID: "s", State: Serving}, {ID: "u", State: Serving}}
	attemptEnded := func(o Outcome) AttemptEnded {
		return AttemptEnded{ID: 1, Endpoint: "s", Outcome: o, Latency: 20 * ms}
	}
	sendRequest := func(g *testGateway, id RequestID, plan string, gatewaySpan int) []Action {
		return g.handle(Arrival{Request{ID: id, Class: "read", Plan: plan, Customer: "c", Units: 1,
			Deadline: g.now + 2*time.Second, GatewaySpan: gatewaySpan}})
	}
	replyToCalls := func(o Outcome, total float64) func(g *testGateway, calls []IncrementCounter) []Action {
		return func(g *testGateway, calls []IncrementCounter) (actions []Action) {
			for _, c := range calls {
				actions = append(actions, g.handle(CounterReply{Name: c.Name, Outcome: o, Total: total})...)
			}
			return actions
		}
	}
	// timeOutCall makes a call for another customer time out, after which not all requests call the counter.
	timeOutCall := func(g *testGateway) {
		calls := actionsOf[IncrementCounter](g.handle(Arrival{Request{ID: 9, Class: "read", Plan: "thin", Customer: "other",
			Units: 1, Deadline: g.now + 2*time.Second, GatewaySpan: 60}}))
		g.handle(CounterReply{Name: calls[0].Name, Outcome: TimedOut})
	}
	for name, test := range map[string]struct {
		plan                string
		rejectedIfConnected bool // the counter rejects the request if the client stays connected
		gatewaySpan         int
		prepare             func(g *testGateway)                                    // called before the request arrives
		enterWait           func(g *testGateway)                                    // called after the arrival, to make the request wait
		afterDisconnect     func(g *testGateway, calls []IncrementCounter) []Action // called after the disconnection
	}{
		"for the counter, which grants":             {"thin", false, 60, nil, nil, replyToCalls(Succeeded, 1)},
		"for the counter, which rejects":            {"thin", true, 60, nil, nil, replyToCalls(Succeeded, 1000)},
		"for the counter, which times out":          {"thin", false, 60, nil, nil, replyToCalls(TimedOut, 0)},
		"for the counter, whose calls are rejected": {"thin", false, 60, nil, nil, replyToCalls(Rejected, 0)},
		"for the counter, which not all requests call": {"thin", false, 60, timeOutCall, nil,
			replyToCalls(Succeeded, 1)},
		"for the counter, over the quota": {"excess", false, 60, nil, nil, replyToCalls(Succeeded, 1000)},
		"for a ceiling's window":          {"lid", false, 60, nil, nil, replyToCalls(Succeeded, 1)},
		"in the queue":                    {"free", false, 2, func(g *testGateway) { g.gateway.limiter.SetWindow(0) }, nil, nil},
		"for an endpoint": {"free", false, 2, func(g *testGateway) { g.handle(EndpointsChanged{IsSnapshot: true}) }, nil,
			func(g *testGateway, _ []IncrementCounter) []Action {
				return g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpoints})
			}},
		"at the concurrency limit": {"open", false, 1, func(g *testGateway) { sendRequest(g, 9, "open", 1) }, nil,
			func(g *testGateway, _ []IncrementCounter) []Action {
				return g.handle(AttemptEnded{ID: 9, Endpoint: "s", Outcome: Succeeded, Latency: 20 * ms, RequestFinished: true})
			}},
		"for an answer, before a hedge": {"free", false, 2,
			func(g *testGateway) { g.gateway.classes["read"].latency.Record(20 * ms) }, nil, nil},
		"for an answer that is a rejection": {"free", false, 2, nil, nil,
			func(g *testGateway, _ []IncrementCounter) []Action { return g.handle(attemptEnded(Rejected)) }},
		"for a connection that fails": {"free", false, 2, nil, nil,
			func(g *testGateway, _ []IncrementCounter) []Action { return g.handle(attemptEnded(ConnectFailed)) }},
		"for a retry": {"free", false, 2, nil, func(g *testGateway) {
			g.gateway.limiter.SetWindow(0) // so that the retry waits
			g.handle(attemptEnded(Rejected))
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			run := func(disconnects, mayCancel bool) (actions []Action) {
				settings := manyGatewaySettings()
				settings.MayCancel = mayCancel
				settings.Plans = append(settings.Plans, Plan{Name: "open", Price: 1, MaxConcurrency: 1, OverQuotaCost: 1},
					Plan{Name: "excess", Price: 1, Rate: 0.8, Burst: 8, OverQuotaWeight: 1, OverQuotaCost: 0.1},
					Plan{Name: "lid", Price: 1, Rate: 0.8, Burst: 8, CeilingRate: 2, CeilingBurst: 16})
				g := newTestGateway(t, settings, endpoints...)
				g.gateway.limiter.SetWindow(10)
				g.gateway.retryBudget = 10
				if test.prepare != nil {
					test.prepare(g)
				}
				calls := actionsOf[IncrementCounter](sendRequest(g, 1, test.plan, test.gatewaySpan))
				if test.enterWait != nil {
					test.enterWait(g)
				}
				g.now += ms
				if disconnects {
					actions = g.handle(ClientDisconnected{ID: 1})
				}
				g.gateway.limiter.SetWindow(max(g.gateway.limiter.Window(), 10))
				g.now += ms
				if test.afterDisconnect != nil {
					actions = append(actions, test.afterDisconnect(g, calls)...)
				}
				return append(actions, g.advance(3*time.Second)...)
			}
			for _, mayCancel := range []bool{true, false} {
				for _, disconnects := range []bool{true, false} {
					sends, answers := 0, 0
					for _, a := range run(disconnects, mayCancel) {
						switch a := a.(type) {
						case Send:
							if a.ID == 1 {
								sends++
							}
						case Reject, Fail:
							answers++
						}
					}
					switch {
					case disconnects && sends+answers > 0:
						t.Errorf("MayCancel %v: got %d attempts and %d answers after the client disconnected, want none",
							mayCancel, sends, answers)
					case !disconnects && sends == 0 && !test.rejectedIfConnected:
						t.Errorf("MayCancel %v: got no attempt for a connected client, want one", mayCancel)
					}
				}
			}
		})
	}
}

// A request that arrives at its deadline is rejected at once and uses no units of its customer's quota.
func TestRequestThatArrivesAtItsDeadlineIsRejected(t *testing.T) {
	g, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	for id := RequestID(1); id <= 50; id++ {
		out := g.Handle(now, Arrival{Request: Request{ID: id, Class: "read", Plan: "small", Customer: "c", Units: 1,
			GatewaySpan: 1, Deadline: now}}, nil)
		rejections := 0
		for _, a := range out {
			switch a := a.(type) {
			case Reject:
				rejections++
			case Send, IncrementCounter:
				t.Fatalf("request %d: got action %+v, want a rejection", id, a)
			}
		}
		if rejections != 1 {
			t.Fatalf("request %d: got %d rejections in %+v, want 1", id, rejections, out)
		}
	}
}
