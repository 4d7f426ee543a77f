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

	address            string
	stoppedAt          atomic.Int64  // time.Duration on the loop's clock; zero while the endpoint is serving
	idleConnections    []*connection // connections in the order in which they became idle
	waitingAttempts    []*Attempt    // attempts in the order in which they began to wait
	dialingCount       int           // number of connections being opened
	awaitingReuseCount int           // number of connections that received a reply less than reuseDelay ago
	connectionCount    int           // number of all connections: dialing, idle, busy and awaiting reuse
	lastActivityAt     time.Duration // time of the last reply or established connection, on the loop's clock
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
	endpoint.waitingAttempts = append(endpoint.waitingAttempts, attempt)
}

// popWaiting removes and returns the attempt that has waited longest. There must be one.
func (endpoint *Endpoint) popWaiting() *Attempt {
	attempt := endpoint.waitingAttempts[0]
	endpoint.waitingAttempts = endpoint.waitingAttempts[1:]
	return attempt
}

// removeWaiting removes an attempt from those that wait for a connection, and reports whether it was one of them.
func (endpoint *Endpoint) removeWaiting(attempt *Attempt) bool {
	i := slices.Index(endpoint.waitingAttempts, attempt)
	if i < 0 {
		return false
	}
	endpoint.waitingAttempts = slices.Delete(endpoint.waitingAttempts, i, i+1)
	return true
}

// removeIdle removes a connection from the idle connections if it is one of them.
func (endpoint *Endpoint) removeIdle(c *connection) {
	if i := slices.Index(endpoint.idleConnections, c); i >= 0 {
		endpoint.idleConnections = slices.Delete(endpoint.idleConnections, i, i+1)
	}
}

// closeOldestIdle closes the connection that has been idle longest. There must be one. The pool counts it until its Disconnected
// event.
func (endpoint *Endpoint) closeOldestIdle() {
	endpoint.idleConnections[0].netConn.Close()
	endpoint.idleConnections = endpoint.idleConnections[1:]
}

// closeAllIdle closes all idle connections.
func (endpoint *Endpoint) closeAllIdle() {
	for len(endpoint.idleConnections) > 0 {
		endpoint.closeOldestIdle()
	}
}

// needsConnection reports whether more attempts wait than connections are about to become available, and the limit of connections
// per endpoint allows one more.
func (endpoint *Endpoint) needsConnection() bool {
	return endpoint.dialingCount+endpoint.awaitingReuseCount < len(endpoint.waitingAttempts) &&
		endpoint.connectionCount < maxConnectionsPerEndpoint
}
