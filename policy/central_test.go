package policy

import (
	"testing"
	"time"
)

// fleetSettings are those of one gateway of a large fleet: a customer comes through all of it.
func fleetSettings() Settings {
	set := settings()
	set.GatewayCount, set.MaxUnits = 60, 4
	set.Plans = append(set.Plans,
		Plan{Name: "thin", Price: 1, Rate: 0.8, Burst: 8, OverQuotaCost: 1.2},
		Plan{Name: "thick", Price: 1, Rate: 14, Burst: 25, OverQuotaCost: 1.2})
	return set
}

// centralCall tells a fresh gateway of one request of a plan, and returns it with the call that it makes.
func centralCall(t *testing.T, plan string) (*rig, IncrementCounter) {
	t.Helper()
	r := newRig(t, fleetSettings(), Endpoint{ID: "s", State: Serving})
	c := r.g.customerFor(&request{Request: Request{Customer: "c", GatewaySpan: 60}, plan: r.g.plans[plan]})
	r.now += c.bucket.window - (r.now+c.windowOffset)%c.bucket.window + 30*time.Second // well into a window of its name
	c.refreshedAt = r.now                                                              // nothing has filled in
	calls := only[IncrementCounter](r.tell(Arrival{Request{ID: 1, Class: "read", Plan: plan, Customer: "c", Units: 2,
		Deadline: r.now + 2*time.Second, GatewaySpan: 60}}))
	if len(calls) != 1 {
		t.Fatalf("%d calls for a request of plan %s, want one", len(calls), plan)
	}
	return r, calls[0]
}

// The name with a central bucket holds its whole store; who finds it wrong puts it right with a second call.
func TestStoreOfACentralBucketIsKeptByItsName(t *testing.T) {
	const add = 2.0
	for _, c := range []struct {
		name   string
		used   func(filled float64) float64 // what the name holds before the request's own add
		sent   bool
		amends func(filled float64) float64
	}{
		{"first of the window", func(float64) float64 { return 0 }, true, func(f float64) float64 { return f }},
		{"half full", func(f float64) float64 { return f + 4 }, true, func(float64) float64 { return 0 }},
		{"run over a little", func(f float64) float64 { return f - 3 }, true, func(float64) float64 { return 0 }},
		{"run over by much", func(f float64) float64 { return f - 6 }, true, func(float64) float64 { return 6 }},
		{"empty", func(f float64) float64 { return f + 7 }, false, func(float64) float64 { return -add }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, call := centralCall(t, "thin")
			cust := r.g.customers["c"]
			filled := 0.8 * ((r.now + cust.windowOffset) % cust.bucket.window).Seconds()
			acts := r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: c.used(filled) + add})
			if sent := len(only[Send](acts)) == 1; sent != c.sent {
				t.Errorf("sent %v, want %v", sent, c.sent)
			}
			got := 0.0
			for _, k := range only[IncrementCounter](acts) {
				got += k.Add
			}
			if want := c.amends(filled); got < want-0.01 || got > want+0.01 {
				t.Errorf("amended by %v, want %v", got, want)
			}
		})
	}
}

// A refused gateway leaves the counter alone for a while, and says when to come back.
func TestRefusedCentralBucketIsNotAskedForAtOnce(t *testing.T) {
	r, call := centralCall(t, "thick")
	refusals := only[Reject](r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: 1000}))
	if len(refusals) != 1 || refusals[0].RetryAfter < 500*ms {
		t.Fatalf("refusals %v, want one with advice", refusals)
	}
	acts := r.tell(Arrival{Request{ID: 2, Class: "read", Plan: "thick", Customer: "c", Units: 2,
		Deadline: r.now + 2*time.Second, GatewaySpan: 60}})
	if n := len(only[IncrementCounter](acts)); n != 0 || len(only[Reject](acts)) != 1 {
		t.Errorf("%d calls for the next request, want a refusal without", n)
	}
}

// The counter is shared by all: a growing delay makes each ask less, long before calls are lost.
func TestPaceFollowsTheCountersDelay(t *testing.T) {
	for _, c := range []struct {
		name       string
		o          Outcome
		took       time.Duration
		less, more bool
	}{
		{"lost", TimedOut, 50 * ms, true, false},
		{"turned away", Rejected, ms, true, false},
		{"slow", Succeeded, 30 * ms, true, false},
		{"quick", Succeeded, 5 * ms, false, true},
		{"spoilt", Failed, 5 * ms, false, false},
	} {
		r := newRig(t, fleetSettings(), Endpoint{ID: "s", State: Serving})
		r.g.counterCallShare = 0.5
		r.g.adaptCallShare(c.o, c.took)
		if got := r.g.counterCallShare; got < 0.5 != c.less || got > 0.5 != c.more {
			t.Errorf("%s: share %v after 0.5", c.name, got)
		}
	}
}

