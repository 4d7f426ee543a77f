package ingress

import (
	"time"

	"lemontack/internal/minheap"
)

// timer is a function to call at a time.
type timer struct {
	dueAt    time.Duration
	callback func()
}

func isDueBefore(a, b timer) bool { return a.dueAt < b.dueAt }

// timerQueue orders timers by their time.
type timerQueue struct{ heap *minheap.Heap[timer] }

func newTimerQueue() timerQueue { return timerQueue{minheap.New(isDueBefore)} }

// add adds a timer.
func (q timerQueue) add(dueAt time.Duration, callback func()) { q.heap.Push(timer{dueAt, callback}) }

// earliest returns the earliest time; there must be a timer.
func (q timerQueue) earliest() time.Duration { return q.heap.Min().dueAt }

// popDue removes the earliest timer and returns its function, or nil where none is due.
func (q timerQueue) popDue(now time.Duration) func() {
	if q.heap.Len() == 0 || q.heap.Min().dueAt > now {
		return nil
	}
	return q.heap.Pop().callback
}
