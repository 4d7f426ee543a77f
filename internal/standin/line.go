package standin

import (
	"slices"
	"sync"
	"time"
)

// serviceQueue is a service of fixed capacity: it serves one call after another, in the order they came.
type serviceQueue struct {
	serviceTime time.Duration // what one call takes; 0: all are served as they come
	maxWaiting  int           // calls that may wait; 0: any number

	mu      sync.Mutex
	waiting []*queuedCall
	serving *queuedCall // nil with busy: its call was dropped
	busy    bool
	freeAt  time.Time // when the service is free again; kept so that late timers cost no capacity
	stats   queueStats
}

// queueStats is what a line saw.
type queueStats struct {
	maxWaiting int           // calls that waited at one moment
	maxWait    time.Duration // from a call's arrival to the end of its turn
}

// queuedCall is one call's place in a line.
type queuedCall struct {
	serve     func() // at the end of its turn; short, since the line stands still meanwhile
	arrivedAt time.Time
}

func newServiceQueue(perSecond float64, bound int) *serviceQueue {
	l := &serviceQueue{maxWaiting: bound}
	if perSecond > 0 {
		l.serviceTime = time.Duration(float64(time.Second) / perSecond)
	}
	return l
}

// enqueue puts a call at the end of the line; it says no where too many wait.
func (l *serviceQueue) enqueue(t *queuedCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.arrivedAt = time.Now()
	switch {
	case l.serviceTime == 0:
		t.serve()
		return true
	case !l.busy:
		l.startService(t, t.arrivedAt)
		return true
	case l.maxWaiting > 0 && len(l.waiting) >= l.maxWaiting:
		return false
	}
	l.waiting = append(l.waiting, t)
	l.stats.maxWaiting = max(l.stats.maxWaiting, len(l.waiting))
	return true
}

// startService serves t, or a later one that finds the service overdue. The lock is held.
func (l *serviceQueue) startService(t *queuedCall, now time.Time) {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(l.serviceTime)
	l.serving, l.busy = t, true
	time.AfterFunc(l.freeAt.Sub(now), l.finishService)
}

// finishService ends the turn at hand, and all that should have ended by now.
func (l *serviceQueue) finishService() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for now := time.Now(); ; l.freeAt = l.freeAt.Add(l.serviceTime) {
		if l.freeAt.After(now) {
			time.AfterFunc(l.freeAt.Sub(now), l.finishService)
			return
		}
		if t := l.serving; t != nil {
			l.stats.maxWait = max(l.stats.maxWait, now.Sub(t.arrivedAt))
			t.serve()
		}
		if l.serving, l.busy = nil, len(l.waiting) > 0; !l.busy {
			return
		}
		l.serving = l.waiting[0]
		l.waiting = l.waiting[1:]
	}
}

// remove takes back a call whose turn has not begun.
func (l *serviceQueue) remove(t *queuedCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, t)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// clear forgets all calls unserved.
func (l *serviceQueue) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting, l.serving = nil, nil
}

// snapshotStats returns the figures so far.
func (l *serviceQueue) snapshotStats() queueStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}
