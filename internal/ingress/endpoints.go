package ingress

import (
	"time"

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

// applyKnownEndpoints takes over the list that the configuration brought; the policy is told before anything else.
func (g *Gateway) applyKnownEndpoints() {
	g.now = g.clock(time.Now())
	g.cfg.Known.All = true
	g.handle(g.disc.known.news(g.cfg.Known))
	g.cfg.Known.Targets = nil // a long list is not kept twice
}

// endpointList is the list as it stands, for the policy.
func (g *Gateway) endpointList() policy.EndpointsChanged {
	return policy.EndpointsChanged{Snapshot: true, GatewaysPerEndpoint: g.gatewaysPerEndpoint, Endpoints: g.pool.Endpoints()}
}
