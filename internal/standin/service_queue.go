package standin

import (
	"slices"
	"sync"
	"time"
)

// serviceQueue is a service of fixed capacity: it serves one call after another, in the order they came. Its timers end
// by themselves once the queue is empty.
type serviceQueue struct {
	serviceTime time.Duration // what one call takes; 0: all are served as they come
	maxWaiting  int           // calls that may wait; 0: any number

	mu      sync.Mutex // guards what follows
	waiting []*queuedCall
	serving *queuedCall // nil while busy: the call was dropped
	busy    bool
	freeAt  time.Time // end of the service of the current call; kept so that late timers cost no capacity
	stats   queueStats
}

// queueStats is what a serviceQueue has seen so far.
type queueStats struct {
	maxWaiting int           // calls that waited at one moment
	maxWait    time.Duration // from a call's arrival to the end of its service
}

// queuedCall is one call's place in a serviceQueue.
type queuedCall struct {
	serve     func() // called at the end of its service, under the queue's lock: it has to be short
	arrivedAt time.Time
}

// newServiceQueue returns a queue that serves callsPerSecond (0: any number) while maxWaiting calls wait at most (0: any
// number).
func newServiceQueue(callsPerSecond float64, maxWaiting int) *serviceQueue {
	q := &serviceQueue{maxWaiting: maxWaiting}
	if callsPerSecond > 0 {
		q.serviceTime = time.Duration(float64(time.Second) / callsPerSecond)
	}
	return q
}

// enqueue puts a call at the end of the queue; it returns false where too many wait.
func (q *serviceQueue) enqueue(call *queuedCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	call.arrivedAt = time.Now()
	if q.serviceTime == 0 {
		call.serve()
		return true
	}
	if !q.busy {
		q.startService(call, call.arrivedAt)
		return true
	}
	if q.maxWaiting > 0 && len(q.waiting) >= q.maxWaiting {
		return false
	}
	q.waiting = append(q.waiting, call)
	q.stats.maxWaiting = max(q.stats.maxWaiting, len(q.waiting))
	return true
}

// startService begins with a call that found the service idle. The lock is held.
func (q *serviceQueue) startService(call *queuedCall, now time.Time) {
	if q.freeAt.Before(now) {
		q.freeAt = now
	}
	q.freeAt = q.freeAt.Add(q.serviceTime)
	q.serving, q.busy = call, true
	time.AfterFunc(q.freeAt.Sub(now), q.finishService)
}

// finishService ends the service of the current call, and of all that should have ended by now.
func (q *serviceQueue) finishService() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for !q.freeAt.After(now) {
		if call := q.serving; call != nil {
			q.stats.maxWait = max(q.stats.maxWait, now.Sub(call.arrivedAt))
			call.serve()
		}
		q.serving, q.busy = nil, len(q.waiting) > 0
		if !q.busy {
			return
		}
		q.serving = q.waiting[0]
		q.waiting = q.waiting[1:]
		q.freeAt = q.freeAt.Add(q.serviceTime)
	}
	time.AfterFunc(q.freeAt.Sub(now), q.finishService)
}

// remove takes back a call whose service has not begun; it returns false where it has, or the call is unknown.
func (q *serviceQueue) remove(call *queuedCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, call)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// clear drops all calls unserved. The one in service still takes its time.
func (q *serviceQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting, q.serving = nil, nil
}

// snapshotStats returns the figures so far.
func (q *serviceQueue) snapshotStats() queueStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stats
}
