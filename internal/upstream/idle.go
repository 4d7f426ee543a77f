package upstream

import "lemontack/policy"

// isStale reports whether an idle connection is close to the endpoint's idle timeout. A command sent while the endpoint
// closes the connection would end as a reset, and might not be allowed to be retried.
func (pool *Pool) isStale(c *connection) bool {
	return pool.config.Now()-c.idleSince > pool.config.IdleTimeout*2/3
}

// CloseUnusableIdle closes the idle connections that are stale, or whose endpoint is not serving or has changed its address.
func (pool *Pool) CloseUnusableIdle() {
	for _, endpoint := range pool.endpoints {
		for len(endpoint.idleConnections) > 0 && pool.isUnusable(endpoint.idleConnections[0]) {
			endpoint.closeOldestIdle()
		}
	}
}

func (pool *Pool) isUnusable(c *connection) bool {
	return c.endpoint.State != policy.Serving || c.address != c.endpoint.address || pool.isStale(c)
}

// CloseIdle closes the idle connections of one endpoint.
func (pool *Pool) CloseIdle(id policy.EndpointID) {
	if endpoint := pool.endpoints[id]; endpoint != nil {
		endpoint.closeAllIdle()
	}
}

// closeOldestIdle closes the connection that has been idle longest among all endpoints, to make room for a new one. It returns
// false if no connection is idle.
func (pool *Pool) closeOldestIdle() bool {
	var oldestIdle *Endpoint
	for _, endpoint := range pool.endpoints {
		if len(endpoint.idleConnections) == 0 {
			continue
		}
		if oldestIdle == nil || endpoint.idleConnections[0].idleSince < oldestIdle.idleConnections[0].idleSince {
			oldestIdle = endpoint
		}
	}
	if oldestIdle == nil {
		return false
	}
	oldestIdle.closeOldestIdle()
	return true
}
