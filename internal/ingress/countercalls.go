package ingress

import "lemontack/policy"

// count carries out the policy's IncrementCounter action.
func (g *Gateway) count(a policy.IncrementCounter) {
	k := &call{name: a.Name, add: a.Add, keep: a.Keep}
	g.counter.add(k)
	g.after(g.cfg.Settings.CounterTimeout, func() {
		if k.state.CompareAndSwap(callQueued, callDropped) {
			g.counted(counted{call: k, outcome: policy.ConnectFailed}) // never written, and never will be
			return
		}
		g.counted(counted{call: k, outcome: policy.TimedOut})
	})
}

// counted passes a call's reply on, once: an answer after the time-out is dropped.
func (g *Gateway) counted(ev counted) {
	if ev.call.ended {
		return
	}
	ev.call.ended = true
	g.tell(policy.CounterReply{Name: ev.call.name, Outcome: ev.outcome, Total: ev.total})
}
