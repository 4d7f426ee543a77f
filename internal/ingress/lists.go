package ingress

import (
	"lemontack/internal/upstream"
	"lemontack/policy"
)

// updateEndpoints takes over a list of endpoints, or changes of it.
func (g *Gateway) updateEndpoints(list Fleet) {
	g.gatewaysPerEndpoint = list.Sharers
	if !list.All && len(list.Targets) == 0 { // changes of endpoints that are not kept
		return
	}
	changed := policy.EndpointsChanged{Snapshot: list.All, GatewaysPerEndpoint: list.Sharers}
	updates := make([]upstream.EndpointUpdate, 0, len(list.Targets))
	for _, target := range list.Targets {
		endpoint := target.server()
		changed.Endpoints = append(changed.Endpoints, endpoint)
		updates = append(updates, upstream.EndpointUpdate{Endpoint: endpoint, Address: target.Endpoint})
	}
	g.tell(changed) // before the ends of the attempts that the update withdraws
	g.pool.UpdateEndpoints(list.All, updates)
}

// endpointList is the list as it stands, for the policy.
func (g *Gateway) endpointList() policy.EndpointsChanged {
	return policy.EndpointsChanged{Snapshot: true, GatewaysPerEndpoint: g.gatewaysPerEndpoint, Endpoints: g.pool.Endpoints()}
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
