package listener

import (
	"io"
	"math"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lemontack/internal/nettest"
	"lemontack/internal/resp"
)

// maxDetectionTime is the maximum time to detect a client's disconnect, on a simulated clock.
const maxDetectionTime = 100 * time.Millisecond

// gatedConn is a connection on which each read and write waits for a value in its channel. A nil channel does not block.
type gatedConn struct {
	*net.TCPConn
	reads, writes chan struct{}
}

func (g *gatedConn) Read(b []byte) (int, error) {
	if g.reads != nil {
		<-g.reads
	}
	return g.TCPConn.Read(b)
}

func (g *gatedConn) Write(b []byte) (int, error) {
	if g.writes != nil {
		<-g.writes
	}
	return g.TCPConn.Write(b)
}

// awaitPeerClose returns once the peer's FIN has arrived, even if input before it has not been read.
func awaitPeerClose(t *testing.T, socket *net.TCPConn) {
	t.Helper()
	const closeWait = 8 // the state CLOSE_WAIT, in the first byte of TCP_INFO
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(nettest.SignalTimeout); ; time.Sleep(time.Millisecond) {
		state := 0
		raw.Control(func(fd uintptr) { state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) })
		switch {
		case err != nil:
			t.Fatal(err)
		case state&0xff == closeWait:
			return
		case time.Now().After(deadline):
			t.Fatal("no FIN arrived within the time limit")
		}
	}
}

// Commands that are read only after the client has disconnected are dropped: on a connection from the accept queue, and after
// the pause for an invalid command.
func TestRequestsOfDisconnectedClientAreDropped(t *testing.T) {
	var manyCommands strings.Builder
	for i := range 30 {
		manyCommands.WriteString(nettest.Ask(10+i, nettest.ReadFields))
	}
	longCommand := nettest.Command(commandDo, "00000000b4d65521", "9b1f03aa5c7e2d41", nettest.WriteFields,
		strings.Repeat("x", resp.MaxValueLength))
	for name, test := range map[string]struct {
		readInput, unreadInput string // readInput is read before the disconnect, unreadInput after it
		halfClose              bool
	}{
		"one command":    {"", nettest.Ask(1, nettest.ReadFields), false},
		"half-close":     {"", nettest.Ask(1, nettest.ReadFields), true},
		"many commands":  {"", manyCommands.String(), false},
		"a long command": {"", longCommand, false},
		"behind an invalid command": {nettest.Command(commandPing),
			nettest.Command("HELLO") + nettest.Ask(1, nettest.ReadFields), false},
		"many behind an invalid one": {nettest.Command(commandPing), nettest.Command("HELLO") + manyCommands.String(), false},
		"long behind an invalid one": {nettest.Command(commandPing), nettest.Command("HELLO") + longCommand, false},
		"flood behind an invalid one": {nettest.Command(commandPing),
			nettest.Command("HELLO") + strings.Repeat(manyCommands.String(), 40), false},
	} {
		t.Run(name, func(t *testing.T) {
			serverEnd, clientEnd := nettest.ConnPair(t)
			s, rec := newServer(nil, 1, 1<<20)
			reads := make(chan struct{}, 1)
			c := newConn(s, &gatedConn{TCPConn: serverEnd, reads: reads})
			done := make(chan struct{})
			if test.readInput != "" {
				io.WriteString(clientEnd, test.readInput)
				reads <- struct{}{}
			}
			go func() {
				defer close(done)
				c.readCommands()
			}()
			if test.readInput != "" {
				nettest.Eventually(t, "the first command is read", c.hasReceivedCommand)
			}
			io.WriteString(clientEnd, test.unreadInput)
			if test.halfClose {
				clientEnd.CloseWrite()
			} else {
				clientEnd.Close()
			}
			if len(test.unreadInput) <= resp.MaxFrameLength+resp.MaxLineLength { // else the FIN arrives only after some input is read
				awaitPeerClose(t, serverEnd)
			}
			close(reads)
			nettest.Await(t, "reading ends", done)
			if n := len(rec.received); n > 0 {
				t.Fatalf("got %d requests of a disconnected client, want none", n)
			}
		})
	}
}

