package soak

import (
	"context"
	"sync"
	"time"
)

const (
	stallCheckInterval = 5 * time.Millisecond
	minStall           = 10 * time.Millisecond // over the interval; shorter ones are within the other tolerances
	stallMargin        = 50 * time.Millisecond // around a measurement within which a stall may have affected it
)

// timeSpan is a span of time.
type timeSpan struct{ from, to time.Time }

// stallDetector records when this process did not get to run, and when an ingress was frozen on purpose: what was measured
// then is off by as much. It is safe for concurrent use.
type stallDetector struct {
	mu      sync.Mutex // guards the fields below
	stalls  []timeSpan
	freezes map[int][]timeSpan // by ingress
}

func newStallDetector() *stallDetector { return &stallDetector{freezes: map[int][]timeSpan{}} }

// run looks for stalls of this process until ctx ends.
func (d *stallDetector) run(ctx context.Context) {
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		if stall := now.Sub(last) - stallCheckInterval; stall > minStall {
			d.mu.Lock()
			d.stalls = append(d.stalls, timeSpan{now.Add(-stall), now})
			d.mu.Unlock()
		}
		last = now
	}
}

// recordFreeze records that an ingress was stopped for longer than maxStall.
func (d *stallDetector) recordFreeze(ingress int, span timeSpan) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freezes[ingress] = append(d.freezes[ingress], span)
}

// pausedTime returns how much a measurement of an ingress may be off because this process stalled or the ingress was frozen.
func (d *stallDetector) pausedTime(ingress int, from, to time.Time) (sum time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := len(d.stalls) - 1; i >= 0 && d.stalls[i].to.After(from.Add(-stallMargin)); i-- {
		if s := d.stalls[i]; s.from.Before(to.Add(stallMargin)) {
			sum += s.to.Sub(s.from)
		}
	}
	for _, f := range d.freezes[ingress] {
		if f.from.Before(to) && f.to.After(from) {
			sum += f.to.Sub(f.from)
		}
	}
	return sum
}
