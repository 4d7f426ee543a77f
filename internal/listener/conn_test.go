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

// Commands on a connection that is closing are dropped, however many: a reader that waited for capacity there kept a shutdown
// from ending.
func TestClosingConnectionReadsNoCommand(t *testing.T) {
	s, _ := newServer(nil, 1, 1<<20)
	c := newConn(s, nil)
	c.state = stateEnded
	for range MaxPipelined + 1 {
		if c.addPendingResponse(nil) != nil {
			t.Fatal("a command was read")
		}
	}
}

// A shutdown does not close a connection that is so new that its first command may still be in transit.
func TestNewConnectionIsServedDuringAShutdown(t *testing.T) {
	for received, closing := range map[bool]bool{false: false, true: true} {
		s, _ := newServer(nil, 1, 1<<20)
		c := newConn(s, nil)
		c.lastActivity, c.commandReceived = time.Now().Add(time.Hour), received
		if received {
			c.state = stateIdle
		}
		if c.closeForShutdown(); c.state.isOpen() == closing {
			t.Errorf("a command received %v: state %v", received, c.state)
		}
	}
}

// interceptedConn is a connection that calls meanwhile between a read from the socket and the reader's next step.
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

// A request that was read as its connection began to close is answered before it is closed.
func TestRequestReadAsItsConnectionClosesIsAnswered(t *testing.T) {
	for _, reason := range []CloseReason{CloseIdle, CloseForSlot, CloseShutdown} {
		near, far := nettest.ConnPair(t)
		s, rec := newServer(nil, 1, 1<<20)
		socket := &interceptedConn{TCPConn: near}
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
		io.WriteString(far, nettest.Ask(1, nettest.ReadFields))
		select {
		case request := <-rec.received:
			request.Respond(valueReply)
		case <-rec.disconnected:
			t.Fatal("the request counts as one of a disconnected client")
		case <-done:
			t.Fatal("the connection ended with a request that had been read")
		}
		in := bufio.NewReader(far)
		nettest.WantValue(t, in)
		if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
			t.Fatalf("%q, %v after the answer", rest, err)
		}
		nettest.Await(t, "the connection's end", done)
	}
}

// The connection of a client that does not read its answers is closed before they fill the memory; one that is read remains
// open.
func TestSlowReaderIsClosed(t *testing.T) {
	s, _ := newServer(nil, 2, 1000)
	var ends [2]net.Conn
	var conns [2]*conn
	for i := range ends {
		near, far := net.Pipe()
		ends[i], conns[i] = far, newConn(s, near)
		s.conns[conns[i]] = true
	}
	conns[0].addPendingResponse(nil).respond(make([]byte, 900))
	conns[1].addPendingResponse(nil).respond(make([]byte, 200))
	ends[1].SetWriteDeadline(time.Now()) // nobody reads it: a write waits for ever
	if _, err := ends[0].Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
		t.Fatalf("the slow reader's connection is open: %v", err)
	}
	if _, err := ends[1].Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the other connection was closed: %v", err)
	}
}

// Unsent bytes are released with their connection, also after the client has disconnected: the count once only rose.
func TestUnsentBytesAreReleasedWithTheConnection(t *testing.T) {
	s, rec := newServer(nil, 1, 1<<20)
	near, far := net.Pipe()
	c := newConn(s, near)
	s.connSlots <- struct{}{}
	s.track(c)
	first, second := c.addPendingResponse(&Request{}), c.addPendingResponse(nil)
	second.respond([]byte("+PONG\r\n"))
	far.Close()
	c.serve()
	first.respond([]byte("-ERR failed\r\n"))
	if n := s.unsentBytes.Load(); n != 0 {
		t.Fatalf("%d unsent bytes remain", n)
	}
	if unanswered := <-rec.disconnected; len(unanswered) != 1 {
		t.Fatalf("%d requests abandoned", len(unanswered))
	}
}
