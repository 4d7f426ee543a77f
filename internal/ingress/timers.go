package ingress

import (
	"time"

	"lemontack/internal/minheap"
)

// timer is a callback with the time at which it is due.
type timer struct {
	dueAt    time.Duration
	callback func()
}

func isDueBefore(a, b timer) bool { return a.dueAt < b.dueAt }

// timerQueue is a priority queue of timers, ordered by due time.
type timerQueue struct{ heap *minheap.Heap[timer] }

func newTimerQueue() timerQueue { return timerQueue{minheap.New(isDueBefore)} }

func (q timerQueue) add(dueAt time.Duration, callback func()) { q.heap.Push(timer{dueAt, callback}) }

// earliest returns the earliest due time. The queue must not be empty.
func (q timerQueue) earliest() time.Duration { return q.heap.Min().dueAt }

// popDue removes the earliest timer that is due and returns its callback, or nil if no timer is due.
func (q timerQueue) popDue(now time.Duration) func() {
	if q.heap.Len() == 0 || q.heap.Min().dueAt > now {
		return nil
	}
	return q.heap.Pop().callback
}
