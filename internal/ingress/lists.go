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
	ev := policy.FleetChanged{Whole: f.All, Sharers: f.Sharers}
	if f.All {
		for _, be := range g.backends {
			be.State = policy.Gone
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
		be.Server = s
		be.noteState(g.now)
		if s.State != policy.Gone {
			be.addr = t.Endpoint
		}
		ev.Servers = append(ev.Servers, s)
	}
	g.retireIdle()
	g.tell(ev)
	for _, be := range g.backends {
		for be.State != policy.Running && len(be.waiting) > 0 { // nothing new goes there, so these go elsewhere now
			a := be.waiting[0]
			be.waiting = be.waiting[1:]
			g.end(a, policy.Moot, reply{})
		}
		g.drop(be)
	}
}

// held is the list as it stands.
func (g *Gateway) held() policy.Event {
	ev := policy.FleetChanged{Whole: true, Sharers: g.sharers}
	for _, be := range g.backends {
		if be.State != policy.Gone {
			ev.Servers = append(ev.Servers, be.Server)
		}
	}
	return ev
}

func (g *Gateway) count(a policy.Count) {
	k := &call{name: a.Name, add: a.Add, keep: a.Keep}
	g.counter.add(k)
	g.after(g.cfg.Settings.CounterTimeout, func() {
		if k.state.CompareAndSwap(callQueued, callDropped) {
			g.counted(counted{call: k, outcome: policy.NoConnect}) // never written, and never will be
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
	g.tell(policy.CountReply{Name: ev.call.name, Outcome: ev.outcome, Total: ev.total})
}
