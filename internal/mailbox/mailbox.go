// Package mailbox hands the latest of several values from one goroutine to another.
package mailbox

// Latest holds one value at most; a newer value takes the place of one that was not received. Receive from it as from a
// channel. It is safe for concurrent use.
type Latest[T any] chan T

// NewLatest returns an empty mailbox.
func NewLatest[T any]() Latest[T] { return make(Latest[T], 1) }

// Set puts a value in; it never blocks.
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
