package ingress

import (
	"time"

	"lemontack/internal/discovery"
	"lemontack/internal/upstream"
	"lemontack/policy"
)

// updateEndpoints takes over a list of endpoints, or changes of it.
func (g *Gateway) updateEndpoints(list discovery.EndpointList) {
	g.gatewaysPerEndpoint = list.GatewaysPerEndpoint
	if !list.Snapshot && len(list.Entries) == 0 { // changes of endpoints that are not kept
		return
	}
	event := policy.EndpointsChanged{Snapshot: list.Snapshot, GatewaysPerEndpoint: list.GatewaysPerEndpoint}
	updates := make([]upstream.EndpointUpdate, 0, len(list.Entries))
	for _, entry := range list.Entries {
		endpoint := entry.PolicyEndpoint()
		event.Endpoints = append(event.Endpoints, endpoint)
		updates = append(updates, upstream.EndpointUpdate{Endpoint: endpoint, Address: entry.Endpoint})
	}
	g.enqueue(event) // before the ends of the attempts that the update withdraws
	g.pool.UpdateEndpoints(list.Snapshot, updates)
}

// applyKnownEndpoints takes over the list that the configuration brought; the policy is told before anything else.
func (g *Gateway) applyKnownEndpoints() {
	g.now = g.sharedTime(time.Now())
	g.cfg.KnownEndpoints.Snapshot = true
	g.handle(endpointsUpdated{g.discovery.ApplyKnown(g.cfg.KnownEndpoints)})
	g.cfg.KnownEndpoints.Entries = nil // a long list is not kept twice
}

// endpointList is the list as it stands, for the policy.
func (g *Gateway) endpointList() policy.EndpointsChanged {
	return policy.EndpointsChanged{Snapshot: true, GatewaysPerEndpoint: g.gatewaysPerEndpoint, Endpoints: g.pool.Endpoints()}
}
