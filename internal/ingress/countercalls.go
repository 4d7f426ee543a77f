package ingress

import (
	"lemontack/internal/counterclient"
	"lemontack/policy"
)

// incrementCounter carries out the policy's IncrementCounter action, and ends the call when its timeout is over.
func (g *Gateway) incrementCounter(action policy.IncrementCounter) {
	call := g.counter.Increment(action)
	g.scheduleAfter(g.cfg.Settings.CounterTimeout, func() { g.endCounterCall(call.Expire()) })
}

// endCounterCall passes the first result of a call on: an answer after the timeout is dropped.
func (g *Gateway) endCounterCall(result counterclient.Result) {
	if reply, isFirst := result.Reply(); isFirst {
		g.enqueue(reply)
	}
}
