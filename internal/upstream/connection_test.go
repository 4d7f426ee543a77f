package upstream

import (
	"io"
	"testing"
)

// Assigning an attempt to a connection whose queue is full closes the connection and does not block the event loop.
func TestConnectionWithFullQueueIsClosedWithoutBlocking(t *testing.T) {
	pool, _ := newTestPool(t, nil, startEndpoint(t, nil).address)
	c, _ := newPipeConnection(t, pool.Endpoint("s0"))
	for range 2 {
		attempt, _ := newTestAttempt(pool, "s0")
		pool.assign(c, attempt)
	}
	if _, err := c.netConn.Write(nil); err == nil {
		t.Fatal("the connection is open, want it closed")
	}
}

// Only a command whose last byte was written may have been executed, and counts as written.
func TestOnlyCompleteCommandsCountAsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		readBytes int
		isWritten bool
	}{"partial": {3, false}, "complete": {9, true}} {
		t.Run(name, func(t *testing.T) {
			attempt := NewAttempt(&Endpoint{}, &testCommand{})
			conn, endpointEnd := newPipeConnection(t, attempt.endpoint)
			conn.assignments <- assignment{attempt, EncodedCommand{Frame: []byte("123456789")}}
			written := make(chan struct{})
			go func() {
				defer close(written)
				conn.write()
			}()
			io.ReadFull(endpointEnd, make([]byte, c.readBytes))
			if c.isWritten {
				close(conn.readerDone)
			} else {
				endpointEnd.Close()
			}
			<-written
			if got := conn.writtenAttempt.Load(); (got == attempt) != c.isWritten {
				t.Fatalf("written: %v, want %v", got == attempt, c.isWritten)
			}
		})
	}
}

// CancelUnsent ends an attempt that its connection has not begun to write, even if the connection has received the
// assignment. The connection then writes the next attempt.
func TestCancelledUnsentCommandIsNotWritten(t *testing.T) {
	for name, received := range map[string]bool{"assigned": false, "received": true} {
		t.Run(name, func(t *testing.T) {
			pool, _ := newTestPool(t, nil, startEndpoint(t, nil).address)
			endpoint := pool.Endpoint("s0")
			c, endpointEnd := newPipeConnection(t, endpoint)
			attempt, _ := newTestAttempt(pool, "s0")
			pool.assign(c, attempt)
			if received {
				next := <-c.assignments
				pool.CancelUnsent(attempt)
				c.assignments <- next
			} else {
				if pool.CancelUnsent(attempt); len(c.assignments) != 0 {
					t.Fatalf("%d assignments are queued, want none", len(c.assignments))
				}
			}
			if !attempt.ended || c.currentAttempt != nil || len(endpoint.idleConnections) != 1 {
				t.Fatalf("ended %v, current attempt %v, %d idle connections; want an ended attempt and an idle connection",
					attempt.ended, c.currentAttempt, len(endpoint.idleConnections))
			}
			written := make(chan struct{})
			go func() {
				defer close(written)
				c.write()
			}()
			next, _ := newTestAttempt(pool, "s0")
			c.assignments <- assignment{next, EncodedCommand{Frame: []byte("next")}}
			got := make([]byte, 4)
			if _, err := io.ReadFull(endpointEnd, got); err != nil || string(got) != "next" {
				t.Fatalf("written %q, error %v; want %q", got, err, "next")
			}
			close(c.readerDone)
			<-written
		})
	}
}

// A command that is abandoned before its first byte is not written, and its connection is closed.
func TestAbandonedCommandIsNotWritten(t *testing.T) {
	attempt := NewAttempt(&Endpoint{}, &testCommand{abandoned: true})
	conn, endpointEnd := newPipeConnection(t, attempt.endpoint)
	conn.assignments <- assignment{attempt, EncodedCommand{Frame: []byte("123456789")}}
	conn.write()
	if n, err := endpointEnd.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Fatalf("read %d bytes, error %v; want 0 and EOF", n, err)
	}
	if conn.writtenAttempt.Load() != nil {
		t.Fatal("the abandoned command counts as written")
	}
}
