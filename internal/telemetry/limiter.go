package telemetry

import (
	"sync"
	"time"
)

// Limiter lets through a number of log records in each period, so that a fault that hits every request cannot fill the log. It
// is safe for concurrent use.
type Limiter struct {
	limit  int
	period time.Duration

	mu          sync.Mutex
	periodStart time.Time
	used        int
	suppressed  int
}

// NewLimiter lets most records through in each period.
func NewLimiter(most int, period time.Duration) *Limiter {
	return &Limiter{limit: most, period: period}
}

// Allow says whether a record may be written now. With the first one of a period it returns how many were suppressed before.
func (l *Limiter) Allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.periodStart) >= l.period {
		suppressed = l.suppressed
		l.periodStart, l.used, l.suppressed = now, 0, 0
	}
	if l.used >= l.limit {
		l.suppressed++
		return false, 0
	}
	l.used++
	return true, suppressed
}
