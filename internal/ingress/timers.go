package ingress

import (
	"container/heap"
	"time"
)

// timer is a function to call at a time.
type timer struct {
	at time.Duration
	do func()
}

// timerQueue orders timers by their time. Its zero value is empty.
type timerQueue struct{ heap timerHeap }

// add adds a timer.
func (q *timerQueue) add(at time.Duration, do func()) { heap.Push(&q.heap, timer{at, do}) }

// next returns the earliest time; there must be a timer.
func (q *timerQueue) next() time.Duration { return q.heap[0].at }

// popDue removes the earliest timer and returns its function, or nil where none is due.
func (q *timerQueue) popDue(now time.Duration) func() {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(timer).do
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is for container/heap.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // frees what the function refers to
	*h = old[:len(old)-1]
	return last
}
