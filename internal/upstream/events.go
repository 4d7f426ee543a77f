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
	connection *connection
	written    *Attempt // the last one that had been written when the reply came; nil: none
	reply      Result
}

// Disconnected is the last event of a connection.
type Disconnected struct {
	connection   *connection
	wasConnected bool // false: it could not be opened
}

func (event Connected) apply(pool *Pool) {
	endpoint := event.connection.endpoint
	endpoint.dialing--
	endpoint.lastHeardAt = pool.config.Now()
	pool.release(event.connection)
}

func (event ReplyReceived) apply(pool *Pool) {
	c := event.connection
	attempt := c.current
	c.endpoint.lastHeardAt = pool.config.Now()
	if attempt == nil || event.written != attempt { // nobody asked for it, or its command was not out yet: the order is lost
		c.netConn.Close()
		return
	}
	c.current = nil
	attempt.end(event.reply)
	switch {
	case attempt.aborted: // it is closed already
	case event.reply.reusable:
		pool.releaseLater(c)
	default:
		c.netConn.Close()
	}
}

func (event Disconnected) apply(pool *Pool) {
	c := event.connection
	endpoint := c.endpoint
	c.down = true
	endpoint.connections--
	pool.connections--
	endpoint.removeIdle(c)
	if event.wasConnected {
		c.endCurrent()
	} else {
		endpoint.dialing--
		endpoint.failWaiting()
	}
	pool.dial(endpoint)
	pool.dialStarved()
	pool.forgetRemoved(endpoint)
}

// endCurrent ends the attempt that the connection carried when it broke, if any.
func (c *connection) endCurrent() {
	attempt := c.current
	if attempt == nil {
		return
	}
	written := c.written.Load() == attempt
	switch {
	case !written && attempt.aborted:
		attempt.endWith(policy.NotSent)
	case !written:
		attempt.endWith(policy.ConnectFailed)
	case attempt.aborted:
		attempt.endWith(attempt.abortOutcome)
	default:
		attempt.endWith(policy.Reset)
	}
}

// failWaiting ends an attempt for which a dial has failed. Where fewer wait than there are connections to come, one that was
// released has taken the attempt.
func (endpoint *Endpoint) failWaiting() {
	if len(endpoint.waiting) > endpoint.dialing+endpoint.awaitingReuse {
		endpoint.dequeue().endWith(policy.ConnectFailed)
	}
}
