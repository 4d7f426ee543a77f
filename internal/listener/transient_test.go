package listener

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"lemontack/internal/nettest"
)

// lowMemoryConn is a connection on which every second read and write fails for lack of memory, the writes after half their
// bytes.
type lowMemoryConn struct {
	*net.TCPConn
	reads, writes atomic.Int32
}

func (m *lowMemoryConn) Read(b []byte) (int, error) {
	if m.reads.Add(1)%2 == 1 {
		return 0, &net.OpError{Op: "read", Err: syscall.ENOMEM}
	}
	return m.TCPConn.Read(b)
}

func (m *lowMemoryConn) Write(b []byte) (int, error) {
	if m.writes.Add(1)%2 == 1 {
		n, _ := m.TCPConn.Write(b[:len(b)/2])
		return n, &net.OpError{Op: "write", Err: syscall.ENOBUFS}
	}
	return m.TCPConn.Write(b)
}

// Requests are read and answered completely even if system calls fail for lack of memory.
func TestAnswersContinueAfterTransientErrors(t *testing.T) {
	serverEnd, clientEnd := nettest.ConnPair(t)
	s, rec := newServer(nil, 1, 1<<20)
	done := serve(newConn(s, &lowMemoryConn{TCPConn: serverEnd}))
	in := bufio.NewReader(clientEnd)
	for i := range 5 {
		io.WriteString(clientEnd, nettest.Ask(i, nettest.ReadFields))
		(<-rec.received).Respond(valueReply)
		nettest.WantValue(t, in)
	}
	clientEnd.Close()
	nettest.Await(t, "the connection's end", done)
}
