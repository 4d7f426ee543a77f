package upstream

import "lemontack/policy"

// Endpoint returns the endpoint with the given ID, or nil.
func (pool *Pool) Endpoint(id policy.EndpointID) *Endpoint { return pool.endpoints[id] }

// Endpoints returns the current list, without removed endpoints.
func (pool *Pool) Endpoints() []policy.Endpoint {
	var list []policy.Endpoint
	for _, endpoint := range pool.endpoints {
		if endpoint.State != policy.Removed {
			list = append(list, endpoint.Endpoint)
		}
	}
	return list
}

// UpdateEndpoints applies new and changed entries of the list. If snapshot is true, updates is the whole list, and all other
// endpoints are removed. Attempts that wait for an endpoint that is no longer serving end with the outcome NotSent.
func (pool *Pool) UpdateEndpoints(isSnapshot bool, updates []EndpointUpdate) {
	now := pool.config.Now()
	if isSnapshot {
		for _, endpoint := range pool.endpoints {
			endpoint.State = policy.Removed
			endpoint.updateStoppedAt(now)
		}
	}
	for _, update := range updates {
		endpoint := pool.endpoints[update.ID]
		if endpoint == nil {
			endpoint = &Endpoint{}
			pool.endpoints[update.ID] = endpoint
		}
		endpoint.update(update, now)
	}
	pool.CloseUnusableIdle()
	for _, endpoint := range pool.endpoints {
		for endpoint.State != policy.Serving && len(endpoint.waitingAttempts) > 0 {
			endpoint.popWaiting().endWith(policy.NotSent)
		}
		pool.deleteRemovedIfUnused(endpoint)
	}
}

// deleteRemovedIfUnused deletes a removed endpoint that has no connection and no waiting attempt. IDs are not reused, so
// the table would otherwise grow without bound.
func (pool *Pool) deleteRemovedIfUnused(endpoint *Endpoint) {
	unused := endpoint.connectionCount == 0 && len(endpoint.waitingAttempts) == 0
	if endpoint.State == policy.Removed && unused && pool.endpoints[endpoint.ID] == endpoint {
		delete(pool.endpoints, endpoint.ID)
	}
}
