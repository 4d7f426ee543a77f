package soak

import (
	"context"
	"sync"
	"time"
)

const (
	stallCheckInterval = 5 * time.Millisecond
	minStall           = 10 * time.Millisecond // minimum length of a recorded stall; the other tolerances cover shorter ones
	stallMargin        = 50 * time.Millisecond // time before and after a measurement in which a stall may affect it
)

// timeSpan is the time between two points in time.
type timeSpan struct{ from, to time.Time }

// stallDetector records when the machine did not schedule this process and when the fault injector froze an ingress, since
// measurements at that time are wrong by up to the length of the pause. It is safe for concurrent use.
type stallDetector struct {
	mu      sync.Mutex // guards the fields below
	stalls  []timeSpan
	freezes map[int][]timeSpan // key: index of the ingress
}

func newStallDetector() *stallDetector { return &stallDetector{freezes: map[int][]timeSpan{}} }

// run records stalls of this process until ctx ends.
func (sd *stallDetector) run(ctx context.Context) {
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		if stall := now.Sub(last) - stallCheckInterval; stall > minStall {
			sd.mu.Lock()
			sd.stalls = append(sd.stalls, timeSpan{now.Add(-stall), now})
			sd.mu.Unlock()
		}
		last = now
	}
}

// recordFreeze records that an ingress was paused for longer than maxStall.
func (sd *stallDetector) recordFreeze(ingress int, span timeSpan) {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	sd.freezes[ingress] = append(sd.freezes[ingress], span)
}

// pausedTime returns the total length of the stalls of this process and the freezes of an ingress that overlap a measurement.
func (sd *stallDetector) pausedTime(ingress int, from, to time.Time) (sum time.Duration) {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	for i := len(sd.stalls) - 1; i >= 0 && sd.stalls[i].to.After(from.Add(-stallMargin)); i-- {
		if s := sd.stalls[i]; s.from.Before(to.Add(stallMargin)) {
			sum += s.to.Sub(s.from)
		}
	}
	for _, f := range sd.freezes[ingress] {
		if f.from.Before(to) && f.to.After(from) {
			sum += f.to.Sub(f.from)
		}
	}
	return sum
}
