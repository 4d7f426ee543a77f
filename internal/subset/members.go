package subset

// Members tracks the endpoints of a subset that are cached, and adapts the subset to their number. It belongs to one
// goroutine.
type Members struct {
	subset      *Subset
	zone        string          // of this gateway
	cached      map[string]bool // by the endpoint's id; true: it is in the own zone
	evictionDue bool            // the subset has been narrowed since the last eviction
	needsResync bool            // the subset has been widened since the last snapshot
}

// NewMembers returns an empty set of members of the subset, for a gateway in that zone.
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

// IsWanted reports whether entries of an endpoint count: it is cached, or it belongs to the subset.
func (m *Members) IsWanted(id, zone string) bool {
	return m.IsCached(id) || m.subset.Contains(id, zone)
}

// Add adds an endpoint, or changes its zone.
func (m *Members) Add(id, zone string) { m.cached[id] = zone == m.zone }

// Remove removes an endpoint, if it is cached.
func (m *Members) Remove(id string) { delete(m.cached, id) }

// Reset removes all endpoints, since a snapshot of the whole list takes their place.
func (m *Members) Reset() {
	clear(m.cached)
	m.needsResync = false
}

// NarrowIfOverfull narrows the subset by one level if so many cached endpoints are too many, and reports whether it did.
// The endpoints that no longer belong to the subset stay until Evict.
func (m *Members) NarrowIfOverfull(cached int) bool {
	if !m.subset.IsOverfull(cached) {
		return false
	}
	m.subset.Narrow()
	m.evictionDue = true
	return true
}

// Evict narrows the subset until the cached endpoints fit, removes those that no longer belong to it, and returns their ids.
func (m *Members) Evict() []string {
	evicted := m.evictOutsiders()
	for m.NarrowIfOverfull(m.Len()) {
		evicted = append(evicted, m.evictOutsiders()...)
	}
	return evicted
}

// evictOutsiders removes the endpoints that do not belong to the subset any more.
func (m *Members) evictOutsiders() (evicted []string) {
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

// NeedsResync reports whether the subset has been widened, so that the whole list has to be read again.
func (m *Members) NeedsResync() bool { return m.needsResync }

// WidenIfSparse widens the subset if more endpoints can be cached than are, until about as many as fit belong to it. It
// reports whether a resync is needed, now or still.
func (m *Members) WidenIfSparse() bool {
	if m.needsResync || !m.subset.IsSparse(m.Len()) {
		return m.needsResync
	}
	m.needsResync = true
	before := m.GatewaysPerEndpoint()
	for m.subset.IsSparse(m.expectedSize(before)) {
		m.subset.Widen()
	}
	return true
}

// expectedSize estimates how many endpoints a resync will cache, where before is GatewaysPerEndpoint at the level that the
// present ones were read at.
func (m *Members) expectedSize(before float64) int {
	return int(float64(m.Len()) * m.GatewaysPerEndpoint() / before)
}

// GatewaysPerEndpoint estimates how many gateways share one of the endpoints.
func (m *Members) GatewaysPerEndpoint() float64 {
	own := 0
	for _, inOwnZone := range m.cached {
		if inOwnZone {
			own++
		}
	}
	return m.subset.GatewaysPerEndpoint(own, m.Len()-own)
}
