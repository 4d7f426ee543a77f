package ingress

import (
	"lemontack/policy"
)

// fleet takes over a list of backends, or changes of it.
func (g *Gateway) fleet(f Fleet) {
	g.sharers = f.Sharers
	if !f.All && len(f.Targets) == 0 { // of backends that are not held
		return
	}
	ev := policy.EndpointsChanged{Snapshot: f.All, GatewaysPerEndpoint: f.Sharers}
	if f.All {
		for _, be := range g.backends {
			be.State = policy.Removed
			be.noteState(g.now)
		}
	}
	for _, t := range f.Targets {
		s := t.server()
		be := g.backends[s.ID]
		if be == nil {
			be = &backend{}
			g.backends[s.ID] = be
		}
		be.Endpoint = s
		be.noteState(g.now)
		if s.State != policy.Removed {
			be.addr = t.Endpoint
		}
		ev.Endpoints = append(ev.Endpoints, s)
	}
	g.retireIdle()
	g.tell(ev)
	for _, be := range g.backends {
		for be.State != policy.Serving && len(be.waiting) > 0 { // nothing new goes there, so these go elsewhere now
			a := be.waiting[0]
			be.waiting = be.waiting[1:]
			g.end(a, policy.NotSent, reply{})
		}
		g.drop(be)
	}
}

// held is the list as it stands.
func (g *Gateway) held() policy.Event {
	ev := policy.EndpointsChanged{Snapshot: true, GatewaysPerEndpoint: g.sharers}
	for _, be := range g.backends {
		if be.State != policy.Removed {
			ev.Endpoints = append(ev.Endpoints, be.Endpoint)
		}
	}
	return ev
}

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
