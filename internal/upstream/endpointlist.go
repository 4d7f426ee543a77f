package upstream

import "lemontack/policy"

// Endpoint returns the endpoint of that id, or nil.
func (pool *Pool) Endpoint(id policy.EndpointID) *Endpoint { return pool.endpoints[id] }

// Endpoints returns the list as it stands, without the endpoints that are removed.
func (pool *Pool) Endpoints() []policy.Endpoint {
	var list []policy.Endpoint
	for _, endpoint := range pool.endpoints {
		if endpoint.State != policy.Removed {
			list = append(list, endpoint.Endpoint)
		}
	}
	return list
}

// UpdateEndpoints takes over the entries of the list that are new or changed; with snapshot the list is these, and all others
// are removed. Attempts that wait for an endpoint which takes nothing new end as not sent.
func (pool *Pool) UpdateEndpoints(snapshot bool, updates []EndpointUpdate) {
	now := pool.config.Now()
	if snapshot {
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
		for endpoint.State != policy.Serving && len(endpoint.waiting) > 0 {
			endpoint.popWaiting().endWith(policy.NotSent)
		}
		pool.deleteRemovedIfUnused(endpoint)
	}
}

// deleteRemovedIfUnused forgets a removed endpoint once nothing waits for it and no connection is open: ids are not used again, and the
// table would grow for good.
func (pool *Pool) deleteRemovedIfUnused(endpoint *Endpoint) {
	unused := endpoint.connections == 0 && len(endpoint.waiting) == 0
	if endpoint.State == policy.Removed && unused && pool.endpoints[endpoint.ID] == endpoint {
		delete(pool.endpoints, endpoint.ID)
	}
}
