package upstream

import "lemontack/policy"

// Event is what a connection's goroutine tells the pool through Config.Post. The loop gives it to Pool.HandleEvent.
type Event interface {
	apply(pool *Pool)
}

// Connected tells that a connection is open.
type Connected struct {
	connection *connection
}

// ReplyReceived tells that a reply was read.
type ReplyReceived struct {
	connection     *connection
	writtenAttempt *Attempt // the last one that had been written when the reply came; nil: none
	result         Result
}

// Disconnected is the last event of a connection.
type Disconnected struct {
	connection   *connection
	wasConnected bool // false: it could not be opened
}

func (event Connected) apply(pool *Pool) {
	endpoint := event.connection.endpoint
	endpoint.dialing--
	endpoint.lastActivityAt = pool.config.Now()
	pool.release(event.connection)
}

func (event ReplyReceived) apply(pool *Pool) {
	c := event.connection
	attempt := c.currentAttempt
	c.endpoint.lastActivityAt = pool.config.Now()
	if attempt == nil || event.writtenAttempt != attempt { // nobody asked for it, or its command was not out yet: the order is lost
		c.netConn.Close()
		return
	}
	c.currentAttempt = nil
	attempt.end(event.result)
	switch {
	case attempt.aborted: // it is closed already
	case event.result.reusable:
		pool.releaseAfterReuseDelay(c)
	default:
		c.netConn.Close()
	}
}

func (event Disconnected) apply(pool *Pool) {
	c := event.connection
	endpoint := c.endpoint
	c.disconnected = true
	endpoint.connections--
	pool.connections--
	endpoint.removeIdle(c)
	if event.wasConnected {
		c.endCurrentAttempt()
	} else {
		endpoint.dialing--
		endpoint.failOldestWaiting()
	}
	pool.dial(endpoint)
	pool.dialAfterLimitReached()
	pool.deleteRemovedIfUnused(endpoint)
}

// endCurrentAttempt ends the attempt that the connection carried when it broke, if any.
func (c *connection) endCurrentAttempt() {
	attempt := c.currentAttempt
	if attempt == nil {
		return
	}
	fullyWritten := c.writtenAttempt.Load() == attempt
	switch {
	case !fullyWritten && attempt.aborted:
		attempt.endWith(policy.NotSent)
	case !fullyWritten:
		attempt.endWith(policy.ConnectFailed)
	case attempt.aborted:
		attempt.endWith(attempt.abortOutcome)
	default:
		attempt.endWith(policy.Reset)
	}
}

// failOldestWaiting ends an attempt for which a dial has failed. Where fewer wait than there are connections to come, one that was
// released has taken the attempt.
func (endpoint *Endpoint) failOldestWaiting() {
	if len(endpoint.waiting) > endpoint.dialing+endpoint.awaitingReuse {
		endpoint.popWaiting().endWith(policy.ConnectFailed)
	}
}
