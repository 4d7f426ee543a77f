package telemetry

import (
	"sync"
	"time"
)

// LogLimiter limits the number of log records in each period, so that a fault of every request cannot fill the log. It is safe
// for concurrent use.
type LogLimiter struct {
	limit  int
	period time.Duration

	mu          sync.Mutex // guards the fields below
	periodStart time.Time
	allowed     int // records that were allowed in this period
	suppressed  int // records that were suppressed in this period
}

// NewLogLimiter returns a LogLimiter that allows limit records in each period. A period starts with the first record after the
// end of the previous period.
func NewLogLimiter(limit int, period time.Duration) *LogLimiter {
	return &LogLimiter{limit: limit, period: period}
}

// Allow reports whether a record may be written now. For the first record of a period it also returns the number of records that
// were suppressed in the previous period.
func (l *LogLimiter) Allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.periodStart) >= l.period {
		suppressed = l.suppressed
		l.periodStart, l.allowed, l.suppressed = now, 0, 0
	}
	if l.allowed >= l.limit {
		l.suppressed++
		return false, 0
	}
	l.allowed++
	return true, suppressed
}
