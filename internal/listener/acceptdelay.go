package listener

import (
	"time"

	"lemontack/internal/stall"
)

// minSlotWait is the shortest wait for a slot that delays accepting: without one it takes less.
const minSlotWait = time.Millisecond

// acceptDelay notes when accepting could not go on. Connections that came meanwhile waited in the system's accept queue, and
// the time of a request on them counts from then. It belongs to the goroutine that accepts.
type acceptDelay struct {
	start, end time.Time // of the last delay
	isFailing  bool      // no connection has been accepted since from
}

// recordFailure notes a call of accept that failed.
func (delay *acceptDelay) recordFailure(acceptStart, now time.Time) {
	if !delay.isFailing {
		delay.start = acceptStart
	}
	delay.end, delay.isFailing = now, true
}

// recordSlotWait notes that nothing was accepted between two times for want of a slot.
func (delay *acceptDelay) recordSlotWait(start, end time.Time) {
	if end.Sub(start) > minSlotWait && !delay.isFailing {
		delay.start, delay.end = start, end
	}
}

// recordAccept returns since when a connection that is accepted now may have waited, and whether that is before now.
func (delay *acceptDelay) recordAccept(now time.Time) (earliest time.Time, mayHaveWaited bool) {
	delay.isFailing = false
	if delay.end.IsZero() || now.Sub(delay.end) >= stall.SettleTime {
		return now, false
	}
	return delay.start, true
}
