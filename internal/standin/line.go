package standin

import (
	"slices"
	"sync"
	"time"
)

// line is a service of fixed capacity: it serves one call after another, in the order they came.
type line struct {
	every time.Duration // what one call takes; 0: all are served as they come
	bound int           // calls that may wait; 0: any number

	mu      sync.Mutex
	waiting []*turn
	serving *turn // nil with busy: its call was dropped
	busy    bool
	free    time.Time // when the service is free again; kept so that late timers cost no capacity
	stats   lineStats
}

// lineStats is what a line saw.
type lineStats struct {
	most    int           // calls that waited at one moment
	longest time.Duration // from a call's arrival to the end of its turn
}

// turn is one call's place in a line.
type turn struct {
	serve func() // at the end of its turn; short, since the line stands still meanwhile
	came  time.Time
}

func newLine(perSecond float64, bound int) *line {
	l := &line{bound: bound}
	if perSecond > 0 {
		l.every = time.Duration(float64(time.Second) / perSecond)
	}
	return l
}

// join puts a call at the end of the line; it says no where too many wait.
func (l *line) join(t *turn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.came = time.Now()
	switch {
	case l.every == 0:
		t.serve()
		return true
	case !l.busy:
		l.begin(t, t.came)
		return true
	case l.bound > 0 && len(l.waiting) >= l.bound:
		return false
	}
	l.waiting = append(l.waiting, t)
	l.stats.most = max(l.stats.most, len(l.waiting))
	return true
}

// begin serves t, or a later one that finds the service overdue. The lock is held.
func (l *line) begin(t *turn, now time.Time) {
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.every)
	l.serving, l.busy = t, true
	time.AfterFunc(l.free.Sub(now), l.end)
}

// end ends the turn at hand, and all that should have ended by now.
func (l *line) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for now := time.Now(); ; l.free = l.free.Add(l.every) {
		if l.free.After(now) {
			time.AfterFunc(l.free.Sub(now), l.end)
			return
		}
		if t := l.serving; t != nil {
			l.stats.longest = max(l.stats.longest, now.Sub(t.came))
			t.serve()
		}
		if l.serving, l.busy = nil, len(l.waiting) > 0; !l.busy {
			return
		}
		l.serving = l.waiting[0]
		l.waiting = l.waiting[1:]
	}
}

// leave takes back a call whose turn has not begun.
func (l *line) leave(t *turn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, t)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// drop forgets all calls unserved.
func (l *line) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting, l.serving = nil, nil
}

// saw returns the figures so far.
func (l *line) saw() lineStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}
