package upstream

import "lemontack/policy"

// isStale reports whether the endpoint is about to close an idle connection: a command that crossed that would be a reset, and
// may not be sent again.
func (pool *Pool) isStale(c *connection) bool {
	return pool.config.Now()-c.idleSince > pool.config.IdleTimeout*2/3
}

// CloseUnusableIdle closes the idle connections that are stale or lead to where nothing is to be sent any more.
func (pool *Pool) CloseUnusableIdle() {
	for _, endpoint := range pool.endpoints {
		for len(endpoint.idle) > 0 && pool.isUnusable(endpoint.idle[0]) {
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

// closeOldestIdle makes room for a new connection. It reports false where no connection is idle.
func (pool *Pool) closeOldestIdle() bool {
	var oldestIdle *Endpoint
	for _, endpoint := range pool.endpoints {
		if len(endpoint.idle) == 0 {
			continue
		}
		if oldestIdle == nil || endpoint.idle[0].idleSince < oldestIdle.idle[0].idleSince {
			oldestIdle = endpoint
		}
	}
	if oldestIdle == nil {
		return false
	}
	oldestIdle.closeOldestIdle()
	return true
}
