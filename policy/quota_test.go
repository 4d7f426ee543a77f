package policy

import (
	"testing"
	"time"
)

// The units of a request whose client disconnects before anything of it has left the gateway are refunded: in the queue,
// while it waits for a connection, and while it waits for the counter.
func TestUnitsAreRefundedWhenTheClientDisconnectsBeforeSending(t *testing.T) {
	for name, wait := range map[string]func(r *rig){
		"in the queue": func(r *rig) {
			r.g.limiter.SetWindow(0)
			r.arrive(1, "read", "small")
			r.tell(ClientDisconnected{ID: 1})
		},
		"for a connection": func(r *rig) {
			r.arrive(1, "read", "small")
			r.tell(ClientDisconnected{ID: 1})
			r.tell(AttemptEnded{ID: 1, Endpoint: "s", Outcome: NotSent, RequestFinished: true})
		},
		"for the counter": func(r *rig) {
			acts := r.tell(Arrival{Request{ID: 1, Class: "read", Plan: "small", Customer: "c", Units: 1,
				Deadline: r.now + 2*time.Second, GatewaySpan: 100}})
			r.tell(ClientDisconnected{ID: 1})
			r.tell(CounterReply{Name: only[IncrementCounter](acts)[0].Name, Outcome: Succeeded, Total: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			set := settings()
			set.GatewayCount, set.MayCancel = 100, false
			r := newRig(t, set, Endpoint{ID: "s", State: Serving})
			want := 4.0
			if name == "for the counter" {
				want = 8.0/100 + 1 // the first lease, which is less than a unit, and the unit that was granted
			}
			wait(r)
			c := r.g.quota.Customer("c")
			if tokens := c.LeaseTokens + c.ReservedTokens; tokens != want || c.AttemptsInFlight != 0 || r.g.limiter.InFlight() != 0 {
				t.Fatalf("lease and reservation %v of %v, %d attempts in flight, %d in the window", tokens, want,
					c.AttemptsInFlight, r.g.limiter.InFlight())
			}
			r.g.limiter.SetWindow(10)
			if got := only[Send](r.pass(time.Second)); len(got) > 0 {
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
		r := newRig(t, set, Endpoint{ID: "s", State: Serving})
		r.g.limiter.SetWindow(0) // nothing is sent
		arrive := func(id RequestID) {
			for _, call := range only[IncrementCounter](r.tell(Arrival{Request{ID: id, Class: "read", Plan: "small", Customer: "c",
				Units: 1, Deadline: r.now + 2*time.Second, GatewaySpan: span}})) {
				r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: max(0, call.Add)})
			}
		}
		for id := range RequestID(60) {
			arrive(id + 1)
			r.pass(300 * ms)
		}
		r.pass(3 * time.Second)
		c := r.g.quota.Customer("c")
		share, tokens := max(8/float64(span), 1), c.LeaseTokens+c.ReservedTokens
		if tokens > share+1e-9 || tokens < share/2 || len(r.g.activeRequests) > 0 {
			t.Errorf("%d gateways: lease %v after all have expired, the share is %v", span, tokens, share)
		}
		if all := c.LeaseTokens + c.AvailableTokens; !c.Central && all > 8+1e-9 {
			t.Errorf("%d gateways: lease and token bucket hold %v, the burst is 8", span, all)
		}
	}
}

// The units that an answer settles for a request whose claim was granted are reported by the customer's next call.
func TestSettledUnitsOfAnAnswerAreReportedByTheNextCall(t *testing.T) {
	set := fleetSettings()
	for i := range set.Plans {
		set.Plans[i].SettledByReply = true
	}
	r := newRig(t, set, Endpoint{ID: "s", State: Serving})
	arrive := func(id RequestID) []Action {
		return r.tell(Arrival{Request{ID: id, Class: "read", Plan: "thick", Customer: "c", Units: 2,
			Deadline: r.now + 2*time.Second, GatewaySpan: 60}})
	}
	call := only[IncrementCounter](arrive(1))[0]
	sends := only[Send](r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: call.Add}))
	if len(sends) != 1 {
		t.Fatalf("sends %v, want one", sends)
	}
	r.tell(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Succeeded, Latency: ms, RequestFinished: true, SettledUnits: 3.5})
	next := only[IncrementCounter](arrive(2))
	if len(next) != 1 || next[0].Add != 2+1.5 {
		t.Errorf("calls %v, want one for 2 units and the 1.5 that were settled", next)
	}
}

// An attempt of which nothing was sent is retried elsewhere though the retry budget is spent: it is no additional load.
func TestRetryOfAnUnsentAttemptNeedsNoBudget(t *testing.T) {
	r := newRig(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	first := only[Send](r.arrive(1, "pay", "free"))[0]
	r.g.retryBudget = 0
	r.tell(EndpointsChanged{Endpoints: []Endpoint{{ID: first.Endpoint}}}) // draining
	acts := r.tell(AttemptEnded{ID: 1, Endpoint: first.Endpoint, Outcome: NotSent})
	if got := only[Send](acts); len(got) != 1 || got[0].Endpoint == first.Endpoint {
		t.Fatalf("sends %v, want one to the other endpoint", got)
	}
}
