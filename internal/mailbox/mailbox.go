// Package mailbox passes the latest of several values from one goroutine to another.
package mailbox

// Latest holds at most one value; a newer value replaces one that has not been received. Receive from it as from a
// channel. It is safe for concurrent use.
type Latest[T any] chan T

// NewLatest returns an empty mailbox.
func NewLatest[T any]() Latest[T] { return make(Latest[T], 1) }

// Set stores a value and never blocks.
func (mailbox Latest[T]) Set(value T) {
	for {
		select {
		case mailbox <- value:
			return
		default:
		}
		select {
		case <-mailbox:
		default:
		}
	}
}
