package minheap

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
)

// entry is ordered by its key; serial distinguishes entries with the same key.
type entry struct{ key, serial int }

func byKey(a, b entry) bool { return a.key < b.key }

func TestPopReturnsTheLeastFirst(t *testing.T) {
	h := New(func(a, b int) bool { return a < b })
	for _, v := range []int{3, 1, 2, 1, 5, 4} {
		h.Push(v)
	}
	var got []int
	for h.Len() > 0 {
		if least := h.Min(); least != h.items[0] {
			t.Fatalf("got minimum %d, want %d", least, h.items[0])
		}
		got = append(got, h.Pop())
	}
	if want := []int{1, 1, 2, 3, 4, 5}; !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// referenceHeap is the same heap, implemented with container/heap.
type referenceHeap []entry

func (r referenceHeap) Len() int           { return len(r) }
func (r referenceHeap) Less(i, j int) bool { return byKey(r[i], r[j]) }
func (r referenceHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *referenceHeap) Push(x any)        { *r = append(*r, x.(entry)) }
func (r *referenceHeap) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

func TestOrderEqualsThatOfContainerHeap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	h, reference := New(byKey), &referenceHeap{}
	for step := range 20_000 {
		if h.Len() > 0 && rng.IntN(5) < 2 {
			if got, want := h.Pop(), heap.Pop(reference).(entry); got != want {
				t.Fatalf("step %d: got %v, want %v", step, got, want)
			}
			continue
		}
		added := entry{rng.IntN(10), step}
		h.Push(added)
		heap.Push(reference, added)
	}
	if !slices.Equal(h.items, *reference) {
		t.Fatal("got a final order that differs from that of container/heap, want the same")
	}
}

func TestPoppedValueIsNotKept(t *testing.T) {
	h := New(func(a, b *int) bool { return *a < *b })
	h.Push(new(int))
	h.Pop()
	if kept := h.items[:1][0]; kept != nil {
		t.Fatal("got a reference to the popped value, want nil")
	}
}

func TestTakeAllEmptiesTheHeap(t *testing.T) {
	h := New(byKey)
	for n := range 5 {
		h.Push(entry{-n, n})
	}
	if got := h.TakeAll(); len(got) != 5 || h.Len() != 0 {
		t.Fatalf("got %d values and a length of %d, want 5 and 0", len(got), h.Len())
	}
}
