package ingress

import (
	"lemontack/internal/counterclient"
	"lemontack/internal/discovery"
	"lemontack/policy"
)

// fleet takes over a list of backends, or changes of it.
func (g *Gateway) fleet(f discovery.EndpointList) {
	g.sharers = f.GatewaysPerEndpoint
	if !f.Snapshot && len(f.Entries) == 0 { // of backends that are not held
		return
	}
	ev := policy.EndpointsChanged{Snapshot: f.Snapshot, GatewaysPerEndpoint: f.GatewaysPerEndpoint}
	if f.Snapshot {
		for _, be := range g.backends {
			be.State = policy.Removed
			be.noteState(g.now)
		}
	}
	for _, t := range f.Entries {
		s := t.PolicyEndpoint()
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

// count calls the shared counter, and ends the call when its timeout is over.
func (g *Gateway) count(a policy.IncrementCounter) {
	call := g.counter.Increment(a)
	g.after(g.cfg.Settings.CounterTimeout, func() { g.counted(call.Expire()) })
}

// counted passes the first result of a call on: an answer after the timeout is dropped.
func (g *Gateway) counted(result counterclient.Result) {
	if reply, isFirst := result.Reply(); isFirst {
		g.tell(reply)
	}
}
