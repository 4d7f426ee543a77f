// Package minheap provides a binary heap of typed values, for timers and for work that is ordered by its end time.
//
// It orders values exactly as container/heap does, including equal ones, so that a simulation with a fixed seed gives the same
// result with either. It takes one comparison function instead of the five methods of heap.Interface, and needs no type
// assertions.
package minheap

// Heap is a binary heap with the least value on top. It is not safe for concurrent use.
type Heap[T any] struct {
	less  func(a, b T) bool
	items []T
}

// New returns an empty heap. less reports whether a comes before b.
func New[T any](less func(a, b T) bool) *Heap[T] { return &Heap[T]{less: less} }

// Len returns the number of values in the heap.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least value without removing it. It panics if the heap is empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Push adds a value.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.siftUp(len(h.items) - 1)
}

// Pop removes the least value and returns it. It panics if the heap is empty.
func (h *Heap[T]) Pop() T {
	last := len(h.items) - 1
	h.swap(0, last)
	h.siftDown(0, last)
	item := h.items[last]
	var zero T
	h.items[last] = zero // lets the garbage collector free the removed value
	h.items = h.items[:last]
	return item
}

// TakeAll empties the heap and returns its values in no particular order.
func (h *Heap[T]) TakeAll() []T {
	items := h.items
	h.items = nil
	return items
}

func (h *Heap[T]) swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

// siftUp moves the value at i towards the top until its parent is not greater.
func (h *Heap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// siftDown moves the value at i away from the top until neither of its children, among the first n values, is less.
func (h *Heap[T]) siftDown(i, n int) {
	for {
		child := 2*i + 1
		if child >= n {
			return
		}
		if right := child + 1; right < n && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
