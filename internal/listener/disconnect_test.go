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

// maxDetectionTime is the time after a client's disconnect within which an attempt of it may still start, on a simulated clock.
const maxDetectionTime = 100 * time.Millisecond

// gatedConn is a connection whose reads and writes each wait for a token of the test. A nil channel does not block.
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

// awaitPeerClose returns once the peer's FIN has arrived at a connection, whatever is unread before it.
func awaitPeerClose(t *testing.T, socket *net.TCPConn) {
	t.Helper()
	const closeWait = 8 // the state CLOSE_WAIT, in the first byte of TCP_INFO
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(nettest.SignalTimeout); ; time.Sleep(time.Millisecond) {
		state := 0
		raw.Control(func(fd uintptr) { state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) })
		switch {
		case err != nil:
			t.Fatal(err)
		case state&0xff == closeWait:
			return
		case time.Now().After(limit):
			t.Fatal("never: the FIN arrives")
		}
	}
}

// Commands of a connection that the client closed before they were read are dropped: those in the accept queue, where they may
// have waited for long, and those behind the pause after an invalid command.
func TestRequestsOfADisconnectedClientAreNotRead(t *testing.T) {
	var many strings.Builder
	for i := range 30 {
		many.WriteString(nettest.Ask(10+i, nettest.ReadFields))
	}
	long := nettest.Command(commandDo, "00000000b4d65521", "9b1f03aa5c7e2d41", nettest.WriteFields, strings.Repeat("x", resp.MaxValueLength))
	for name, test := range map[string]struct {
		first, then string // first is read before the disconnect
		halfClose   bool
	}{
		"one command":                 {"", nettest.Ask(1, nettest.ReadFields), false},
		"half-close":                  {"", nettest.Ask(1, nettest.ReadFields), true},
		"many commands":               {"", many.String(), false},
		"a long command":              {"", long, false},
		"behind an invalid command":   {nettest.Command(commandPing), nettest.Command("HELLO") + nettest.Ask(1, nettest.ReadFields), false},
		"many behind an invalid one":  {nettest.Command(commandPing), nettest.Command("HELLO") + many.String(), false},
		"long behind an invalid one":  {nettest.Command(commandPing), nettest.Command("HELLO") + long, false},
		"flood behind an invalid one": {nettest.Command(commandPing), nettest.Command("HELLO") + strings.Repeat(many.String(), 40), false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := nettest.ConnPair(t)
			s, rec := newServer(nil, 1, 1<<20)
			reads := make(chan struct{}, 1)
			c := newConn(s, &gatedConn{TCPConn: near, reads: reads})
			done := make(chan struct{})
			if test.first != "" {
				io.WriteString(far, test.first)
				reads <- struct{}{}
			}
			go func() {
				defer close(done)
				c.readCommands()
			}()
			if test.first != "" {
				nettest.Eventually(t, "the first command is read", c.hasReceivedCommand)
			}
			io.WriteString(far, test.then)
			if test.halfClose {
				far.CloseWrite()
			} else {
				far.Close()
			}
			if len(test.then) <= resp.MaxFrameLength+resp.MaxLineLength { // else the FIN stays behind what the socket buffers hold
				awaitPeerClose(t, near)
			}
			close(reads)
			nettest.Await(t, "reading ends", done)
			if n := len(rec.received); n > 0 {
				t.Fatalf("%d commands of a disconnected client are read", n)
			}
		})
	}
}

// The handler is notified of a disconnect before the last write to the client has returned.
func TestDisconnectIsReportedBeforeTheWriterEnds(t *testing.T) {
	near, far := nettest.ConnPair(t)
	s, rec := newServer(nil, 1, 1<<20)
	writes := make(chan struct{})
	c := newConn(s, &gatedConn{TCPConn: near, writes: writes})
	first := c.addPendingResponse(nil)
	c.addPendingResponse(&Request{})
	first.respond([]byte("+PONG\r\n"))
	done := serve(c)
	for waiting := true; waiting; time.Sleep(time.Millisecond) { // until the writer has the answer
		c.mu.Lock()
		waiting = c.readyCount > 0
		c.mu.Unlock()
	}
	far.Close()
	wantOneUnanswered(t, rec)
	close(writes)
	nettest.Await(t, "the connection's end", done)
	if n := s.unsentBytes.Load(); n != 0 {
		t.Fatalf("%d unsent bytes remain", n)
	}
}

// scriptedConn is a connection from which a text and then EOF are read at once; what is written to it is discarded.
type scriptedConn struct {
	net.Conn // nil: no other method is called
	in       *strings.Reader
	closed   bool
}

func (script *scriptedConn) Read(b []byte) (int, error) { return script.in.Read(b) }

func (script *scriptedConn) Write(b []byte) (int, error) { return len(b), nil }

func (script *scriptedConn) SetReadDeadline(time.Time) error { return nil }

func (script *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func (script *scriptedConn) Close() error {
	script.closed = true
	return nil
}

// The disconnect of a client with an open request is noticed in time, however many invalid bytes precede it. A client without
// an open request is slowed down by its flood.
func TestDisconnectBehindAFloodIsNoticed(t *testing.T) {
	flood := strings.Repeat("x", 8<<20)
	for name, test := range map[string]struct {
		text    string
		faults  int32
		open    bool // a request is open
		minTime time.Duration
	}{
		"lost framing":               {"?\r\n" + flood, 0, true, 0},
		"lost framing, late":         {"?\r\n" + flood, maxFaults - 1, true, 0},
		"a pause":                    {nettest.Command("HELLO") + strings.Repeat(nettest.Command(commandPing), 300), maxFaults / 2, true, 0},
		"the last pause":             {nettest.Command("HELLO") + flood, maxFaults - 1, true, 0},
		"lost framing, nothing open": {"?\r\n" + flood, 0, false, time.Second},
		"a pause, nothing open":      {nettest.Command("HELLO") + strings.Repeat(nettest.Command(commandPing), 300), 4, false, 5 * faultPause},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, rec := newServer(nil, 1, 1<<20)
				c := newConn(s, &scriptedConn{in: strings.NewReader(test.text)})
				c.faults.Store(test.faults)
				c.reader.faultsAtLastPause = test.faults
				if test.open {
					c.addPendingResponse(&Request{})
				}
				began := time.Now()
				done := serve(c)
				if !test.open {
					<-done
					if took := time.Since(began); took < test.minTime {
						t.Fatalf("closed after %v, want %v at least", took, test.minTime)
					}
					return
				}
				wantOneUnanswered(t, rec)
				if took := time.Since(began); took >= maxDetectionTime {
					t.Errorf("noticed after %v", took)
				}
				<-done
			})
		})
	}
}

// A disconnect in the pause after an invalid command is noticed, however long the pause is.
func TestDisconnectInAPauseIsNoticed(t *testing.T) {
	near, far := nettest.ConnPair(t)
	s, _ := newServer(nil, 1, 1<<20)
	s.maxReadPause = math.MaxInt64
	c := newConn(s, near)
	detected := make(chan struct{})
	go func() {
		if !c.pauseAfterFault(1 << 20) { // a day
			close(detected)
		}
	}()
	far.Close()
	nettest.Await(t, "the disconnect", detected)
}
