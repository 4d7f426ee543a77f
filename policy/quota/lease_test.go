package quota

import (
	"math"
	"testing"
	"time"

	"lemontack/policy/model"
)

// Units of a request that were taken before the lease was refilled go back to the token bucket, which the
// next call reports.
func TestRefundBeyondAFullLeaseGoesToTheTokenBucket(t *testing.T) {
	g := newTestGateway(t, testConfig(), testPlans())
	g.dispatchPaused = true
	g.arrive(Request{ID: 1, Plan: "small", Units: 1, GatewaySpan: 2})
	c := g.manager.customers["c"]
	c.lease.tokens = 4 // refilled since
	unreported, estimated := c.unreportedUnits, c.lease.estimatedTokens
	g.disconnect(1)
	if c.lease.tokens != 4 || c.unreportedUnits != unreported-1 || c.lease.estimatedTokens != estimated+1 {
		t.Fatalf("lease %v, unreported %v after %v, estimated %v after %v", c.lease.tokens, c.unreportedUnits, unreported,
			c.lease.estimatedTokens, estimated)
	}
}

// After a long silence of the counter its customers are not rejected for what others have used in the
// meantime.
func TestUnresponsiveCounterLeavesNoDeficit(t *testing.T) {
	g := newTestGateway(t, testConfig(), testPlans())
	c := g.timeOutLeaseCall()
	g.advance(20 * time.Second)
	g.manager.renewLease(c)
	g.reply(Reply{Name: c.bucketName(), Outcome: model.Succeeded, Total: c.lease.pendingAdd + c.lease.lastTotal + 30})
	if tokens := c.availableTokens(g.now) + c.lease.tokens; tokens < 1 {
		t.Fatalf("%v tokens after a silence in which others kept to their share", tokens)
	}
}

// timeOutLeaseCall brings requests of one customer until a call is in flight, and lets it time out.
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
	g.Fatal("no call for a lease")
	return nil
}

// The totals of a counter that has lost its numbers grant no second burst.
func TestCounterThatLostItsNumbersGrantsNoSecondBurst(t *testing.T) {
	g := newTestGateway(t, testConfig(), testPlans())
	c := g.customer("small", 2)
	c.lease.tokens, c.unreportedUnits, c.lease.estimatedTokens = 0, 0, 0
	g.manager.requestLease(c, 0)
	g.reply(Reply{Name: c.bucketName(), Outcome: model.Succeeded, Total: 1000})
	c.lease.nextCallAt, c.lease.estimatedTokens, c.lease.tokens = 0, 0, 0
	g.manager.requestLease(c, 0)
	g.reply(Reply{Name: c.bucketName(), Outcome: model.Succeeded, Total: c.lease.pendingAdd})
	if tokens := c.availableTokens(g.now); tokens > 1 {
		t.Fatalf("%v tokens after the counter lost its numbers", tokens)
	}
}

// An error reply of the counter is no silence: the amount was added. The lease that it was called for comes
// with the next total, and nothing is counted twice or lost.
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
				total += call.Add
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
			t.Fatalf("after request %d: counter silent %v, remote usage %v, total %v of %v", id, c.lease.counterUnresponsive,
				c.lease.remoteUsageRate, c.lease.lastTotal, total)
		}
	}
}
