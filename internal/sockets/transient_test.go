package sockets

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// WriteAll returns at its deadline if every write fails for lack of memory.
func TestWriteAllEndsAtTheDeadline(t *testing.T) {
	pipeEnd, _ := net.Pipe()
	defer pipeEnd.Close()
	socket := &failingConn{pipeEnd}
	start := time.Now()
	if n, err := WriteAll(socket, []byte("x"), start.Add(20*time.Millisecond)); n != 0 || !IsTransient(err) {
		t.Fatalf("got %d bytes, error %v; want 0 bytes and a transient error", n, err)
	}
	if time.Since(start) < 20*time.Millisecond {
		t.Fatal("got an error before the deadline, want one at the deadline")
	}
}

// failingConn is a connection on which every write fails for lack of memory.
type failingConn struct{ net.Conn }

func (*failingConn) Write([]byte) (int, error) { return 0, syscall.ENOBUFS }
