package sockets

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// A write that the system never has memory for ends at its deadline.
func TestWriteAllEndsAtTheDeadline(t *testing.T) {
	near, _ := net.Pipe()
	defer near.Close()
	always := &failingConn{near}
	began := time.Now()
	if n, err := WriteAll(always, []byte("x"), began.Add(20*time.Millisecond)); n != 0 || !IsTransient(err) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	if time.Since(began) < 20*time.Millisecond {
		t.Fatal("given up before its time")
	}
}

type failingConn struct{ net.Conn }

func (*failingConn) Write([]byte) (int, error) { return 0, syscall.ENOBUFS }
