package quota

import (
	"testing"
	"time"

	"lemontack/policy/model"
)

// largeGatewaySpan is the number of gateways of a large deployment in which each customer's requests arrive
// at all of them.
const largeGatewaySpan = 60

func newCentralGateway(t *testing.T) *testGateway {
	t.Helper()
	config := testConfig()
	config.GatewayCount, config.MaxUnits = largeGatewaySpan, 4
	return newTestGateway(t, config, append(testPlans(),
		model.Plan{Name: "thin", Price: 1, Rate: 0.8, Burst: 8, OverQuotaCost: 1.2},
		model.Plan{Name: "thick", Price: 1, Rate: 14, Burst: 25, OverQuotaCost: 1.2}))
}

// arriveCentral submits a request for two units.
func (g *testGateway) arriveCentral(id model.RequestID, plan string, isRetry bool) effects {
	return g.arrive(Request{ID: id, Plan: plan, Units: 2, GatewaySpan: largeGatewaySpan, IsRetry: isRetry})
}

// newCentralCall submits one request of a plan to a new gateway, and returns the gateway with the call that
// it makes.
func newCentralCall(t *testing.T, plan string) (*testGateway, Call) {
	t.Helper()
	g := newCentralGateway(t)
	c := g.customer(plan, largeGatewaySpan)
	// The time is well within a window of the customer's name, and the local bucket has not been refilled.
	g.now += c.bucket.windowLength - (g.now+c.windowOffset)%c.bucket.windowLength + 30*time.Second
	c.lease.refreshedAt = g.now
	calls := g.arriveCentral(1, plan, false).calls
	if len(calls) != 1 {
		t.Fatalf("got %d calls for a request of plan %s, want one", len(calls), plan)
	}
	return g, calls[0]
}

// refilled returns the units refilled since the current window of the customer's name began.
func (g *testGateway) refilled() float64 {
	c := g.manager.customers["c"]
	return c.plan.Rate * ((g.now + c.windowOffset) % c.bucket.windowLength).Seconds()
}

// The total under a central bucket's name is its whole usage; a gateway that finds it wrong corrects it by
// a second call.
func TestTotalOfACentralBucketIsCorrected(t *testing.T) {
	const claim = 2.0
	for _, test := range []struct {
		name       string
		usedBefore func(refilled float64) float64 // total before the request's own claim
		sent       bool
		correction func(refilled float64) float64
	}{
		{"first claim of the window", func(float64) float64 { return 0 }, true, func(f float64) float64 { return f }},
		{"half full", func(f float64) float64 { return f + 4 }, true, func(float64) float64 { return 0 }},
		{"overflowed by a little", func(f float64) float64 { return f - 3 }, true, func(float64) float64 { return 0 }},
		{"overflowed by much", func(f float64) float64 { return f - 6 }, true, func(float64) float64 { return 6 }},
		{"empty", func(f float64) float64 { return f + 7 }, false, func(float64) float64 { return -claim }},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, call := newCentralCall(t, "thin")
			refilled := g.refilled()
			got := g.reply(Reply{Name: call.Name, Outcome: model.Succeeded, Total: test.usedBefore(refilled) + claim})
			if sent := len(got.sent) == 1; sent != test.sent {
				t.Errorf("got sent %v, want %v", sent, test.sent)
			}
			want := test.correction(refilled)
			if corrected := sumOfDeltas(got.calls); corrected < want-0.01 || corrected > want+0.01 {
				t.Errorf("got a correction by %v, want %v", corrected, want)
			}
		})
	}
}

// A gateway that has found a bucket exhausted does not call the counter for some time, and sends clients
// the time after which to retry.
func TestExhaustedCentralBucketRejectsWithoutACall(t *testing.T) {
	g, call := newCentralCall(t, "thick")
	rejections := g.reply(Reply{Name: call.Name, Outcome: model.Succeeded, Total: 1000}).rejections
	if len(rejections) != 1 || rejections[0].retryAfter < 500*ms {
		t.Fatalf("got rejections %v, want one with a retry delay of at least 500ms", rejections)
	}
	got := g.arriveCentral(2, "thick", false)
	if len(got.calls) != 0 || len(got.rejections) != 1 {
		t.Errorf("got %d calls and %d rejections for the next request, want a rejection without a call",
			len(got.calls), len(got.rejections))
	}
}

