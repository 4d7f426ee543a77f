package policy

import (
	"fmt"
	"testing"
	"time"

	"lemontack/policy/limiter"
)

// cluster is several gateways with the same endpoints and one counter.
type cluster struct {
	rigs          []*rig
	totals        map[string]float64
	counterSilent bool // calls of the counter time out
}

func newCluster(t *testing.T, n int, set Settings, servers ...Endpoint) *cluster {
	t.Helper()
	c := &cluster{totals: map[string]float64{}}
	for i := range n {
		set.Index, set.GatewayCount = i, n
		g, err := New(set, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{T: t, g: g, now: time.Minute}
		r.tell(EndpointsChanged{Snapshot: true, Endpoints: servers})
		c.rigs = append(c.rigs, r)
	}
	return c
}

// tell gives one gateway an event, replies to its calls of the counter, and returns what it sent.
func (c *cluster) tell(r *rig, ev Event) []Send {
	acts := r.tell(ev)
	sends := only[Send](acts)
	for _, call := range only[IncrementCounter](acts) {
		reply := CounterReply{Name: call.Name, Outcome: TimedOut}
		if !c.counterSilent {
			c.totals[call.Name] += call.Add
			reply.Outcome, reply.Total = Succeeded, c.totals[call.Name]
		}
		sends = append(sends, c.tell(r, reply)...)
	}
	return sends
}

// arrive brings one request to a gateway.
func (c *cluster) arrive(r *rig, id int, class, plan string) []Send {
	return c.tell(r, Arrival{Request{ID: RequestID(id), Class: class, Plan: plan, Customer: "c", Units: 1,
		Deadline: r.now + 2*time.Second, GatewaySpan: len(c.rigs)}})
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
				r := c.rigs[i%n]
				for _, s := range c.arrive(r, i, "read", "small") {
					sent++
					c.tell(r, AttemptEnded{ID: s.ID, Outcome: Succeeded, Latency: ms, RequestFinished: true})
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
					for i, r := range fresh.rigs {
						r.now = c.rigs[i].now
					}
					c = fresh
				}
				for i := range max(1, 20/n) * n {
					r := c.rigs[i%n]
					r.g.limiter.SetWindow(1000)
					id++
					for _, s := range c.arrive(r, id, "read", "capped") {
						sent++
						c.tell(r, AttemptEnded{ID: s.ID, Outcome: Succeeded, Latency: ms, RequestFinished: true})
					}
				}
				for _, r := range c.rigs {
					r.now += 10 * ms
					for range c.tell(r, TimerFired{}) {
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

// A cold server gets in the sum what it can take, also where it is the only one and all gateways have just started.
func TestColdServerHoldsInTheSum(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		c := newCluster(t, n, settings())
		sent, id := 0, 0
		for _, r := range c.rigs {
			c.tell(r, EndpointsChanged{Snapshot: true, Endpoints: []Endpoint{{ID: "s", State: Serving, StartedAt: r.now}}})
		}
		for range 30 { // 3 s
			for _, r := range c.rigs {
				id++
				sends := c.arrive(r, id, "read", "free")
				for range 10 {
					r.now += 10 * ms
					sends = append(sends, c.tell(r, TimerFired{})...)
				}
				for _, s := range sends {
					sent++
					c.tell(r, AttemptEnded{ID: s.ID, Outcome: Rejected})
				}
			}
		}
		// A server that does 20 a second when warm does 4 now; four times that for 3 s is 48.
		if n >= 3 && sent == 0 || sent > 48 {
			t.Errorf("%d gateways sent %d to a cold server in 3 s", n, sent)
		}
	}
}

// Where gateways outnumber a customer's concurrent attempts and an over-quota attempt has a cost, they take turns.
func TestConcurrencyLimitHoldsOverAllGateways(t *testing.T) {
	set := settings()
	set.Plans = append(set.Plans, Plan{Name: "open", Price: 1, Rate: 100, Burst: 400, MaxConcurrency: 3, OverQuotaCost: 0.6})
	for _, n := range []int{1, 3, 8, 20} {
		c := newCluster(t, n, set, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
		for _, r := range c.rigs {
			r.now = time.Minute + 19*37*ms // some gateways have their turn
			r.g.limiter.SetWindow(100)
		}
		sent := 0
		for i := range 3 * n {
			sent += len(c.arrive(c.rigs[i%n], i, "read", "open"))
		}
		if n > 1 && sent != 3 {
			t.Errorf("%d gateways sent %d at one moment, the limit is 3", n, sent)
		}
	}
}

// A request that waits for the counter has its answer before its deadline, whatever the counter does, and a late reply of
// the counter sends nothing.
func TestRequestThatWaitsForTheCounterIsAnsweredBeforeItsDeadline(t *testing.T) {
	set := settings()
	set.GatewayCount = 100
	for _, left := range []time.Duration{2 * ms, 15 * ms, 700 * ms} {
		r := newRig(t, set, Endpoint{ID: "s", State: Serving})
		acts := r.tell(Arrival{Request{ID: 1, Class: "read", Plan: "small", Customer: "c", Units: 1,
			Deadline: r.now + left, GatewaySpan: 100}})
		calls := only[IncrementCounter](acts)
		if len(calls) != 1 || calls[0].Add != 1 {
			t.Fatalf("calls %v, want one for the request's unit", calls)
		}
		acts = append(acts, r.pass(left-left%(10*ms))...)
		if len(only[Reject](acts)) != 1 {
			t.Fatalf("%v left: actions %v, want one rejection", left, acts)
		}
		late := r.tell(CounterReply{Name: calls[0].Name, Outcome: Succeeded, Total: 1})
		if len(only[Send](late)) > 0 || len(only[Reject](late)) > 0 {
			t.Fatalf("%v left: the late reply led to %v", left, late)
		}
	}
}

// Windows of many gateways add up: with untimely answers from several servers one falls below one attempt, and
// what it sends then has pauses in between.
func TestSmallWindowPauses(t *testing.T) {
	set := settings()
	set.GatewayCount = 300
	var fleet []Endpoint
	for i := range 60 {
		fleet = append(fleet, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
	}
	r := newRig(t, set, fleet...)
	for i := range 12 {
		r.g.recordSample(r.g.classes["read"], r.g.balancer.Serving()[i], limiter.Sample{Outcome: TimedOut})
		r.pass(time.Second)
	}
	if r.g.limiter.Window() >= 1 {
		t.Fatalf("window %v after untimely answers only", r.g.limiter.Window())
	}
	r.g.classes["read"].latency.Record(100 * ms)
	r.g.limiter.SetWindow(0.5)
	first := only[Send](r.arrive(1, "read", "free"))
	r.tell(AttemptEnded{ID: 1, Outcome: Succeeded, Latency: 100 * ms, RequestFinished: true})
	second := only[Send](r.arrive(2, "read", "free"))
	if len(first) != 1 || len(second) != 0 {
		t.Fatalf("sent %v, then %v at once", first, second)
	}
	if got := only[Send](r.pass(time.Second)); len(got) == 0 || got[0].ID != 2 {
		t.Fatalf("sent %v in the second after, want the one held", got)
	}
}

// Out-of-range gateway spans and indexes lead to valid decisions without a panic.
func TestOutOfRangeGatewaySpansStillDecide(t *testing.T) {
	set := settings()
	set.GatewayCount = 100
	for _, q := range []Request{{GatewaySpan: 0}, {GatewaySpan: 5000}, {GatewaySpan: 3, FirstGateway: 70}, {GatewaySpan: 3, FirstGateway: 4000}, {GatewaySpan: 2, FirstGateway: -7}} {
		r := newRig(t, set)
		q.ID, q.Class, q.Plan, q.Customer, q.Units, q.Deadline = 1, "read", "small", "c", 1, r.now+time.Second
		calls := only[IncrementCounter](r.tell(Arrival{q}))
		for _, c := range calls {
			r.tell(CounterReply{Name: c.Name, Outcome: Succeeded, Total: c.Add})
		}
		var more []Endpoint
		for i := range 100 {
			more = append(more, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving})
		}
		acts := r.tell(EndpointsChanged{Endpoints: more})
		if got := only[Send](append(acts, r.pass(20*ms)...)); len(got) != 1 {
			t.Errorf("request %+v: sent %v, want it sent once there are servers", q, got)
		}
	}
}
