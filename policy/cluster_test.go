package policy

import (
	"testing"
	"time"
)

// cluster holds several gateways that share endpoints and one counter.
type cluster struct {
	gateways        []*testGateway
	totals          map[string]float64 // of the counter, by name
	counterTimesOut bool               // all calls of the counter time out
}

// newCluster returns n gateways that have just started and received the endpoint list.
func newCluster(t *testing.T, n int, settings Settings, endpoints ...Endpoint) *cluster {
	t.Helper()
	c := &cluster{totals: map[string]float64{}}
	for i := range n {
		settings.GatewayIndex, settings.GatewayCount = i, n
		gateway, err := New(settings, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		g := &testGateway{T: t, gateway: gateway, now: time.Minute}
		g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpoints})
		c.gateways = append(c.gateways, g)
	}
	return c
}

// handle passes an event to one gateway, replies to its calls of the counter, and returns all attempts that it sends.
func (c *cluster) handle(g *testGateway, event Event) []Send {
	actions := g.handle(event)
	sends := actionsOf[Send](actions)
	for _, call := range actionsOf[IncrementCounter](actions) {
		reply := CounterReply{Name: call.Name, Outcome: TimedOut}
		if !c.counterTimesOut {
			c.totals[call.Name] += call.Delta
			reply.Outcome, reply.Total = Succeeded, c.totals[call.Name]
		}
		sends = append(sends, c.handle(g, reply)...)
	}
	return sends
}

// sendRequest passes a request of one unit of customer c to a gateway.
func (c *cluster) sendRequest(g *testGateway, id int, class, plan string) []Send {
	return c.handle(g, Arrival{Request{ID: RequestID(id), Class: class, Plan: plan, Customer: "c", Units: 1,
		Deadline: g.now + 2*time.Second, GatewaySpan: len(c.gateways)}})
}

// The first requests of a customer that all gateways together admit are limited by its burst for any number of gateways. If
// the counter does not reply, each gateway is limited by its share of the burst.
func TestFirstRequestsAtAllGatewaysSumToTheBurst(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		for _, timesOut := range []bool{false, true} {
			c := newCluster(t, n, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
			c.counterTimesOut = timesOut
			sent := 0
			for i := range 2 * max(n, 20) { // at one time, each gateway twice, or more often if they are few
				g := c.gateways[i%n]
				for _, s := range c.sendRequest(g, i, "read", "small") {
					sent++
					c.handle(g, AttemptEnded{ID: s.ID, Outcome: Succeeded, Latency: ms, RequestFinished: true})
				}
			}
			limit := 2 * 8 // twice the burst of 8, since the local buckets start at random levels
			if n == 3 && !timesOut {
				limit = (n + 1) * 8 // leases: the first total of a gateway is estimated as usage spread over its window
			}
			if sent < 3 || sent > limit {
				t.Errorf("%d gateways, counter times out %v: got %d sent at one time, want at least 3 and about the burst of 8",
					n, timesOut, sent)
			}
		}
	}
}

// All gateways together stay within the ceiling: by the grants of the counter, by their shares of the ceiling if the counter
// does not reply, and after a restart of all gateways.
func TestCeilingHoldsOverAllGateways(t *testing.T) {
	for _, n := range []int{1, 3, 20} { // a customer with a ceiling uses at most half as many gateways as its burst of 40
		for _, timesOut := range []bool{false, true} {
			c := newCluster(t, n, testSettings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
			c.counterTimesOut = timesOut
			sent, id := 0, 0
			for step := range 300 { // 3 s, all gateways restart in the middle
				if step == 150 {
					restarted := newCluster(t, n, testSettings(), Endpoint{ID: "s", State: Serving},
						Endpoint{ID: "u", State: Serving})
					restarted.counterTimesOut, restarted.totals = timesOut, c.totals
					for i, g := range restarted.gateways {
						g.now = c.gateways[i].now
					}
					c = restarted
				}
				for i := range max(1, 20/n) * n {
					g := c.gateways[i%n]
					g.gateway.limiter.SetWindow(1000)
					id++
					for _, s := range c.sendRequest(g, id, "read", "capped") {
						sent++
						c.handle(g, AttemptEnded{ID: s.ID, Outcome: Succeeded, Latency: ms, RequestFinished: true})
					}
				}
				for _, g := range c.gateways {
					g.now += 10 * ms
					for range c.handle(g, TimerFired{}) {
						sent++
					}
				}
			}
			if limit := 40 + 3*20 + 4; sent == 0 || sent > limit {
				t.Errorf("%d gateways, counter times out %v: got %d sent in 3 s, want 1 to the %d that the ceiling allows", n,
					timesOut, sent, limit)
			}
		}
	}
}

// All gateways together stay within the budget of an endpoint in slow start, even if it is the only endpoint and all gateways
// have just started.
func TestSlowStartBudgetHoldsOverAllGateways(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		c := newCluster(t, n, testSettings())
		sent, id := 0, 0
		for _, g := range c.gateways {
			c.handle(g, EndpointsChanged{IsSnapshot: true, Endpoints: []Endpoint{{ID: "s", State: Serving, StartedAt: g.now}}})
		}
		for range 30 { // 3 s
			for _, g := range c.gateways {
				id++
				sends := c.sendRequest(g, id, "read", "free")
				for range 10 {
					g.now += 10 * ms
					sends = append(sends, c.handle(g, TimerFired{})...)
				}
				for _, s := range sends {
					sent++
					c.handle(g, AttemptEnded{ID: s.ID, Outcome: Rejected})
				}
			}
		}
		// An endpoint that serves 20 requests per second when warm serves 4 at its start; 4 times that for 3 s is 48.
		if n >= 3 && sent == 0 || sent > 48 {
			t.Errorf("%d gateways: got %d attempts at an endpoint in slow start in 3 s, want at most 48, and at least 1 from 3 gateways",
				n, sent)
		}
	}
}

// Gateways take turns if they outnumber a customer's concurrent attempts and an over-quota attempt has a cost.
func TestConcurrencyLimitHoldsOverAllGateways(t *testing.T) {
	settings := testSettings()
	settings.Plans = append(settings.Plans, Plan{Name: "open", Price: 1, Rate: 100, Burst: 400, MaxConcurrency: 3,
		OverQuotaCost: 0.6})
	for _, n := range []int{1, 3, 8, 20} {
		c := newCluster(t, n, settings, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
		for _, g := range c.gateways {
			g.now = time.Minute + 19*37*ms // a time at which some gateways have their turn
			g.gateway.limiter.SetWindow(100)
		}
		sent := 0
		for i := range 3 * n {
			sent += len(c.sendRequest(c.gateways[i%n], i, "read", "open"))
		}
		if n > 1 && sent != 3 {
			t.Errorf("%d gateways: got %d attempts sent at one time, want the limit of 3", n, sent)
		}
	}
}
