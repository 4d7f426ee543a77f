package ingress

import (
	"slices"
	"testing"
	"time"
)

func TestTimersAreCalledInOrderOfDueTime(t *testing.T) {
	q := newTimerQueue()
	var called []int
	for _, at := range []int{30, 10, 40, 20} {
		q.add(time.Duration(at), func() { called = append(called, at) })
	}
	if at := q.earliest(); at != 10 {
		t.Fatalf("earliest timer at %d, want 10", at)
	}
	for callback := q.popDue(30); callback != nil; callback = q.popDue(30) {
		callback()
	}
	if !slices.Equal(called, []int{10, 20, 30}) || q.earliest() != 40 {
		t.Fatalf("called %v, earliest timer at %d; want [10 20 30], 40", called, q.earliest())
	}
}
