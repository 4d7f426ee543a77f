package minheap

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
)

// entry has a key that is ordered by, and a number that tells entries of one key apart.
type entry struct{ key, number int }

func byKey(a, b entry) bool { return a.key < b.key }

func TestPopReturnsTheLeastFirst(t *testing.T) {
	h := New(func(a, b int) bool { return a < b })
	for _, v := range []int{3, 1, 2, 1, 5, 4} {
		h.Push(v)
	}
	var got []int
	for h.Len() > 0 {
		if least := h.Min(); least != h.items[0] {
			t.Fatalf("least %d, on top %d", least, h.items[0])
		}
		got = append(got, h.Pop())
	}
	if want := []int{1, 1, 2, 3, 4, 5}; !slices.Equal(got, want) {
		t.Fatalf("%v, want %v", got, want)
	}
}

// reference is the same heap by container/heap.
type reference []entry

func (r reference) Len() int           { return len(r) }
func (r reference) Less(i, j int) bool { return byKey(r[i], r[j]) }
func (r reference) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *reference) Push(x any)        { *r = append(*r, x.(entry)) }
func (r *reference) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

func TestOrderIsThatOfContainerHeapForEqualKeysToo(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	h, want := New(byKey), &reference{}
	for n := range 20_000 {
		if h.Len() > 0 && rng.IntN(5) < 2 {
			if got, wanted := h.Pop(), heap.Pop(want).(entry); got != wanted {
				t.Fatalf("step %d: %v, want %v", n, got, wanted)
			}
			continue
		}
		e := entry{rng.IntN(10), n}
		h.Push(e)
		heap.Push(want, e)
	}
	if !slices.Equal(h.items, *want) {
		t.Fatal("another order in the end")
	}
}

func TestPoppedValueIsNotKept(t *testing.T) {
	h := New(func(a, b *int) bool { return *a < *b })
	h.Push(new(int))
	h.Pop()
	if kept := h.items[:1][0]; kept != nil {
		t.Fatal("the heap still holds the value")
	}
}

func TestTakeAllEmptiesTheHeap(t *testing.T) {
	h := New(byKey)
	for n := range 5 {
		h.Push(entry{-n, n})
	}
	if got := h.TakeAll(); len(got) != 5 || h.Len() != 0 {
		t.Fatalf("%d taken, %d left", len(got), h.Len())
	}
}
