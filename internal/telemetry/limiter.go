package telemetry

import (
	"sync"
	"time"
)

// LogLimiter limits the number of log records in each period, so that a fault that hits every request cannot fill the log.
// It is safe for concurrent use.
type LogLimiter struct {
	limit  int
	period time.Duration

	mu          sync.Mutex // guards what follows
	periodStart time.Time
	allowed     int // records in this period
	suppressed  int // records in this period
}

// NewLogLimiter returns a LogLimiter that allows limit records in each period. A period starts with the first record after the
// end of the last one.
func NewLogLimiter(limit int, period time.Duration) *LogLimiter {
	return &LogLimiter{limit: limit, period: period}
}

// Allow reports whether a record may be written now. With the first one of a period it returns how many were suppressed
// in the period before.
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