// Two gateways may correct the total of a new window from the same value. The second correction must be
// reverted: otherwise the customer would be rejected until the window ends.
func TestDuplicateCorrectionIsReverted(t *testing.T) {
	for _, test := range []struct {
		name             string
		otherCorrections float64 // corrections by other gateways before the reply to this one
		wantReverted     int
	}{
		{"no other gateway", 0, 0},
		{"another gateway", 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, call := newCentralCall(t, "thick")
			const claimedBefore = 1.0 // unit claimed by another gateway just before
			claimTotal := call.Delta + claimedBefore
			corrections := g.reply(Reply{Name: call.Name, Outcome: model.Succeeded, Total: claimTotal}).calls
			if len(corrections) != 1 || corrections[0].Delta <= 0 {
				t.Fatalf("got calls %v, want one that corrects the total", corrections)
			}
			total := claimTotal + corrections[0].Delta*(1+test.otherCorrections)
			reverted := g.reply(Reply{Name: call.Name, Outcome: model.Succeeded, Total: total}).calls
			if len(reverted) != test.wantReverted || test.wantReverted > 0 && reverted[0].Delta != -corrections[0].Delta {
				t.Errorf("got calls %v after a correction of %v, want %d that reverts it", reverted,
					corrections[0].Delta, test.wantReverted)
			}
		})
	}
}

// A claim that finds too few tokens is a reservation: the client's retry uses it without a call, and it is
// returned if no retry arrives.
func TestClaimThatFindsTooFewTokensIsReserved(t *testing.T) {
	for _, clientRetries := range []bool{true, false} {
		g, call := newCentralCall(t, "thick")
		got := g.reply(Reply{Name: call.Name, Outcome: model.Succeeded, Total: 25 + g.refilled() + call.Delta})
		if len(got.rejections) != 1 || len(got.calls) != 0 || len(got.sent) != 0 {
			t.Fatalf("got effects %+v, want a rejection and no call", got)
		}
		g.advance(got.rejections[0].retryAfter)
		if clientRetries {
			got = g.arriveCentral(2, "thick", true)
			if len(got.sent) != 1 || len(got.calls) != 0 {
				t.Errorf("retry: got effects %+v, want it sent without a call", got)
			}
			continue
		}
		returned := g.advance(3 * g.manager.config.MaxLatencyObjective).calls
		if len(returned) != 1 || returned[0].Delta != -2 {
			t.Errorf("no retry: got calls %v, want one that returns the reservation", returned)
		}
	}
}

// The total of a new window's name starts at 0, which corresponds to a full bucket. A gateway that finds
// the new name reads the total of the previous window and carries its deficit over, so that the customer
// gets no second burst.
func TestDeficitIsCarriedIntoTheNextWindow(t *testing.T) {
	const rate, elapsed = 14.0, 2.0
	for _, test := range []struct {
		name    string
		deficit float64 // units at the end of the previous window
		carried float64 // units; the rate has refilled for 2 s since
	}{
		{"nothing", 0, 0},
		{"less than was refilled", 20, 0},
		{"nearly all", 45, 45 - elapsed*rate},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newCentralGateway(t)
			customer := g.customer("thick", largeGatewaySpan)
			window := customer.bucket.windowLength
			g.now += window - (g.now+customer.windowOffset)%window + time.Duration(elapsed*float64(time.Second))
			call := g.arriveCentral(1, "thick", false).calls[0]
			calls := g.reply(Reply{Name: call.Name, Outcome: model.Succeeded, Total: call.Delta}).calls
			if len(calls) == 0 || calls[0].Name == call.Name || calls[0].Delta != 0 {
				t.Fatalf("got calls %v, want one that reads the previous window's name first", calls)
			}
			previousUsage := rate*window.Seconds() + test.deficit
			got := sumOfDeltas(g.reply(Reply{Name: calls[0].Name, Outcome: model.Succeeded, Total: previousUsage}).calls)
			if got < test.carried-0.1 || got > test.carried+0.1 {
				t.Errorf("got deficit %v carried over, want %v", got, test.carried)
			}
		})
	}
}

// Units settled by the answer to a request whose claim was granted are reported by the customer's next
// call.
func TestSettledUnitsAreReportedByTheNextCall(t *testing.T) {
	g, call := newCentralCall(t, "thick")
	g.manager.plans["thick"].SettledByAnswer = true
	sent := g.reply(Reply{Name: call.Name, Outcome: model.Succeeded, Total: g.refilled() + call.Delta}).sent
	if len(sent) != 1 {
		t.Fatalf("got sent requests %v, want one", sent)
	}
	g.completeRequest(1, 3.5)
	next := g.arriveCentral(2, "thick", false).calls
	if len(next) != 1 || next[0].Delta != 2+1.5 {
		t.Errorf("got calls %v, want one for 2 units and the 1.5 settled units", next)
	}
}
