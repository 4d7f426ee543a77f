package ingress

import (
	"time"

	"lemontack/internal/stall"
)

const (
	acceptPause = 5 * time.Millisecond // after an error that the next try may meet too
	acceptStall = time.Millisecond     // accepting in turn takes less
)

// backlog notes when accepting could not go on: connections that came meanwhile waited in the system's queue, and the time of
// a request on them counts from then. It belongs to the goroutine that accepts.
type backlog struct {
	from, until time.Time // of the last stall
	failing     bool      // no connection has been accepted since from
}

// failed notes a call for a connection that failed.
func (b *backlog) failed(asked, now time.Time) {
	if !b.failing {
		b.from = asked
	}
	b.until, b.failing = now, true
}

// waited notes that nothing was accepted between two times for want of a place.
func (b *backlog) waited(from, until time.Time) {
	if until.Sub(from) > acceptStall && !b.failing {
		b.from, b.until = from, until
	}
}

// accepted says since when a connection that is accepted now may have waited.
func (b *backlog) accepted(now time.Time) (since time.Time, waited bool) {
	b.failing = false
	if b.until.IsZero() || now.Sub(b.until) >= stall.SettleTime {
		return now, false
	}
	return b.from, true
}
