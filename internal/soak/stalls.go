package soak

import (
	"sync"
	"time"
)

const (
	stallTick  = 5 * time.Millisecond
	stallLeast = 10 * time.Millisecond // over the tick
)

// stalls notices when this process did not get to run: what it measured about then is off by as much.
type stalls struct {
	mu   sync.Mutex
	seen []stall
}

type stall struct {
	at  time.Time // its end
	gap time.Duration
}

func newStalls() *stalls { return &stalls{} }

// watch looks for stalls until stop is called.
func (s *stalls) watch() (stop func()) {
	done := make(chan struct{})
	go func() {
		for last := time.Now(); ; {
			select {
			case <-done:
				return
			case <-time.After(stallTick):
			}
			now := time.Now()
			if gap := now.Sub(last) - stallTick; gap > stallLeast {
				s.mu.Lock()
				s.seen = append(s.seen, stall{now, gap})
				s.mu.Unlock()
			}
			last = now
		}
	}()
	return func() { close(done) }
}

// between is the sum of the stalls in a span and shortly around it.
func (s *stalls) between(from, to time.Time) (sum time.Duration) {
	const around = 50 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.seen) - 1; i >= 0 && s.seen[i].at.After(from.Add(-around)); i-- {
		if s.seen[i].at.Add(-s.seen[i].gap).Before(to.Add(around)) {
			sum += s.seen[i].gap
		}
	}
	return sum
}
