package ingress

import (
	"time"

	"lemontack/internal/minheap"
)

// timer is a function to call at a time.
type timer struct {
	at time.Duration
	do func()
}

func earlierTimer(a, b timer) bool { return a.at < b.at }

// timerQueue orders timers by their time.
type timerQueue struct{ heap *minheap.Heap[timer] }

func newTimerQueue() timerQueue { return timerQueue{minheap.New(earlierTimer)} }

// add adds a timer.
func (q timerQueue) add(at time.Duration, do func()) { q.heap.Push(timer{at, do}) }

// next returns the earliest time; there must be a timer.
func (q timerQueue) next() time.Duration { return q.heap.Min().at }

// popDue removes the earliest timer and returns its function, or nil where none is due.
func (q timerQueue) popDue(now time.Duration) func() {
	if q.heap.Len() == 0 || q.heap.Min().at > now {
		return nil
	}
	return q.heap.Pop().do
}