// Two gateways that find a name at its start put it right from the same total; the second of them takes its correction
// back. Else the customer would be shut out until the window of the name ends.
func TestCorrectionThatAnotherMadeTooIsTakenBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		others float64 // added by other gateways between the claim's answer and the correction's, in corrections
		want   int
	}{{"nobody else", 0, 0}, {"another gateway", 1, 1}} {
		t.Run(c.name, func(t *testing.T) {
			r, call := centralCall(t, "thick")
			const first = 1.0 // unit that another gateway has claimed just before
			amends := only[IncrementCounter](r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: call.Add + first}))
			if len(amends) != 1 || amends[0].Add <= 0 {
				t.Fatalf("calls %v, want one that puts the name right", amends)
			}
			total := call.Add + first + amends[0].Add*(1+c.others)
			back := only[IncrementCounter](r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: total}))
			if len(back) != c.want || c.want > 0 && back[0].Add != -amends[0].Add {
				t.Errorf("calls %v after a correction of %v, want %d that takes it back", back, amends[0].Add, c.want)
			}
		})
	}
}

// A claim that finds the bucket short is a reservation: the client's repeat uses it without a call, and it is given back if
// no repeat comes.
func TestClaimThatFindsTooLittleIsAReservation(t *testing.T) {
	for _, repeats := range []bool{true, false} {
		r, call := centralCall(t, "thick")
		filled := 14 * ((r.now + r.g.customers["c"].windowOffset) % r.g.customers["c"].bucket.window).Seconds()
		acts := r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: 25 + filled + call.Add})
		refusals := only[Reject](acts)
		if len(refusals) != 1 || len(only[IncrementCounter](acts)) != 0 {
			t.Fatalf("actions %v, want a refusal and no call", acts)
		}
		r.pass(refusals[0].RetryAfter)
		if repeats {
			acts = r.tell(Arrival{Request{ID: 2, Class: "read", Plan: "thick", Customer: "c", Units: 2, IsRetry: true,
				Deadline: r.now + 2*time.Second, GatewaySpan: 60}})
			if len(only[Send](acts)) != 1 || len(only[IncrementCounter](acts)) != 0 {
				t.Errorf("repeat: actions %v, want it sent without a call", acts)
			}
			continue
		}
		if back := only[IncrementCounter](r.pass(3 * r.g.maxLatencyObjective)); len(back) != 1 || back[0].Add != -2 {
			t.Errorf("no repeat: calls %v, want the reservation given back", back)
		}
	}
}

// A new window's name starts at 0, which is a full bucket. Who finds it so reads the last one's, and what was lacking there is
// lacking in the new one too: a customer gets no second burst.
func TestWhatABucketLacksOutlivesItsWindow(t *testing.T) {
	const rate, late = 14.0, 2.0
	for _, c := range []struct {
		name    string
		lacked  float64 // units as the last window ended
		carried float64 // by now the rate has filled in 2 s more
	}{{"nothing", 0, 0}, {"less than has filled in", 20, 0}, {"nearly all", 45, 45 - late*rate}} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, fleetSettings(), Endpoint{ID: "s", State: Serving})
			cust := r.g.customerFor(&request{Request: Request{Customer: "c", GatewaySpan: 60}, plan: r.g.plans["thick"]})
			span := cust.bucket.window
			r.now += span - (r.now+cust.windowOffset)%span + time.Duration(late*float64(time.Second))
			call := only[IncrementCounter](r.tell(Arrival{Request{ID: 1, Class: "read", Plan: "thick", Customer: "c", Units: 2,
				Deadline: r.now + 2*time.Second, GatewaySpan: 60}}))[0]
			calls := only[IncrementCounter](r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: call.Add}))
			if len(calls) == 0 || calls[0].Name == call.Name || calls[0].Add != 0 {
				t.Fatalf("calls %v, want the last window's name read first", calls)
			}
			total := rate*span.Seconds() + c.lacked
			got := 0.0
			for _, k := range only[IncrementCounter](r.tell(CounterReply{Name: calls[0].Name, Outcome: Succeeded, Total: total})) {
				got += k.Add
			}
			if got < c.carried-0.1 || got > c.carried+0.1 {
				t.Errorf("carried over %v, want %v", got, c.carried)
			}
		})
	}
}

// What an answer settles for a request whose units the counter has granted is told with the customer's next call.
func TestSettledUnitsAreToldWithTheNextCall(t *testing.T) {
	r, call := centralCall(t, "thick")
	r.g.plans["thick"].SettledByReply = true
	filled := 14 * ((r.now + r.g.customers["c"].windowOffset) % r.g.customers["c"].bucket.window).Seconds()
	sends := only[Send](r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: filled + call.Add}))
	if len(sends) != 1 {
		t.Fatalf("sends %v, want one", sends)
	}
	r.tell(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Succeeded, Latency: ms, RequestFinished: true, SettledUnits: 3.5})
	next := only[IncrementCounter](r.tell(Arrival{Request{ID: 2, Class: "read", Plan: "thick", Customer: "c", Units: 2,
		Deadline: r.now + 2*time.Second, GatewaySpan: 60}}))
	if len(next) != 1 || next[0].Add != 2+1.5 {
		t.Errorf("calls %v, want one for 2 units and the 1.5 that were settled", next)
	}
}
