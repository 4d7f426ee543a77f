package listener

import (
	"time"

	"lemontack/internal/stall"
)

// minAcceptDelay is the shortest wait for a slot that delays accepting: without one it takes less.
const minAcceptDelay = time.Millisecond

// acceptDelay notes when accepting could not go on. Connections that came meanwhile waited in the system's accept queue, and
// the time of a request on them counts from then. It belongs to the goroutine that accepts.
type acceptDelay struct {
	from, until time.Time // of the last delay
	failing     bool      // no connection has been accepted since from
}

// failed notes a call of accept that failed.
func (delay *acceptDelay) failed(called, now time.Time) {
	if !delay.failing {
		delay.from = called
	}
	delay.until, delay.failing = now, true
}

// waitedForSlot notes that nothing was accepted between two times for want of a slot.
func (delay *acceptDelay) waitedForSlot(from, until time.Time) {
	if until.Sub(from) > minAcceptDelay && !delay.failing {
		delay.from, delay.until = from, until
	}
}

// accepted returns since when a connection that is accepted now may have waited, and whether that is before now.
func (delay *acceptDelay) accepted(now time.Time) (since time.Time, waited bool) {
	delay.failing = false
	if delay.until.IsZero() || now.Sub(delay.until) >= stall.SettleTime {
		return now, false
	}
	return delay.from, true
}
