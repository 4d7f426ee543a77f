package policy

import (
	"testing"
	"time"
)

// manyGatewaySettings are those of one of many gateways: the requests of a customer arrive at all of them.
func manyGatewaySettings() Settings {
	set := settings()
	set.GatewayCount, set.MaxUnits = 60, 4
	set.Plans = append(set.Plans,
		Plan{Name: "thin", Price: 1, Rate: 0.8, Burst: 8, OverQuotaCost: 1.2},
		Plan{Name: "thick", Price: 1, Rate: 14, Burst: 25, OverQuotaCost: 1.2})
	return set
}

// Wherever a request waits when its client disconnects, nothing of it is sent from then on, whatever comes later: replies of
// the counter, ends of attempts, capacity of the window or the concurrency limit, endpoints.
func TestNothingIsSentAfterTheClientDisconnects(t *testing.T) {
	endpoints := []Endpoint{{ID: "s", State: Serving}, {ID: "u", State: Serving}}
	ended := func(o Outcome) AttemptEnded {
		return AttemptEnded{ID: 1, Endpoint: "s", Outcome: o, Latency: 20 * ms}
	}
	of := func(g *testGateway, id RequestID, plan string, spread int) []Action {
		return g.handle(Arrival{Request{ID: id, Class: "read", Plan: plan, Customer: "c", Units: 1,
			Deadline: g.now + 2*time.Second, GatewaySpan: spread}})
	}
	counted := func(o Outcome, total float64) func(g *testGateway, calls []IncrementCounter) []Action {
		return func(g *testGateway, calls []IncrementCounter) (acts []Action) {
			for _, c := range calls {
				acts = append(acts, g.handle(CounterReply{Name: c.Name, Outcome: o, Total: total})...)
			}
			return acts
		}
	}
	// loseCall lets a call for another customer time out, after which not all requests call the counter.
	loseCall := func(g *testGateway) {
		calls := only[IncrementCounter](g.handle(Arrival{Request{ID: 9, Class: "read", Plan: "thin", Customer: "other", Units: 1,
			Deadline: g.now + 2*time.Second, GatewaySpan: 60}}))
		g.handle(CounterReply{Name: calls[0].Name, Outcome: TimedOut})
	}
	for name, c := range map[string]struct {
		plan     string
		rejected bool // unless its client disconnects
		spread   int
		ready    func(g *testGateway)                                    // before the request arrives
		waits    func(g *testGateway)                                    // after, until it waits
		later    func(g *testGateway, calls []IncrementCounter) []Action // after its client has disconnected
	}{
		"for the counter, which grants":             {"thin", false, 60, nil, nil, counted(Succeeded, 1)},
		"for the counter, which rejects":            {"thin", true, 60, nil, nil, counted(Succeeded, 1000)},
		"for the counter, which times out":          {"thin", false, 60, nil, nil, counted(TimedOut, 0)},
		"for the counter, whose calls are rejected": {"thin", false, 60, nil, nil, counted(Rejected, 0)},
		"for the counter, which not all requests call": {"thin", false, 60, loseCall, nil,
			counted(Succeeded, 1)},
		"for the counter, over the quota": {"excess", false, 60, nil, nil, counted(Succeeded, 1000)},
		"for a ceiling's window":          {"lid", false, 60, nil, nil, counted(Succeeded, 1)},
		"in the queue":                    {"free", false, 2, func(g *testGateway) { g.gateway.limiter.SetWindow(0) }, nil, nil},
		"for an endpoint": {"free", false, 2, func(g *testGateway) { g.handle(EndpointsChanged{IsSnapshot: true}) }, nil,
			func(g *testGateway, _ []IncrementCounter) []Action {
				return g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpoints})
			}},
		"at the concurrency limit": {"open", false, 1, func(g *testGateway) { of(g, 9, "open", 1) }, nil,
			func(g *testGateway, _ []IncrementCounter) []Action {
				return g.handle(AttemptEnded{ID: 9, Endpoint: "s", Outcome: Succeeded, Latency: 20 * ms, RequestFinished: true})
			}},
		"for an answer, before a hedge": {"free", false, 2,
			func(g *testGateway) { g.gateway.classes["read"].latency.Record(20 * ms) }, nil, nil},
		"for an answer that is a rejection": {"free", false, 2, nil, nil,
			func(g *testGateway, _ []IncrementCounter) []Action { return g.handle(ended(Rejected)) }},
		"for a connection that never comes": {"free", false, 2, nil, nil,
			func(g *testGateway, _ []IncrementCounter) []Action { return g.handle(ended(ConnectFailed)) }},
		"for a retry": {"free", false, 2, nil, func(g *testGateway) {
			g.gateway.limiter.SetWindow(0) // it shrinks in the meantime
			g.handle(ended(Rejected))
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			play := func(disconnects, mayCancel bool) (acts []Action) {
				set := manyGatewaySettings()
				set.MayCancel = mayCancel
				set.Plans = append(set.Plans, Plan{Name: "open", Price: 1, MaxConcurrency: 1, OverQuotaCost: 1},
					Plan{Name: "excess", Price: 1, Rate: 0.8, Burst: 8, OverQuotaWeight: 1, OverQuotaCost: 0.1},
					Plan{Name: "lid", Price: 1, Rate: 0.8, Burst: 8, CeilingRate: 2, CeilingBurst: 16})
				g := newTestGateway(t, set, endpoints...)
				g.gateway.limiter.SetWindow(10)
				g.gateway.retryBudget = 10
				if c.ready != nil {
					c.ready(g)
				}
				calls := only[IncrementCounter](of(g, 1, c.plan, c.spread))
				if c.waits != nil {
					c.waits(g)
				}
				g.now += ms
				if disconnects {
					acts = g.handle(ClientDisconnected{ID: 1})
				}
				g.gateway.limiter.SetWindow(max(g.gateway.limiter.Window(), 10))
				g.now += ms
				if c.later != nil {
					acts = append(acts, c.later(g, calls)...)
				}
				return append(acts, g.advance(3*time.Second)...)
			}
			for _, mayCancel := range []bool{true, false} {
				for _, disconnects := range []bool{true, false} {
					sends, answers := 0, 0
					for _, a := range play(disconnects, mayCancel) {
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
						t.Errorf("may cancel %v: %d attempts, %d answers", mayCancel, sends, answers)
					case !disconnects && sends == 0 && !c.rejected:
						t.Errorf("may cancel %v: not sent for a connected client", mayCancel)
					}
				}
			}
		})
	}
}

// A request that arrives at its deadline is rejected at once and uses nothing of its customer's quota.
func TestRequestThatArrivesAtItsDeadlineIsRejected(t *testing.T) {
	g, err := New(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	for id := RequestID(1); id <= 50; id++ {
		out := g.Handle(now, Arrival{Request: Request{ID: id, Class: "read", Plan: "small", Customer: "c", Units: 1, GatewaySpan: 1,
			Deadline: now}}, nil)
		rejections := 0
		for _, a := range out {
			switch a := a.(type) {
			case Reject:
				rejections++
			case Send, IncrementCounter:
				t.Fatalf("request %d: %+v", id, a)
			}
		}
		if rejections != 1 {
			t.Fatalf("request %d: %d rejections in %+v", id, rejections, out)
		}
	}
}
