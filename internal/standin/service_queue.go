package standin

import (
	"slices"
	"sync"
	"time"
)

// serviceQueue simulates a service of fixed capacity that serves calls one by one in order of arrival. No timer runs while
// the queue is empty, so it does not have to be stopped.
type serviceQueue struct {
	serviceTime time.Duration // time per call; zero means that calls are served at once
	maxWaiting  int           // maximum number of waiting calls; zero means no limit

	mu           sync.Mutex // guards the fields below
	waitingCalls []*queuedCall
	currentCall  *queuedCall // call in service; nil while busy means that the call was discarded
	busy         bool
	busyUntil    time.Time // end of the current service; the next one starts then, so that late timers cost no capacity
	stats        queueStats
}

// queueStats holds the statistics of a serviceQueue since its start.
type queueStats struct {
	maxWaiting int           // maximum number of calls that waited at the same time
	maxWait    time.Duration // maximum time from the arrival of a call to the end of its service
}

// queuedCall is one call in a serviceQueue.
type queuedCall struct {
	onServed  func() // called at the end of the service with the queue's lock held; must not block
	arrivedAt time.Time
}

// newServiceQueue returns a queue that serves callsPerSecond and holds at most maxWaiting waiting calls. Zero means no
// limit for either.
func newServiceQueue(callsPerSecond float64, maxWaiting int) *serviceQueue {
	q := &serviceQueue{maxWaiting: maxWaiting}
	if callsPerSecond > 0 {
		q.serviceTime = time.Duration(float64(time.Second) / callsPerSecond)
	}
	return q
}

// enqueue adds a call at the end of the queue. It returns false if the queue is full.
func (q *serviceQueue) enqueue(call *queuedCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	call.arrivedAt = time.Now()
	if q.serviceTime == 0 {
		call.onServed()
		return true
	}
	if !q.busy {
		q.startService(call, call.arrivedAt)
		return true
	}
	if q.maxWaiting > 0 && len(q.waitingCalls) >= q.maxWaiting {
		return false
	}
	q.waitingCalls = append(q.waitingCalls, call)
	q.stats.maxWaiting = max(q.stats.maxWaiting, len(q.waitingCalls))
	return true
}

// startService starts to serve a call that found the service idle. The caller holds the lock.
func (q *serviceQueue) startService(call *queuedCall, now time.Time) {
	if q.busyUntil.Before(now) {
		q.busyUntil = now
	}
	q.busyUntil = q.busyUntil.Add(q.serviceTime)
	q.currentCall, q.busy = call, true
	time.AfterFunc(q.busyUntil.Sub(now), q.finishService)
}

// finishService completes the current call and any further calls whose service should be over by now.
func (q *serviceQueue) finishService() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for !q.busyUntil.After(now) {
		if call := q.currentCall; call != nil {
			q.stats.maxWait = max(q.stats.maxWait, now.Sub(call.arrivedAt))
			call.onServed()
		}
		q.currentCall, q.busy = nil, len(q.waitingCalls) > 0
		if !q.busy {
			return
		}
		q.currentCall = q.waitingCalls[0]
		q.waitingCalls = q.waitingCalls[1:]
		q.busyUntil = q.busyUntil.Add(q.serviceTime)
	}
	time.AfterFunc(q.busyUntil.Sub(now), q.finishService)
}

// remove removes a waiting call. It returns false if the call is not waiting, for example because its service has started.
func (q *serviceQueue) remove(call *queuedCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waitingCalls, call)
	if i < 0 {
		return false
	}
	q.waitingCalls = slices.Delete(q.waitingCalls, i, i+1)
	return true
}

// clear discards all calls without serving them. The current call still uses its service time.
func (q *serviceQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waitingCalls, q.currentCall = nil, nil
}

// snapshotStats returns the statistics since the start.
func (q *serviceQueue) snapshotStats() queueStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stats
}
