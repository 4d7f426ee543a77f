package upstream

import "lemontack/policy"

// Event is a message of a connection's goroutine to the pool, sent by Config.Post. The loop passes it to Pool.HandleEvent.
type Event interface {
	apply(pool *Pool)
}

// Connected reports that a connection has been opened.
type Connected struct {
	connection *connection
}

// ReplyReceived reports that a reply was read.
type ReplyReceived struct {
	connection     *connection
	writtenAttempt *Attempt // latest attempt that was completely written when the reply was read; nil if there was none
	result         Result
}

// Disconnected reports the end of a connection or a failed dial. It is the last event of a connection.
type Disconnected struct {
	connection          *connection
	wasConnected        bool // false if the connection could not be opened
	hadUnsolicitedInput bool // the connection was closed because the endpoint sent input that belongs to no command
}

func (event Connected) apply(pool *Pool) {
	endpoint := event.connection.endpoint
	endpoint.dialingCount--
	endpoint.lastActivityAt = pool.config.Now()
	pool.release(event.connection)
}

func (event ReplyReceived) apply(pool *Pool) {
	c := event.connection
	attempt := c.currentAttempt
	c.endpoint.lastActivityAt = pool.config.Now()
	// A reply that does not belong to a written command shows that the order of replies is lost: later ones could not be matched
	// with their commands either.
	if attempt == nil || event.writtenAttempt != attempt {
		c.netConn.Close()
		return
	}
	c.currentAttempt = nil
	attempt.end(event.result)
	switch {
	case attempt.aborted: // Abort has closed the connection
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
	endpoint.connectionCount--
	pool.connectionCount--
	endpoint.removeIdle(c)
	if event.hadUnsolicitedInput {
		pool.config.OnUnsolicitedInput(endpoint.ID)
	}
	if event.wasConnected {
		c.endCurrentAttempt()
	} else {
		endpoint.dialingCount--
		endpoint.failOldestWaiting()
	}
	pool.dial(endpoint)
	pool.dialAfterLimitReached()
	pool.deleteRemovedIfUnused(endpoint)
}

// endCurrentAttempt ends the attempt that the connection carried when it disconnected, if any. Only a completely written attempt
// may have been executed.
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

// failOldestWaiting ends the attempt that has waited longest, after a failed dial. It does nothing if the remaining dials and the
// connections awaiting reuse suffice for the waiting attempts, because the attempt of this dial has then been assigned to
// a released connection.
func (endpoint *Endpoint) failOldestWaiting() {
	if len(endpoint.waitingAttempts) > endpoint.dialingCount+endpoint.awaitingReuseCount {
		endpoint.popWaiting().endWith(policy.ConnectFailed)
	}
}
