package upstream

import (
	"context"
	"time"

	"lemontack/internal/resp"
	"lemontack/policy"
)

const (
	maxConnectionsPerEndpoint = 48
	// reuseDelay is the pause of a connection between two commands: a second copy of a reply comes that much later, and must
	// not be taken for the reply to the next command.
	reuseDelay = 20 * time.Millisecond
)

// Config is what a pool needs of its event loop, and its limits.
type Config struct {
	Now   func() time.Duration            // the loop's clock
	After func(time.Duration, func())     // calls the function on the loop's goroutine so much later
	Post  func(Event)                     // brings an event to HandleEvent; safe for concurrent use
	Go    func(run func(context.Context)) // starts a goroutine that the loop's end cancels and waits for

	MaxConnections int // to all endpoints together
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // for which the endpoints keep an idle connection open
	ReplyMemory    *resp.MemoryBudget
}

// Pool owns the endpoints, their connections and the attempts that wait for one. All its methods are for the goroutine of the
// event loop; none of them waits for a peer.
type Pool struct {
	config                 Config
	endpoints              map[policy.EndpointID]*Endpoint
	connections            int  // to all endpoints
	connectionLimitReached bool // an attempt waits because MaxConnections are open
}

// NewPool returns a pool without endpoints.
func NewPool(config Config) *Pool {
	return &Pool{config: config, endpoints: map[policy.EndpointID]*Endpoint{}}
}

// HandleEvent applies what a connection's goroutine has told.
func (pool *Pool) HandleEvent(event Event) { event.apply(pool) }

// Start gives an attempt the connection that became idle last, or lets it wait for one.
func (pool *Pool) Start(attempt *Attempt) {
	endpoint := attempt.endpoint
	for n := len(endpoint.idle); n > 0; n = len(endpoint.idle) {
		c := endpoint.idle[n-1]
		endpoint.idle = endpoint.idle[:n-1]
		if !pool.isStale(c) && c.isOpenAndDrained() {
			pool.assign(c, attempt)
			return
		}
		c.netConn.Close()
	}
	endpoint.addWaiting(attempt)
	pool.dial(endpoint)
	pool.limitWaitTime(attempt)
}

// limitWaitTime ends an attempt that waits longer than a dial may take, be it for a dial or for one of the connections that are all
// busy: the policy counts on an attempt being written at about the time of its start.
func (pool *Pool) limitWaitTime(attempt *Attempt) {
	pool.config.After(pool.config.ConnectTimeout, func() {
		if attempt.endpoint.removeWaiting(attempt) {
			attempt.endWith(policy.ConnectFailed)
		}
	})
}

// Abort gives an attempt up. One that waits was never sent, one that is written ends at once with the outcome. Of one in
// between only the connection knows: it is closed, and its Disconnected event tells.
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

// closeIdleIfUnresponsive closes the idle connections of an endpoint that has said nothing on any connection since the attempt: its
// machine may have vanished, and no further request is to wait on them for its whole time.
func (pool *Pool) closeIdleIfUnresponsive(attempt *Attempt) {
	endpoint := attempt.endpoint
	unresponsive := endpoint.lastActivityAt <= attempt.assignedAt
	if unresponsive && pool.config.Now()-attempt.assignedAt >= pool.config.ConnectTimeout {
		endpoint.closeAllIdle()
	}
}

// CancelUnsent ends an attempt whose first byte has not been written, and leaves any other as it is. The connection that it was
// given to stays open.
func (pool *Pool) CancelUnsent(attempt *Attempt) {
	switch {
	case attempt.ended:
	case attempt.connection == nil:
		pool.cancelWaiting(attempt)
	case attempt.writeClaimed.CompareAndSwap(false, true):
		pool.unassign(attempt)
	}
}

// cancelWaiting ends an attempt that no connection was given.
func (pool *Pool) cancelWaiting(attempt *Attempt) {
	attempt.endpoint.removeWaiting(attempt)
	attempt.endWith(policy.NotSent)
}

// assign gives an attempt to a free connection.
func (pool *Pool) assign(c *connection, attempt *Attempt) {
	attempt.connection, attempt.assignedAt = c, pool.config.Now()
	c.currentAttempt = attempt
	select {
	case c.assignments <- assignment{attempt, attempt.command.Encode()}:
	default: // it has answered what was not written yet: the order is lost, and the loop must not wait
		c.netConn.Close()
	}
}

// unassign ends a claimed attempt that its connection will not write, and frees the connection.
func (pool *Pool) unassign(attempt *Attempt) {
	c := attempt.connection
	select {
	case <-c.assignments:
	default: // the connection has received it, and drops it
	}
	c.currentAttempt = nil
	attempt.endWith(policy.NotSent)
	pool.release(c)
}

// dial opens connections for the attempts that wait, within the limits.
func (pool *Pool) dial(endpoint *Endpoint) {
	for endpoint.needsConnection() {
		if pool.connections >= pool.config.MaxConnections && !pool.closeOldestIdle() {
			pool.connectionLimitReached = true
			return
		}
		c := newConnection(endpoint, pool.config.ReplyMemory)
		endpoint.dialing++
		endpoint.connections++
		pool.connections++
		pool.config.Go(func(ctx context.Context) { c.run(ctx, pool.config.ConnectTimeout, pool.config.Post) })
	}
}

// dialAfterLimitReached dials for those that found all connections in use elsewhere; without it they would wait for good.
func (pool *Pool) dialAfterLimitReached() {
	if !pool.connectionLimitReached {
		return
	}
	pool.connectionLimitReached = false
	for _, endpoint := range pool.endpoints {
		pool.dial(endpoint)
	}
}

// releaseAfterReuseDelay releases a connection that has had a reply once no second copy of that is to be expected.
func (pool *Pool) releaseAfterReuseDelay(c *connection) {
	c.endpoint.awaitingReuse++
	pool.config.After(reuseDelay, func() {
		c.endpoint.awaitingReuse--
		pool.release(c)
		pool.dial(c.endpoint)
	})
}

// release takes a connection that carries nothing: for the first attempt that waits, or to the idle ones.
func (pool *Pool) release(c *connection) {
	endpoint := c.endpoint
	if c.disconnected || c.address != endpoint.address || endpoint.State == policy.Removed || !c.isOpenAndDrained() {
		c.netConn.Close()
		return
	}
	for len(endpoint.waiting) > 0 {
		attempt := endpoint.popWaiting()
		// Much may have changed since the attempt began to wait: a drain counts from when it is told, and a request may be
		// over.
		if endpoint.State == policy.Serving && attempt.command.MayStart() {
			pool.assign(c, attempt)
			return
		}
		attempt.endWith(policy.NotSent)
	}
	c.idleSince = pool.config.Now()
	endpoint.idle = append(endpoint.idle, c)
	pool.dialAfterLimitReached()
}
