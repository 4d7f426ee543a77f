package upstream

import (
	"slices"
	"sync/atomic"
	"time"

	"lemontack/policy"
)

// Endpoint is an entry of the endpoint list, with its connections and the attempts that wait for one. Except for StoppedServingAt
// it is used only on the loop's goroutine.
type Endpoint struct {
	policy.Endpoint

	address        string
	stoppedAt      atomic.Int64  // time.Duration on the loop's clock; zero while the endpoint is serving
	idle           []*connection // in the order in which they became idle, oldest first
	waiting        []*Attempt    // in the order of arrival
	dialing        int           // number of connections being opened
	awaitingReuse  int           // number of connections that received a reply less than reuseDelay ago
	connections    int           // number of all connections: dialing, idle, busy and awaiting reuse
	lastActivityAt time.Duration // time of the last reply or accepted connection, on the loop's clock
}

// EndpointUpdate is a new or changed entry of the endpoint list.
type EndpointUpdate struct {
	policy.Endpoint
	Address string // host:port; ignored for a removed endpoint
}

// StoppedServingAt returns the time on the loop's clock at which the endpoint stopped serving, or zero while it is serving. It is
// safe for concurrent use.
func (endpoint *Endpoint) StoppedServingAt() time.Duration {
	return time.Duration(endpoint.stoppedAt.Load())
}

// update applies a new or changed entry. A removed endpoint keeps its address.
func (endpoint *Endpoint) update(update EndpointUpdate, now time.Duration) {
	endpoint.Endpoint = update.Endpoint
	endpoint.updateStoppedAt(now)
	if update.State != policy.Removed {
		endpoint.address = update.Address
	}
}

// updateStoppedAt sets or clears stoppedAt after a change of the state. It keeps the time at which the endpoint first
// stopped serving.
func (endpoint *Endpoint) updateStoppedAt(now time.Duration) {
	if endpoint.State == policy.Serving {
		endpoint.stoppedAt.Store(0)
		return
	}
	endpoint.stoppedAt.CompareAndSwap(0, int64(now))
}

// addWaiting appends an attempt to those that wait for a connection.
func (endpoint *Endpoint) addWaiting(attempt *Attempt) {
	endpoint.waiting = append(endpoint.waiting, attempt)
}

// popWaiting removes and returns the attempt that has waited longest. There must be one.
func (endpoint *Endpoint) popWaiting() *Attempt {
	attempt := endpoint.waiting[0]
	endpoint.waiting = endpoint.waiting[1:]
	return attempt
}

// removeWaiting removes an attempt from those that wait for a connection, and reports whether it was one of them.
func (endpoint *Endpoint) removeWaiting(attempt *Attempt) bool {
	i := slices.Index(endpoint.waiting, attempt)
	if i < 0 {
		return false
	}
	endpoint.waiting = slices.Delete(endpoint.waiting, i, i+1)
	return true
}

// removeIdle removes a connection from the idle connections if it is one of them.
func (endpoint *Endpoint) removeIdle(c *connection) {
	if i := slices.Index(endpoint.idle, c); i >= 0 {
		endpoint.idle = slices.Delete(endpoint.idle, i, i+1)
	}
}

// closeOldestIdle closes the connection that has been idle longest. There must be one. The pool counts it until its Disconnected
// event.
func (endpoint *Endpoint) closeOldestIdle() {
	endpoint.idle[0].netConn.Close()
	endpoint.idle = endpoint.idle[1:]
}

// closeAllIdle closes all idle connections.
func (endpoint *Endpoint) closeAllIdle() {
	for len(endpoint.idle) > 0 {
		endpoint.closeOldestIdle()
	}
}

// needsConnection reports whether more attempts wait than connections are about to become available, and the limit of connections
// per endpoint allows one more.
func (endpoint *Endpoint) needsConnection() bool {
	return endpoint.dialing+endpoint.awaitingReuse < len(endpoint.waiting) &&
		endpoint.connections < maxConnectionsPerEndpoint
}
