package policy

import (
	"testing"
	"time"
)

// permitFleet is gateways of a customer with two attempts out at most.
func permitFleet(t *testing.T, n int) *crowd {
	t.Helper()
	set := settings()
	set.Plans = append(set.Plans, Plan{Name: "open", Price: 1, MaxConcurrency: 2, OverQuotaCost: 2})
	return newCrowd(t, n, set, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
}

// The fleet holds a limit on attempts out, and an attempt that ends makes room at any other gateway.
func TestPermitsHoldTheLimitInTheSum(t *testing.T) {
	c := permitFleet(t, 100)
	var sent []Send
	for i, r := range c.rigs {
		sent = append(sent, c.arrive(r, i+1, "read", "open")...)
	}
	if len(sent) != 2 {
		t.Fatalf("%d out, the limit is 2", len(sent))
	}
	first := c.rigs[sent[0].ID-1]
	c.tell(first, AttemptEnded{ID: sent[0].ID, Endpoint: sent[0].Endpoint, Outcome: Succeeded, Latency: ms, RequestFinished: true})
	other := c.rigs[50]
	other.now += time.Second
	if got := c.arrive(other, 1000, "read", "open"); len(got) != 1 {
		t.Errorf("%d sent after one has ended, want one", len(got))
	}
}

// A counter that came back empty is told of the permits that a gateway holds.
func TestPermitsSurviveACounterThatForgets(t *testing.T) {
	c := permitFleet(t, 100)
	r := c.rigs[0]
	c.arrive(r, 1, "read", "open")
	clear(c.totals)
	c.arrive(r, 2, "read", "open")
	for name, total := range c.totals {
		if total != 2 {
			t.Errorf("%s counts %v, this gateway holds 2", name, total)
		}
	}
	if got := c.arrive(c.rigs[1], 3, "read", "open"); len(got) != 0 {
		t.Errorf("sent %v beyond the limit", got)
	}
}

// The permits of gateways that have crashed end with the window of their name.
func TestPermitsOfACrashedGatewayEnd(t *testing.T) {
	c := permitFleet(t, 100)
	for i, r := range c.rigs {
		c.arrive(r, i+1, "read", "open") // and never ends
	}
	r := c.rigs[50]
	r.now += r.g.permitWindow()
	if got := c.arrive(r, 1000, "read", "open"); len(got) != 1 {
		t.Errorf("%d sent a window after the crash, want one", len(got))
	}
}

// A call for a permit that timed out may have been counted: what is refused then is taken off.
func TestPermitOfALostCallIsTakenOff(t *testing.T) {
	r := permitFleet(t, 100).rigs[0]
	r.g.plans["open"].permitGrants.granted = [2]float64{0.1, 0.1} // too few are granted for a guess
	calls := only[IncrementCounter](r.tell(Arrival{Request{ID: 1, Class: "read", Plan: "open", Customer: "c", Units: 1,
		Deadline: r.now + 2*time.Second, GatewaySpan: 100}}))
	acts := r.tell(CounterReply{Name: calls[0].Name, Outcome: TimedOut})
	if back := only[IncrementCounter](acts); len(only[Reject](acts)) != 1 || len(back) != 1 || back[0].Add != -1 {
		t.Errorf("actions %v, want a refusal and the permit taken off", acts)
	}
}
