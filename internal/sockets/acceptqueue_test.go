package sockets

import (
	"net"
	"testing"

	"lemontack/internal/nettest"
)

// The length of the accept queue counts the connections that have not been accepted.
func TestAcceptQueueLengthCountsWaitingConnections(t *testing.T) {
	listener := nettest.Listen(t)
	for want := range 4 {
		nettest.Eventually(t, "the queue has its length", func() bool {
			length, ok := AcceptQueueLength(listener)
			if !ok {
				t.Fatal("the length of the accept queue is not known")
			}
			return length == want
		})
		nettest.Dial(t, listener.Addr().String())
	}
	for range 4 {
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted.Close()
	}
	if length, ok := AcceptQueueLength(listener); length != 0 || !ok {
		t.Fatalf("got length %d, known %v after all connections were accepted, want 0", length, ok)
	}
	if _, ok := AcceptQueueLength(struct{ net.Listener }{listener}); ok {
		t.Fatal("got a length for a listener without a socket, want none")
	}
}
