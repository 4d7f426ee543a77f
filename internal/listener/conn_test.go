package listener

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"lemontack/internal/nettest"
)

// Any number of commands on an ended connection is dropped at once: a reader that waits for capacity would block a shutdown.
func TestEndedConnectionAcceptsNoCommand(t *testing.T) {
	s, _ := newServer(nil, 1, 1<<20)
	c := newConn(s, nil)
	c.state = stateEnded
	for range MaxPipelined + 1 {
		if c.addPendingResponse(nil) != nil {
			t.Fatal("got a pending response on an ended connection, want nil")
		}
	}
}

// A shutdown does not at once close a new connection, whose first command may still be in transit.
func TestShutdownLeavesNewConnectionOpen(t *testing.T) {
	for received, wantClosing := range map[bool]bool{false: false, true: true} {
		s, _ := newServer(nil, 1, 1<<20)
		c := newConn(s, nil)
		c.lastActivity, c.commandReceived = time.Now().Add(time.Hour), received
		if received {
			c.state = stateIdle
		}
		if c.closeForShutdown(); c.state.isOpen() == wantClosing {
			t.Errorf("command received %v: got state %v, want closing %v", received, c.state, wantClosing)
		}
	}
}

// interceptedConn is a connection that calls afterRead before a successful read returns.
type interceptedConn struct {
	*net.TCPConn
	afterRead func()
}

func (ic *interceptedConn) Read(b []byte) (int, error) {
	n, err := ic.TCPConn.Read(b)
	if n > 0 && ic.afterRead != nil {
		ic.afterRead()
	}
	return n, err
}

// A request that is read while the close of its connection is requested is answered before the connection ends.
func TestRequestReadWhileConnectionClosesIsAnswered(t *testing.T) {
	for _, reason := range []CloseReason{CloseIdle, CloseForSlot, CloseShutdown} {
		serverEnd, clientEnd := nettest.ConnPair(t)
		s, rec := newServer(nil, 1, 1<<20)
		socket := &interceptedConn{TCPConn: serverEnd}
		c := newConn(s, socket)
		socket.afterRead = func() {
			socket.afterRead = nil
			c.requestClose(reason)
			for proposed := false; !proposed; time.Sleep(time.Millisecond) { // until the writer proposes the end
				c.mu.Lock()
				proposed = c.state == stateConfirming || c.state == stateEnded
				c.mu.Unlock()
			}
		}
		done := serve(c)
		io.WriteString(clientEnd, nettest.Ask(1, nettest.ReadFields))
		select {
		case request := <-rec.received:
			request.Respond(valueReply)
		case <-rec.disconnected:
			t.Fatal("the client was reported as disconnected, want the request to be received")
		case <-done:
			t.Fatal("the connection ended, want the request to be received")
		}
		in := bufio.NewReader(clientEnd)
		nettest.WantValue(t, in)
		if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
			t.Fatalf("got %q, error %v after the answer, want a clean end", rest, err)
		}
		nettest.Await(t, "the connection's end", done)
	}
}

// If the unsent answers exceed their memory limit, the connection with the most of them is closed and other connections remain
// open.
func TestSlowReaderIsClosed(t *testing.T) {
	s, _ := newServer(nil, 2, 1000)
	var clientEnds [2]net.Conn
	var conns [2]*conn
	for i := range clientEnds {
		serverEnd, clientEnd := net.Pipe()
		clientEnds[i], conns[i] = clientEnd, newConn(s, serverEnd)
		s.conns[conns[i]] = true
	}
	conns[0].addPendingResponse(nil).respond(make([]byte, 900))
	conns[1].addPendingResponse(nil).respond(make([]byte, 200))
	clientEnds[1].SetWriteDeadline(time.Now()) // the server end is not read, so a write blocks
	if _, err := clientEnds[0].Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
		t.Fatalf("slow reader's connection: got error %v, want io.ErrClosedPipe", err)
	}
	if _, err := clientEnds[1].Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("other connection: got error %v, want os.ErrDeadlineExceeded", err)
	}
}

// The unsent bytes of a connection are subtracted from the total when it ends, including those of a disconnected client.
func TestUnsentBytesAreReleasedWithTheConnection(t *testing.T) {
	s, rec := newServer(nil, 1, 1<<20)
	serverEnd, clientEnd := net.Pipe()
	c := newConn(s, serverEnd)
	s.connSlots <- struct{}{}
	s.track(c)
	first, second := c.addPendingResponse(&Request{}), c.addPendingResponse(nil)
	second.respond([]byte("+PONG\r\n"))
	clientEnd.Close()
	c.serve()
	first.respond([]byte("-ERR failed\r\n"))
	if n := s.unsentBytes.Load(); n != 0 {
		t.Fatalf("got %d unsent bytes, want 0", n)
	}
	if unanswered := <-rec.disconnected; len(unanswered) != 1 {
		t.Fatalf("got %d unanswered requests, want 1", len(unanswered))
	}
}
