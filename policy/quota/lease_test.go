package quota

import (
	"math"
	"testing"
	"time"

	"lemontack/policy/model"
)

// Units of a request that were taken before the lease was refilled go back to the token bucket, and the
// next call reports them.
func TestRefundBeyondAFullLeaseGoesToTheTokenBucket(t *testing.T) {
	g := newTestGateway(t, testConfig(), testPlans())
	g.dispatchPaused = true
	g.arrive(Request{ID: 1, Plan: "small", Units: 1, GatewaySpan: 2})
	c := g.manager.customers["c"]
	c.lease.tokens = 4 // refilled in the meantime
	unreported, estimated := c.unreportedUnits, c.lease.estimatedTokens
	g.disconnect(1)
	if c.lease.tokens != 4 || c.unreportedUnits != unreported-1 || c.lease.estimatedTokens != estimated+1 {
		t.Fatalf("got lease %v, unreported %v, estimated %v; want 4, %v, %v", c.lease.tokens, c.unreportedUnits,
			c.lease.estimatedTokens, unreported-1, estimated+1)
	}
}

// After a long outage of the counter, customers are not rejected for the usage of other gateways during it.
func TestUnresponsiveCounterLeavesNoDeficit(t *testing.T) {
	g := newTestGateway(t, testConfig(), testPlans())
	c := g.timeOutLeaseCall()
	g.advance(20 * time.Second)
	g.manager.renewLease(c)
	g.reply(Reply{Name: c.bucketName(), Outcome: model.Succeeded, Total: c.lease.pendingDelta + c.lease.lastTotal + 30})
	if tokens := c.availableTokens(g.now) + c.lease.tokens; tokens < 1 {
		t.Fatalf("got %v tokens after an outage of the counter, want at least 1", tokens)
	}
}

// timeOutLeaseCall submits requests of one customer until a call for a lease is in flight, and lets the
// call time out.
func (g *testGateway) timeOutLeaseCall() *customer {
	g.Helper()
	for id := model.RequestID(1001); id < 2000; id++ {
		if sent := g.arrive(Request{ID: id, Plan: "small", Units: 1, GatewaySpan: 2}).sent; len(sent) > 0 {
			g.completeRequest(id, 0)
		}
		if c := g.manager.customers["c"]; c.lease.callInFlight {
			g.reply(Reply{Name: c.bucketName(), Outcome: model.TimedOut})
			return c
		}
	}
	g.Fatal("got no call for a lease, want one")
	return nil
}

func TestCounterThatLostItsDataGrantsNoSecondBurst(t *testing.T) {
	g := newTestGateway(t, testConfig(), testPlans())
	c := g.customer("small", 2)
	c.lease.tokens, c.unreportedUnits, c.lease.estimatedTokens = 0, 0, 0
	g.manager.requestLease(c, 0)
	g.reply(Reply{Name: c.bucketName(), Outcome: model.Succeeded, Total: 1000})
	c.lease.nextCallAt, c.lease.estimatedTokens, c.lease.tokens = 0, 0, 0
	g.manager.requestLease(c, 0)
	g.reply(Reply{Name: c.bucketName(), Outcome: model.Succeeded, Total: c.lease.pendingDelta})
	if tokens := c.availableTokens(g.now); tokens > 1 {
		t.Fatalf("got %v tokens after the counter lost its data, want at most 1", tokens)
	}
}

// The amount of a call with an error reply was added. The lease of that call is granted with the next
// total, and nothing is counted twice or lost.
func TestErrorReplyIsCorrectedByTheNextTotal(t *testing.T) {
	g := newTestGateway(t, testConfig(), testPlans())
	total := 0.0
	id, isError := model.RequestID(0), true
	for range 200 {
		g.now += 50 * ms
		id++
		pendingEffects := []effects{g.arrive(Request{ID: id, Plan: "capped", Units: 1, GatewaySpan: 2})}
		for len(pendingEffects) > 0 {
			next := pendingEffects[0]
			pendingEffects = pendingEffects[1:]
			for _, call := range next.calls {
				total += call.Delta
				reply := Reply{Name: call.Name, Outcome: model.Succeeded, Total: total}
				if isError = !isError; isError {
					reply.Outcome, reply.Total = model.Failed, 0
				}
				pendingEffects = append(pendingEffects, g.reply(reply))
			}
			for _, sent := range next.sent {
				pendingEffects = append(pendingEffects, g.completeRequest(sent, 0))
			}
		}
		c := g.manager.customers["c"]
		if c.lease.counterUnresponsive || c.lease.remoteUsageRate > 1e-6 || math.Abs(c.lease.lastTotal-total) > 1e-6 {
			t.Fatalf("after request %d: got counter unresponsive %v, remote usage rate %v, total %v; want false, 0, %v", id,
				c.lease.counterUnresponsive, c.lease.remoteUsageRate, c.lease.lastTotal, total)
		}
	}
}
