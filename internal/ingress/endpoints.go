package ingress

import (
	"time"

	"lemontack/internal/discovery"
	"lemontack/internal/upstream"
	"lemontack/policy"
)

// updateEndpoints applies a snapshot of the endpoint list, or changes to it.
func (g *Gateway) updateEndpoints(list discovery.EndpointList) {
	g.gatewaysPerEndpoint = list.GatewaysPerEndpoint
	if !list.IsSnapshot && len(list.Entries) == 0 { // the changes concern only endpoints outside this gateway's subset
		return
	}
	event := policy.EndpointsChanged{IsSnapshot: list.IsSnapshot, GatewaysPerEndpoint: list.GatewaysPerEndpoint}
	updates := make([]upstream.EndpointUpdate, 0, len(list.Entries))
	for _, entry := range list.Entries {
		endpoint := entry.PolicyEndpoint()
		event.Endpoints = append(event.Endpoints, endpoint)
		updates = append(updates, upstream.EndpointUpdate{Endpoint: endpoint, Address: entry.Address})
	}
	g.enqueue(event) // before the AttemptEnded events of attempts that the update ends
	g.pool.UpdateEndpoints(list.IsSnapshot, updates)
}

// applyKnownList applies the endpoint list of the configuration. It is the first event that the policy receives.
func (g *Gateway) applyKnownList() {
	g.now = g.sharedTime(time.Now())
	g.cfg.KnownList.IsSnapshot = true
	g.handle(endpointsUpdated{g.discovery.ApplyKnownList(g.cfg.KnownList)})
	g.cfg.KnownList.Entries = nil // release the memory: the pool now holds the list
}

// endpointList returns the current endpoint list as an event for the policy.
func (g *Gateway) endpointList() policy.EndpointsChanged {
	return policy.EndpointsChanged{IsSnapshot: true, GatewaysPerEndpoint: g.gatewaysPerEndpoint, Endpoints: g.pool.Endpoints()}
}
