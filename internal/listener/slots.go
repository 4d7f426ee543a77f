package listener

import "time"

const (
	// slotRetryInterval is how long the closing of a connection may take before another one is closed.
	slotRetryInterval = 5 * time.Millisecond
	// slotWaitLimit is the maximum time for which a new connection waits until others have given up their slots. An answer that
	// comes half a second after the client's timeout is lost, so the wait must not take that time.
	slotWaitLimit = 500 * time.Millisecond
)

// acquireConnSlot waits for the slot of a new connection. If all slots are taken it closes an idle connection: clients keep idle
// connections open indefinitely, and hundreds may never send a command. It logs a wait that exceeds slotWaitLimit.
func (s *Server) acquireConnSlot() {
	waitStart := time.Now()
	isLogged := false
	for {
		select {
		case s.connSlots <- struct{}{}:
			return
		default:
		}
		s.closeMostIdleConn(time.Now())
		select {
		case s.connSlots <- struct{}{}:
			return
		case <-time.After(slotRetryInterval):
		}
		if now := time.Now(); !isLogged && now.Sub(waitStart) > slotWaitLimit {
			s.logSlotHolders(now, now.Sub(waitStart))
			isLogged = true
		}
	}
}

// closeMostIdleConn closes the oldest connection that has sent no command within newConnGrace, or if there is none, the
// connection that has been idle for longest.
func (s *Server) closeMostIdleConn(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var mostIdle *conn
	var state connState
	var since time.Time
	for c := range s.conns {
		c.mu.Lock()
		idle := c.state == stateIdle || c.state == stateNew && now.Sub(c.lastActivity) > newConnGrace
		isPreferred := mostIdle == nil || state == stateIdle && c.state == stateNew || state == c.state && c.lastActivity.Before(since)
		if idle && isPreferred {
			mostIdle, state, since = c, c.state, c.lastActivity
		}
		c.mu.Unlock()
	}
	if mostIdle != nil {
		mostIdle.requestClose(CloseForSlot)
	}
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
