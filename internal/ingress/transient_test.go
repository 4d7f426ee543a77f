package ingress

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lemontack/internal/sockets"
)

// scarce is a connection whose reads and writes fail in turn for want of memory, and whose writes fall short.
type scarce struct {
	*net.TCPConn
	reads, writes atomic.Int32
}

func (s *scarce) Read(b []byte) (int, error) {
	if s.reads.Add(1)%2 == 1 {
		return 0, &net.OpError{Op: "read", Err: syscall.ENOMEM}
	}
	return s.TCPConn.Read(b)
}

func (s *scarce) Write(b []byte) (int, error) {
	if s.writes.Add(1)%2 == 1 {
		n, _ := s.TCPConn.Write(b[:len(b)/2])
		return n, &net.OpError{Op: "write", Err: syscall.ENOBUFS}
	}
	return s.TCPConn.Write(b)
}

// A client's requests are read and answered whole over calls that the system has no memory for.
func TestAnswersOverTransientErrors(t *testing.T) {
	near, far := accepted(t)
	g := idleGateway(t, newBackend(t, nil).addr)
	f := newFront(nil, g, 1, 1<<20)
	done := serveClient(f, newClient(f, &scarce{TCPConn: near}))
	in := bufio.NewReader(far)
	for i := range 5 {
		io.WriteString(far, ask(i, readFields))
		(<-g.events).(arrived).r.slot.answer([]byte("$5\r\nvalue\r\n"))
		wantValue(t, in)
	}
	far.Close()
	await(t, "the connection's end", done)
}

func TestWriteWholeEndsInTime(t *testing.T) {
	near, _ := accepted(t)
	always := &failing{near}
	began := time.Now()
	if n, err := sockets.WriteAll(always, []byte("x"), began.Add(20*time.Millisecond)); n != 0 || !sockets.IsTransient(err) {
		t.Fatalf("%d bytes, %v", n, err)
	}
	if time.Since(began) < 20*time.Millisecond {
		t.Fatal("given up before its time")
	}
}

type failing struct{ *net.TCPConn }

func (*failing) Write([]byte) (int, error) { return 0, syscall.ENOBUFS }
