package upstream

import (
	"context"
	"time"

	"lemontack/internal/resp"
	"lemontack/policy"
)

const (
	maxConnectionsPerEndpoint = 48
	// reuseDelay is the time between a reply and the reuse of its connection. A duplicate of the reply may arrive within
	// it, and must not be taken for the reply to the next command.
	reuseDelay = 20 * time.Millisecond
)

// Config configures a Pool: the functions of its event loop, and its limits.
type Config struct {
	Now   func() time.Duration            // returns the time on the loop's clock
	After func(time.Duration, func())     // calls a function on the loop's goroutine after a delay
	Post  func(Event)                     // passes an event to HandleEvent; safe for concurrent use
	Go    func(run func(context.Context)) // starts a goroutine that is cancelled and awaited when the loop ends

	// OnUnsolicitedInput is called on the loop's goroutine when a connection has ended because its endpoint sent input that belongs
	// to no command.
	OnUnsolicitedInput func(policy.EndpointID)

	MaxConnections int // limit for all endpoints together
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration      // time after which the endpoints close an idle connection
	ReplyMemory    *resp.MemoryBudget // shared by the read buffers of all connections
}

// Pool owns the endpoints, their connections and the attempts that wait for one. Its methods must be called on the
// goroutine of the event loop; none of them waits for a peer.
type Pool struct {
	config                 Config
	endpoints              map[policy.EndpointID]*Endpoint
	connectionCount        int  // number of connections to all endpoints
	connectionLimitReached bool // a dial was skipped because MaxConnections were open and none was idle
}

// NewPool returns a pool without endpoints.
func NewPool(config Config) *Pool {
	return &Pool{config: config, endpoints: map[policy.EndpointID]*Endpoint{}}
}

// HandleEvent applies an event that a connection's goroutine has posted.
func (pool *Pool) HandleEvent(event Event) { event.apply(pool) }

// Start assigns an attempt to the most recently used idle connection of its endpoint. If no idle connection is usable, the
// attempt waits for one.
func (pool *Pool) Start(attempt *Attempt) {
	endpoint := attempt.endpoint
	for n := len(endpoint.idleConnections); n > 0; n = len(endpoint.idleConnections) {
		c := endpoint.idleConnections[n-1]
		endpoint.idleConnections = endpoint.idleConnections[:n-1]
		if !pool.isStale(c) && c.replies.IsOpenWithoutInput() {
			pool.assign(c, attempt)
			return
		}
		c.netConn.Close()
	}
	endpoint.addWaiting(attempt)
	pool.dial(endpoint)
	pool.limitWaitTime(attempt)
}

// limitWaitTime ends an attempt that waits longer than ConnectTimeout for a connection, whether for a dial or because all
// connections are busy. The policy assumes that an attempt is written shortly after its start.
func (pool *Pool) limitWaitTime(attempt *Attempt) {
	pool.config.After(pool.config.ConnectTimeout, func() {
		if attempt.endpoint.removeWaiting(attempt) {
			attempt.endWith(policy.ConnectFailed)
		}
	})
}

// Abort cancels an attempt and closes its connection. A waiting attempt ends at once as NotSent, and a completely written
// one ends at once with the given outcome. Otherwise the attempt ends with the Disconnected event, when it is known whether
// it was written.
func (pool *Pool) Abort(attempt *Attempt, outcome policy.Outcome) {
	if attempt.ended || attempt.aborted {
		return
	}
	if attempt.connection == nil {
		pool.cancelWaiting(attempt)
		return
	}
	attempt.aborted, attempt.abortOutcome = true, outcome
	c := attempt.connection
	c.netConn.Close()
	if c.writtenAttempt.Load() == attempt {
		c.currentAttempt = nil
		attempt.endWith(outcome)
	}
	pool.closeIdleIfUnresponsive(attempt)
}

// closeIdleIfUnresponsive closes the idle connections of an endpoint without activity on any connection since the attempt
// was assigned, if that was at least ConnectTimeout ago. Its host may be down, and later attempts on these connections
// would wait until their deadlines.
func (pool *Pool) closeIdleIfUnresponsive(attempt *Attempt) {
	endpoint := attempt.endpoint
	unresponsive := endpoint.lastActivityAt <= attempt.assignedAt
	if unresponsive && pool.config.Now()-attempt.assignedAt >= pool.config.ConnectTimeout {
		endpoint.closeAllIdle()
	}
}

