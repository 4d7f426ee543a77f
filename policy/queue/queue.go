// Package queue implements a priority queue of requests that wait for dispatch. The item with the highest
// priority comes first; items of equal priority keep the order in which they were pushed.
package queue

import (
	"slices"
	"sort"
)

// Queue is a priority queue. The zero value is an empty queue. It is not safe for concurrent use.
//
// The items are in one sorted slice, since a dispatcher that may not dispatch the first item yet examines
// the following ones, and since items are removed from any position when their requests end.
type Queue[Item comparable] struct {
	entries []entry[Item]
}

type entry[Item comparable] struct {
	item     Item
	priority float64
}

// Len returns the number of items.
func (q *Queue[Item]) Len() int { return len(q.entries) }

// At returns the item at a position: 0 is the next item to be dispatched, Len()-1 the last.
func (q *Queue[Item]) At(position int) Item { return q.entries[position].item }

// Push inserts an item after all items of the same or a higher priority.
func (q *Queue[Item]) Push(item Item, priority float64) {
	position := sort.Search(len(q.entries), func(i int) bool { return q.entries[i].priority < priority })
	q.entries = slices.Insert(q.entries, position, entry[Item]{item, priority})
}

// Remove removes an item, which must be in the queue.
func (q *Queue[Item]) Remove(item Item) {
	q.RemoveAt(slices.IndexFunc(q.entries, func(e entry[Item]) bool { return e.item == item }))
}

// RemoveAt removes the item at a position; the items after it move up by one.
func (q *Queue[Item]) RemoveAt(position int) {
	q.entries = slices.Delete(q.entries, position, position+1)
}
