package listener

import (
	"context"
	"time"
)

const (
	// idleTimeout is how long a connection that has sent a command may be without an open request.
	idleTimeout = 2100 * time.Millisecond
	// sweepInterval is the time between two sweeps for idle connections.
	sweepInterval = 250 * time.Millisecond
	// newConnGrace is the time in which a new connection is not closed for a shutdown or for its slot, because its first
	// command may be in transit. After it a connection without a request gives up its slot before others.
	newConnGrace = 50 * time.Millisecond
)

// SweepIdle closes, until ctx ends, the connections that have been without an open request for too long: each of them uses
// memory and a descriptor, and some clients stay connected after one request or without any.
func (s *Server) SweepIdle(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.closeIdleConns(now)
		}
	}
}

// closeIdleConns closes every connection that has been idle for too long.
func (s *Server) closeIdleConns(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.hasIdledTooLong(now) {
			c.requestClose(CloseIdle)
		}
	}
}

// hasIdledTooLong reports whether the connection has been without an open request for too long.
func (c *conn) hasIdledTooLong(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingResponses) > 0 {
		return false
	}
	idle := now.Sub(c.lastActivity)
	if c.commandReceived {
		return idle > idleTimeout
	}
	return idle > commandTimeout-sweepInterval
}

// closeSlowestReader closes the connection with the most unsent bytes of answers.
func (s *Server) closeSlowestReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var slowest *conn
	maxUnsent := 0
	for c := range s.conns {
		c.mu.Lock()
		if c.unsentBytes > maxUnsent {
			slowest, maxUnsent = c, c.unsentBytes
		}
		c.mu.Unlock()
	}
	if slowest != nil {
		slowest.abort(CloseSlowReader)
	}
}
