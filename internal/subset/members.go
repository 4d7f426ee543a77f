package subset

// Members tracks the cached endpoints of a subset, and narrows or widens the subset according to their number. It is not safe
// for concurrent use.
type Members struct {
	subset      *Subset
	zone        string          // zone of this gateway
	cached      map[string]bool // whether a cached endpoint is in the own zone, by endpoint id
	evictionDue bool            // whether the subset has been narrowed since the last eviction
	needsResync bool            // whether the subset has been widened since the last snapshot
}

// NewMembers returns an empty set of members of the subset, for a gateway in the given zone.
func NewMembers(subset *Subset, zone string) *Members {
	return &Members{subset: subset, zone: zone, cached: map[string]bool{}}
}

// Subset returns the subset that the members belong to.
func (m *Members) Subset() *Subset { return m.subset }

// Len returns the number of cached endpoints.
func (m *Members) Len() int { return len(m.cached) }

// IsCached reports whether an endpoint is cached.
func (m *Members) IsCached(id string) bool {
	_, cached := m.cached[id]
	return cached
}

// IsWanted reports whether entries of an endpoint are to be processed: it is cached, or it belongs to the subset.
func (m *Members) IsWanted(id, zone string) bool {
	return m.IsCached(id) || m.subset.Contains(id, zone)
}

// Add adds an endpoint, or changes its zone.
func (m *Members) Add(id, zone string) { m.cached[id] = zone == m.zone }

// Remove removes an endpoint, if it is cached.
func (m *Members) Remove(id string) { delete(m.cached, id) }

// Reset removes all endpoints, before those of a snapshot of the whole list are added.
func (m *Members) Reset() {
	clear(m.cached)
	m.needsResync = false
}

// NarrowIfOverfull narrows the subset by one level if the given number of cached endpoints is too large for it, and reports
// whether it did. Endpoints that no longer belong to the subset stay cached until Evict.
func (m *Members) NarrowIfOverfull(cached int) bool {
	if !m.subset.IsOverfull(cached) {
		return false
	}
	m.subset.Narrow()
	m.evictionDue = true
	return true
}

// Evict removes the endpoints that no longer belong to the subset, narrows it until the rest fit, and returns the ids of all
// removed endpoints.
func (m *Members) Evict() []string {
	evicted := m.removeNonMembers()
	for m.NarrowIfOverfull(m.Len()) {
		evicted = append(evicted, m.removeNonMembers()...)
	}
	return evicted
}

// removeNonMembers removes the endpoints that no longer belong to the subset, and returns their ids.
func (m *Members) removeNonMembers() (evicted []string) {
	if !m.evictionDue {
		return nil
	}
	m.evictionDue = false
	for id, inOwnZone := range m.cached {
		zone := ""
		if inOwnZone {
			zone = m.zone
		}
		if !m.subset.Contains(id, zone) {
			delete(m.cached, id)
			evicted = append(evicted, id)
		}
	}
	return evicted
}

// NeedsResync reports whether the whole list has to be read again because the subset has been widened.
func (m *Members) NeedsResync() bool { return m.needsResync }

// WidenIfSparse widens the subset if it holds too few endpoints, until a resync is expected to cache enough of them. It
// reports whether a resync is needed, either from this call or from an earlier one.
func (m *Members) WidenIfSparse() bool {
	if m.needsResync || !m.subset.IsSparse(m.Len()) {
		return m.needsResync
	}
	m.needsResync = true
	gatewaysBefore := m.GatewaysPerEndpoint()
	for m.subset.IsSparse(m.expectedSize(gatewaysBefore)) {
		m.subset.Widen()
	}
	return true
}

// expectedSize estimates how many endpoints a resync will cache. gatewaysBefore is the result of GatewaysPerEndpoint at the
// level at which the currently cached endpoints were read.
func (m *Members) expectedSize(gatewaysBefore float64) int {
	return int(float64(m.Len()) * m.GatewaysPerEndpoint() / gatewaysBefore)
}

// GatewaysPerEndpoint estimates how many gateways share each of the cached endpoints.
func (m *Members) GatewaysPerEndpoint() float64 {
	ownZone := 0
	for _, inOwnZone := range m.cached {
		if inOwnZone {
			ownZone++
		}
	}
	return m.subset.GatewaysPerEndpoint(ownZone, m.Len()-ownZone)
}
