package listener

import "time"

const (
	// slotWaitLimit is the maximum time for which a new connection waits until others have given up their slots. An answer that
	// comes half a second after the client's timeout is lost, so the wait must not take that time.
	slotWaitLimit = 500 * time.Millisecond
	// slotCloseInterval is the mean time, at least, between two connections that are closed for their slots. Clients that connect
	// again at once would otherwise use up the CPU time; slotWaitLimit still suffices for hundreds of them.
	slotCloseInterval = time.Millisecond
	// maxSlotCloseLag is how far the closing of connections may lag behind slotCloseInterval, because timers and the ends of
	// connections take their time, and still catch up.
	maxSlotCloseLag = 5 * time.Millisecond
	// slotRetryInterval is how long the closing of an idle connection of a client without faults may take before another one is
	// closed. It is also the time after which the search for a connection to close is repeated if there was none.
	slotRetryInterval = 5 * time.Millisecond
)

// slotRank orders the connections by what their clients have done: the one with the lowest rank is closed first if a new
// connection needs a slot, and among those of one rank the one whose last activity is the oldest.
type slotRank int

const (
	rankFaulty     slotRank = iota // the client has sent faulty input and has no open request
	rankUnused                     // the client has sent no request, and no command within newConnGrace
	rankIdle                       // the client has sent no faulty input, and all its commands are answered
	rankFaultyBusy                 // the client has sent faulty input; the connection ends once its requests are answered
	rankProtected                  // the connection is not closed for its slot, or is about to end
)

// slotRank returns the rank of the connection; c.mu is held.
func (c *conn) slotRank(now time.Time) slotRank {
	isFaulty := c.faults.Load() > 0
	switch {
	case c.state == stateActive && isFaulty:
		return rankFaultyBusy
	case c.state != stateNew && c.state != stateIdle:
		return rankProtected
	case isFaulty:
		return rankFaulty
	case !c.requestRead.Load() && now.Sub(c.lastActivity) > newConnGrace:
		return rankUnused
	case c.state == stateIdle:
		return rankIdle
	}
	return rankProtected
}

// acquireConnSlot waits for the slot of a new connection. While all slots are taken it closes other connections, one after the
// other, until one of them has released its slot: clients keep idle connections open indefinitely, hundreds may
// never send a command, and clients with faulty input may connect again as soon as they are turned away.
func (s *Server) acquireConnSlot() {
	waitStart := time.Now()
	isLogged := false
	for {
		select {
		case s.connSlots <- struct{}{}:
			return
		default:
		}
		now := time.Now()
		s.markAcceptQueue(now)
		retryAfter := s.closeConnForSlot(now)
		select {
		case s.connSlots <- struct{}{}:
			return
		case <-time.After(retryAfter):
		}
		if now = time.Now(); !isLogged && now.Sub(waitStart) > slotWaitLimit {
			s.logSlotHolders(now, now.Sub(waitStart))
			isLogged = true
		}
	}
}

// markAcceptQueue records how many connections wait in the accept queue, from time to time.
func (s *Server) markAcceptQueue(now time.Time) {
	if !s.acceptDelay.needsQueueMark(now) {
		return
	}
	if length, ok := s.acceptQueueLength(s.listener); ok {
		s.acceptDelay.recordQueue(now, length)
	}
}

// closeConnForSlot requests the close of the connection with the lowest rank, unless it is too soon after the last one. It
// returns how long to wait for a slot before the next call.
func (s *Server) closeConnForSlot(now time.Time) (retryAfter time.Duration) {
	if early := s.nextSlotClose.Sub(now); early > 0 {
		return early
	}
	c, rank := s.lowestRankedConn(now)
	if c == nil {
		return slotRetryInterval
	}
	if lagLimit := now.Add(-maxSlotCloseLag); s.nextSlotClose.Before(lagLimit) {
		s.nextSlotClose = lagLimit
	}
	s.nextSlotClose = s.nextSlotClose.Add(slotCloseInterval)
	c.requestClose(CloseForSlot)
	if rank < rankIdle {
		return slotCloseInterval
	}
	return slotRetryInterval
}

// lowestRankedConn returns the connection that gives up its slot first and its rank, or nil if none may be closed.
func (s *Server) lowestRankedConn(now time.Time) (lowest *conn, lowestRank slotRank) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowestRank = rankProtected
	var since time.Time
	for c := range s.conns {
		c.mu.Lock()
		rank, lastActivity := c.slotRank(now), c.lastActivity
		c.mu.Unlock()
		if rank < lowestRank || rank != rankProtected && rank == lowestRank && lastActivity.Before(since) {
			lowest, lowestRank, since = c, rank, lastActivity
		}
	}
	return lowest, lowestRank
}

// logSlotHolders logs by their states how many connections hold the slots that a new connection has waited for.
func (s *Server) logSlotHolders(now time.Time, waited time.Duration) {
	ok, suppressed := s.cfg.LogLimiter.Allow(now)
	if !ok {
		return
	}
	attributes := []any{"waited", waited, "suppressed", suppressed}
	counts, pausing := s.countConnStates()
	for state, count := range counts {
		attributes = append(attributes, connState(state).String(), count)
	}
	s.cfg.Log.Warn("no slot for a new connection", append(attributes, "pausing", pausing)...)
}

// countConnStates counts the connections by their states, and those whose readers pause after a fault.
func (s *Server) countConnStates() (counts [connStateCount]int, pausing int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		counts[c.state]++
		c.mu.Unlock()
		if c.pausing.Load() {
			pausing++
		}
	}
	return counts, pausing
}
