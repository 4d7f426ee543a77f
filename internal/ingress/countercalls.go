package ingress

import (
	"lemontack/internal/counterclient"
	"lemontack/policy"
)

// incrementCounter executes the policy's IncrementCounter action. The call ends after the counter timeout at the latest.
func (g *Gateway) incrementCounter(action policy.IncrementCounter) {
	call := g.counter.Increment(action)
	g.scheduleAfter(g.cfg.Settings.CounterTimeout, func() { g.endCounterCall(call.Expire()) })
}

// endCounterCall reports the first result of a call to the policy. Later results, such as a reply after the timeout, are
// discarded.
func (g *Gateway) endCounterCall(result counterclient.Result) {
	if reply, isFirst := result.Reply(); isFirst {
		g.enqueue(reply)
	}
}