// CancelUnsent ends an attempt as NotSent if the write of it has not begun, and otherwise does nothing. Its connection
// stays open.
func (pool *Pool) CancelUnsent(attempt *Attempt) {
	switch {
	case attempt.ended:
	case attempt.connection == nil:
		pool.cancelWaiting(attempt)
	case attempt.writeClaimed.CompareAndSwap(false, true):
		pool.unassign(attempt)
	}
}

// cancelWaiting ends an attempt that waits for a connection.
func (pool *Pool) cancelWaiting(attempt *Attempt) {
	attempt.endpoint.removeWaiting(attempt)
	attempt.endWith(policy.NotSent)
}

// assign assigns an attempt to a free connection.
func (pool *Pool) assign(c *connection, attempt *Attempt) {
	attempt.connection, attempt.assignedAt = c, pool.config.Now()
	c.currentAttempt = attempt
	select {
	case c.assignments <- assignment{attempt, attempt.command.Encode()}:
	default: // the connection has replied before it received its last assignment; the loop must not block
		c.netConn.Close()
	}
}

// unassign ends an attempt that the pool has claimed before its connection wrote it, and releases the connection.
func (pool *Pool) unassign(attempt *Attempt) {
	c := attempt.connection
	select {
	case <-c.assignments:
	default: // the connection has received the assignment and will discard it
	}
	c.currentAttempt = nil
	attempt.endWith(policy.NotSent)
	pool.release(c)
}

// dial opens connections for the waiting attempts, within the limits.
func (pool *Pool) dial(endpoint *Endpoint) {
	for endpoint.needsConnection() {
		if pool.connectionCount >= pool.config.MaxConnections && !pool.closeOldestIdle() {
			pool.connectionLimitReached = true
			return
		}
		c := newConnection(endpoint, pool.config.ReplyMemory)
		endpoint.dialingCount++
		endpoint.connectionCount++
		pool.connectionCount++
		pool.config.Go(func(ctx context.Context) { c.run(ctx, pool.config.ConnectTimeout, pool.config.Post) })
	}
}

// dialAfterLimitReached dials for attempts that could not have a connection because of MaxConnections. It is called when a
// connection may have become available.
func (pool *Pool) dialAfterLimitReached() {
	if !pool.connectionLimitReached {
		return
	}
	pool.connectionLimitReached = false
	for _, endpoint := range pool.endpoints {
		pool.dial(endpoint)
	}
}

// releaseAfterReuseDelay releases a connection after reuseDelay, when no duplicate of its reply is expected any more.
func (pool *Pool) releaseAfterReuseDelay(c *connection) {
	c.endpoint.awaitingReuseCount++
	pool.config.After(reuseDelay, func() {
		c.endpoint.awaitingReuseCount--
		pool.release(c)
		pool.dial(c.endpoint)
	})
}

// release assigns a connection without an attempt to the first waiting attempt that may start, or adds it to the idle
// connections. It closes a connection that cannot be reused. Start checks an idle connection for input when it assigns it.
func (pool *Pool) release(c *connection) {
	endpoint := c.endpoint
	if c.disconnected || c.address != endpoint.address || endpoint.State == policy.Removed {
		c.netConn.Close()
		return
	}
	if len(endpoint.waitingAttempts) > 0 && !c.replies.IsOpenWithoutInput() {
		c.netConn.Close()
		return
	}
	for len(endpoint.waitingAttempts) > 0 {
		attempt := endpoint.popWaiting()
		// Since the attempt began to wait, the endpoint may have begun to drain, and the request may have finished. A drain counts
		// from its notification, whether or not attempts wait.
		if endpoint.State == policy.Serving && attempt.command.MayStart() {
			pool.assign(c, attempt)
			return
		}
		attempt.endWith(policy.NotSent)
	}
	c.idleSince = pool.config.Now()
	endpoint.idleConnections = append(endpoint.idleConnections, c)
	pool.dialAfterLimitReached()
}
