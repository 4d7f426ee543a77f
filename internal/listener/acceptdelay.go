package listener

import (
	"time"

	"lemontack/internal/stall"
)

// minSlotWait is the shortest wait for a slot that counts as a delay; a free slot is acquired in less.
const minSlotWait = time.Millisecond

// acceptDelay records when no connection could be accepted. Connections that arrived in the meantime waited in the kernel's
// accept queue, and the timeouts of their first requests count from the start of the delay. It is used only by the goroutine
// that runs Serve.
type acceptDelay struct {
	start, end time.Time // bounds of the last delay
	isFailing  bool      // every accept call since start has failed
}

// recordFailure records a failed accept call.
func (delay *acceptDelay) recordFailure(acceptStart, now time.Time) {
	if !delay.isFailing {
		delay.start = acceptStart
	}
	delay.end, delay.isFailing = now, true
}

// recordSlotWait records that no slot was free between two times.
func (delay *acceptDelay) recordSlotWait(start, end time.Time) {
	if end.Sub(start) > minSlotWait && !delay.isFailing {
		delay.start, delay.end = start, end
	}
}

// recordAccept records a successful accept call. It returns the earliest time at which the connection may have arrived, and
// whether that is before now.
func (delay *acceptDelay) recordAccept(now time.Time) (earliest time.Time, mayHaveWaited bool) {
	delay.isFailing = false
	if delay.end.IsZero() || now.Sub(delay.end) >= stall.SettleTime {
		return now, false
	}
	return delay.start, true
}
