package policy

import (
	"testing"
	"time"
)

// cluster is several gateways with the same endpoints and one counter.
type cluster struct {
	gateways      []*testGateway
	totals        map[string]float64
	counterSilent bool // calls of the counter time out
}

// newCluster returns n gateways that have just started and know these endpoints.
func newCluster(t *testing.T, n int, set Settings, endpoints ...Endpoint) *cluster {
	t.Helper()
	c := &cluster{totals: map[string]float64{}}
	for i := range n {
		set.Index, set.GatewayCount = i, n
		gateway, err := New(set, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		g := &testGateway{T: t, gateway: gateway, now: time.Minute}
		g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpoints})
		c.gateways = append(c.gateways, g)
	}
	return c
}

// handle gives one gateway an event, replies to its calls of the counter, and returns what it sent.
func (c *cluster) handle(g *testGateway, ev Event) []Send {
	acts := g.handle(ev)
	sends := only[Send](acts)
	for _, call := range only[IncrementCounter](acts) {
		reply := CounterReply{Name: call.Name, Outcome: TimedOut}
		if !c.counterSilent {
			c.totals[call.Name] += call.Delta
			reply.Outcome, reply.Total = Succeeded, c.totals[call.Name]
		}
		sends = append(sends, c.handle(g, reply)...)
	}
	return sends
}

// arrive brings one request to a gateway.
func (c *cluster) arrive(g *testGateway, id int, class, plan string) []Send {
	return c.handle(g, Arrival{Request{ID: RequestID(id), Class: class, Plan: plan, Customer: "c", Units: 1,
		Deadline: g.now + 2*time.Second, GatewaySpan: len(c.gateways)}})
}

// The first requests that all gateways admit for a customer sum to its burst, or while the counter is silent to the
// gateways' shares of it, however many gateways there are.
func TestFirstRequestsAtAllGatewaysSumToTheBurst(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		for _, silent := range []bool{false, true} {
			c := newCluster(t, n, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
			c.counterSilent = silent
			sent := 0
			for i := range 2 * max(n, 20) { // all of them twice at one moment, a few gateways more often
				g := c.gateways[i%n]
				for _, s := range c.arrive(g, i, "read", "small") {
					sent++
					c.handle(g, AttemptEnded{ID: s.ID, Outcome: Succeeded, Latency: ms, RequestFinished: true})
				}
			}
			limit := 2 * 8 // the burst is 8; the random parts of the local buckets add some variance
			if n == 3 && !silent {
				limit = (n + 1) * 8 // leased ahead: a gateway's first total takes earlier usage as spread over its window
			}
			if sent < 3 || sent > limit {
				t.Errorf("%d gateways, counter silent %v: %d sent at one moment, the burst is 8", n, silent, sent)
			}
		}
	}
}

// The ceiling holds over all gateways, by the counter's grants, by their shares while it is silent, and over a restart of
// all of them.
func TestCeilingHoldsOverAllGateways(t *testing.T) {
	for _, n := range []int{1, 3, 20} { // the requests of such a customer arrive at no more gateways than half its burst
		for _, silent := range []bool{false, true} {
			c := newCluster(t, n, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
			c.counterSilent = silent
			sent, id := 0, 0
			for step := range 300 { // 3 s, all restarted in the middle
				if step == 150 {
					fresh := newCluster(t, n, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
					fresh.counterSilent, fresh.totals = silent, c.totals
					for i, g := range fresh.gateways {
						g.now = c.gateways[i].now
					}
					c = fresh
				}
				for i := range max(1, 20/n) * n {
					g := c.gateways[i%n]
					g.gateway.limiter.SetWindow(1000)
					id++
					for _, s := range c.arrive(g, id, "read", "capped") {
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
				t.Errorf("%d gateways, counter silent %v: %d sent in 3 s, the ceiling allows %d", n, silent, sent, limit)
			}
		}
	}
}

// All gateways together send an endpoint in slow start no more than its budget, also where it is the only endpoint and all
// gateways have just started.
func TestSlowStartBudgetHoldsOverAllGateways(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		c := newCluster(t, n, settings())
		sent, id := 0, 0
		for _, g := range c.gateways {
			c.handle(g, EndpointsChanged{IsSnapshot: true, Endpoints: []Endpoint{{ID: "s", State: Serving, StartedAt: g.now}}})
		}
		for range 30 { // 3 s
			for _, g := range c.gateways {
				id++
				sends := c.arrive(g, id, "read", "free")
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
		// An endpoint that serves 20 requests a second when warm serves 4 now; four times that for 3 s is 48.
		if n >= 3 && sent == 0 || sent > 48 {
			t.Errorf("%d gateways sent %d to an endpoint in slow start in 3 s", n, sent)
		}
	}
}

// Where gateways outnumber a customer's concurrent attempts and an over-quota attempt has a cost, they take turns.
func TestConcurrencyLimitHoldsOverAllGateways(t *testing.T) {
	set := settings()
	set.Plans = append(set.Plans, Plan{Name: "open", Price: 1, Rate: 100, Burst: 400, MaxConcurrency: 3, OverQuotaCost: 0.6})
	for _, n := range []int{1, 3, 8, 20} {
		c := newCluster(t, n, set, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
		for _, g := range c.gateways {
			g.now = time.Minute + 19*37*ms // some gateways have their turn
			g.gateway.limiter.SetWindow(100)
		}
		sent := 0
		for i := range 3 * n {
			sent += len(c.arrive(c.gateways[i%n], i, "read", "open"))
		}
		if n > 1 && sent != 3 {
			t.Errorf("%d gateways sent %d at one moment, the limit is 3", n, sent)
		}
	}
}