// The handler is notified of a disconnect even while a write to the client blocks.
func TestDisconnectIsReportedBeforeTheWriterEnds(t *testing.T) {
	serverEnd, clientEnd := nettest.ConnPair(t)
	s, rec := newServer(nil, 1, 1<<20)
	writes := make(chan struct{})
	c := newConn(s, &gatedConn{TCPConn: serverEnd, writes: writes})
	first := c.addPendingResponse(nil)
	c.addPendingResponse(&Request{})
	first.respond([]byte("+PONG\r\n"))
	done := serve(c)
	for queued := true; queued; time.Sleep(time.Millisecond) { // until the writer takes the answer
		c.mu.Lock()
		queued = c.readyCount > 0
		c.mu.Unlock()
	}
	clientEnd.Close()
	wantOneUnanswered(t, rec)
	close(writes)
	nettest.Await(t, "the connection's end", done)
	if n := s.unsentBytes.Load(); n != 0 {
		t.Fatalf("got %d unsent bytes, want 0", n)
	}
}

// scriptedConn is a connection whose reads return input and then io.EOF without blocking; its writes are discarded.
type scriptedConn struct {
	net.Conn // nil, because no other method is called
	input    *strings.Reader
	isClosed bool
}

func (script *scriptedConn) Read(b []byte) (int, error) { return script.input.Read(b) }

func (script *scriptedConn) Write(b []byte) (int, error) { return len(b), nil }

func (script *scriptedConn) SetReadDeadline(time.Time) error { return nil }

func (script *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func (script *scriptedConn) Close() error {
	script.isClosed = true
	return nil
}

// The disconnect of a client with an open request is detected in time, even after megabytes of invalid input. The input of a
// client without an open request is throttled.
func TestDisconnectAfterUselessInputIsDetected(t *testing.T) {
	invalidBytes := strings.Repeat("x", 8<<20)
	for name, test := range map[string]struct {
		input          string
		faults         int32
		hasOpenRequest bool
		minTime        time.Duration
	}{
		"lost framing":       {"?\r\n" + invalidBytes, 0, true, 0},
		"lost framing, late": {"?\r\n" + invalidBytes, maxFaults - 1, true, 0},
		"a pause": {nettest.Command("HELLO") + strings.Repeat(nettest.Command(commandPing), 300),
			maxFaults / 2, true, 0},
		"the last pause":             {nettest.Command("HELLO") + invalidBytes, maxFaults - 1, true, 0},
		"lost framing, nothing open": {"?\r\n" + invalidBytes, 0, false, time.Second},
		"a pause, nothing open": {nettest.Command("HELLO") + strings.Repeat(nettest.Command(commandPing), 300),
			4, false, 5 * faultPause},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, rec := newServer(nil, 1, 1<<20)
				c := newConn(s, &scriptedConn{input: strings.NewReader(test.input)})
				c.faults.Store(test.faults)
				c.reader.faultsAtLastPause = test.faults
				if test.hasOpenRequest {
					c.addPendingResponse(&Request{})
				}
				start := time.Now()
				done := serve(c)
				if !test.hasOpenRequest {
					<-done
					if took := time.Since(start); took < test.minTime {
						t.Fatalf("got the end after %v, want %v at least", took, test.minTime)
					}
					return
				}
				wantOneUnanswered(t, rec)
				if took := time.Since(start); took >= maxDetectionTime {
					t.Errorf("got the disconnect after %v, want less than %v", took, maxDetectionTime)
				}
				<-done
			})
		})
	}
}

// A disconnect during the pause after an invalid command is detected before the pause ends.
func TestDisconnectDuringFaultPauseIsDetected(t *testing.T) {
	serverEnd, clientEnd := nettest.ConnPair(t)
	s, _ := newServer(nil, 1, 1<<20)
	s.maxReadPause = math.MaxInt64
	c := newConn(s, serverEnd)
	detected := make(chan struct{})
	go func() {
		if !c.pauseAfterFault(1 << 20) { // a pause of more than a day
			close(detected)
		}
	}()
	clientEnd.Close()
	nettest.Await(t, "the disconnect", detected)
}
