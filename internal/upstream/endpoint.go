package upstream

import (
	"slices"
	"sync/atomic"
	"time"

	"lemontack/policy"
)

// Endpoint is an entry of the endpoint list, with its connections and the attempts that wait for one. It belongs to the loop's
// goroutine, but for StoppedServingAt.
type Endpoint struct {
	policy.Endpoint

	address        string
	stoppedAt      atomic.Int64  // when its state changed from serving, on the loop's clock; 0: it serves
	idle           []*connection // in the order in which they became idle
	waiting        []*Attempt
	dialing        int
	awaitingReuse  int           // connections that have had a reply less than reuseDelay ago
	connections    int           // all: dialing, idle, busy and awaiting reuse
	lastActivityAt time.Duration // when it last replied or took a connection
}

// EndpointUpdate is a new or changed entry of the endpoint list.
type EndpointUpdate struct {
	policy.Endpoint
	Address string // ignored for an endpoint that is removed
}

// StoppedServingAt returns when the endpoint's state changed from serving, on the loop's clock, or 0 while it serves. It is safe for
// concurrent use.
func (endpoint *Endpoint) StoppedServingAt() time.Duration {
	return time.Duration(endpoint.stoppedAt.Load())
}

// update takes over a changed entry.
func (endpoint *Endpoint) update(update EndpointUpdate, now time.Duration) {
	endpoint.Endpoint = update.Endpoint
	endpoint.updateStoppedAt(now)
	if update.State != policy.Removed {
		endpoint.address = update.Address
	}
}

// updateStoppedAt keeps when the endpoint stopped serving.
func (endpoint *Endpoint) updateStoppedAt(now time.Duration) {
	if endpoint.State == policy.Serving {
		endpoint.stoppedAt.Store(0)
		return
	}
	endpoint.stoppedAt.CompareAndSwap(0, int64(now))
}

// addWaiting lets an attempt wait for a connection.
func (endpoint *Endpoint) addWaiting(attempt *Attempt) {
	endpoint.waiting = append(endpoint.waiting, attempt)
}

// popWaiting returns the attempt that has waited longest; there must be one.
func (endpoint *Endpoint) popWaiting() *Attempt {
	attempt := endpoint.waiting[0]
	endpoint.waiting = endpoint.waiting[1:]
	return attempt
}

// removeWaiting takes an attempt out of those that wait, and reports whether it was there.
func (endpoint *Endpoint) removeWaiting(attempt *Attempt) bool {
	i := slices.Index(endpoint.waiting, attempt)
	if i < 0 {
		return false
	}
	endpoint.waiting = slices.Delete(endpoint.waiting, i, i+1)
	return true
}

// removeIdle takes a connection out of the idle ones, if it is there.
func (endpoint *Endpoint) removeIdle(c *connection) {
	if i := slices.Index(endpoint.idle, c); i >= 0 {
		endpoint.idle = slices.Delete(endpoint.idle, i, i+1)
	}
}

// closeOldestIdle closes the connection that has been idle for longest. The pool counts it until its Disconnected event.
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

// needsConnection reports whether there is an attempt that none of the connections to come is for, and room for one more.
func (endpoint *Endpoint) needsConnection() bool {
	return endpoint.dialing+endpoint.awaitingReuse < len(endpoint.waiting) &&
		endpoint.connections < maxConnectionsPerEndpoint
}
