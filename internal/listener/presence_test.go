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

// maxNoticeTime is how long after a client's close an attempt of it may still begin, on a driven clock.
const maxNoticeTime = 100 * time.Millisecond

// gatedConn is a connection whose reads and writes wait until the test lets them go on, one for each token; nil lets
// them all.
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

// awaitEnd returns once the peer's end has come to a connection, whatever lies unread before it.
func awaitEnd(t *testing.T, socket *net.TCPConn) {
	t.Helper()
	const closeWait = 8 // of the kernel's states: the first byte of TCP_INFO
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		state := 0
		raw.Control(func(fd uintptr) { state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) })
		switch {
		case err != nil:
			t.Fatal(err)
		case state&0xff == closeWait:
			return
		case time.Now().After(limit):
			t.Fatal("the end never came")
		}
	}
}

// What a connection brings that was closed before anybody read it is not taken: not from the accept queue, where it may have
// lain for long, and not after a pause that follows nonsense.
func TestRequestsOfAClientGoneBeforeTheReadAreNotTaken(t *testing.T) {
	var many strings.Builder
	for i := range 30 {
		many.WriteString(nettest.Ask(10+i, nettest.ReadFields))
	}
	long := nettest.Command(commandDo, "00000000b4d65521", "9b1f03aa5c7e2d41", nettest.WriteFields, strings.Repeat("x", resp.MaxValueLength))
	for name, test := range map[string]struct {
		first, then string
		half        bool
	}{
		"one command":            {"", nettest.Ask(1, nettest.ReadFields), false},
		"its sending only":       {"", nettest.Ask(1, nettest.ReadFields), true},
		"many commands":          {"", many.String(), false},
		"a long command":         {"", long, false},
		"behind nonsense":        {nettest.Command(commandPing), nettest.Command("HELLO") + nettest.Ask(1, nettest.ReadFields), false},
		"many behind nonsense":   {nettest.Command(commandPing), nettest.Command("HELLO") + many.String(), false},
		"long behind nonsense":   {nettest.Command(commandPing), nettest.Command("HELLO") + long, false},
		"a flood after nonsense": {nettest.Command(commandPing), nettest.Command("HELLO") + strings.Repeat(many.String(), 40), false},
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
				c.read()
			}()
			for test.first != "" && !c.hasReceived() {
				time.Sleep(time.Millisecond)
			}
			io.WriteString(far, test.then)
			if test.half {
				far.CloseWrite()
			} else {
				far.Close()
			}
			if len(test.then) <= resp.MaxFrameLength+resp.MaxLineLength { // else the end stays behind what the system can take
				awaitEnd(t, near)
			}
			close(reads)
			nettest.Await(t, "reading ends", done)
			if n := len(rec.received); n > 0 {
				t.Fatalf("%d commands of a client that had left are taken", n)
			}
		})
	}
}

// The handler hears that a client has left before the last write to it has returned.
func TestDisconnectIsToldBeforeTheWriterEnds(t *testing.T) {
	near, far := nettest.ConnPair(t)
	s, rec := newServer(nil, 1, 1<<20)
	writes := make(chan struct{})
	c := newConn(s, &gatedConn{TCPConn: near, writes: writes})
	first := c.openResponse(nil)
	c.openResponse(&Request{})
	first.respond([]byte("+PONG\r\n"))
	done := serve(c)
	for waiting := true; waiting; time.Sleep(time.Millisecond) { // until the writer holds the answer
		c.mu.Lock()
		waiting = c.outCount > 0
		c.mu.Unlock()
	}
	far.Close()
	wantOneUnanswered(t, rec)
	close(writes)
	nettest.Await(t, "the connection's end", done)
	if n := s.unsentBytes.Load(); n != 0 {
		t.Fatalf("%d bytes unsent of nobody", n)
	}
}

// scriptedConn is a connection that brings a text at once, then its end; what is written to it is dropped.
type scriptedConn struct {
	net.Conn // none: what is not below is not called
	in       *strings.Reader
	closed   bool
}

func (s *scriptedConn) Read(b []byte) (int, error) { return s.in.Read(b) }

func (s *scriptedConn) Write(b []byte) (int, error) { return len(b), nil }

func (s *scriptedConn) SetReadDeadline(time.Time) error { return nil }

func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func (s *scriptedConn) Close() error {
	s.closed = true
	return nil
}

// A client with an open request that sends much of no use and goes is noticed in time, however much lies before its end.
// Where it has none, a flood still costs its sender's time.
func TestClientThatGoesBehindAFloodIsNoticed(t *testing.T) {
	flood := strings.Repeat("x", 8<<20)
	for name, test := range map[string]struct {
		text    string
		faults  int32
		owed    bool
		minTime time.Duration
	}{
		"lost framing":         {"?\r\n" + flood, 0, true, 0},
		"lost framing, late":   {"?\r\n" + flood, maxFaults - 1, true, 0},
		"a pause":              {nettest.Command("HELLO") + strings.Repeat(nettest.Command(commandPing), 300), maxFaults / 2, true, 0},
		"the last pause":       {nettest.Command("HELLO") + flood, maxFaults - 1, true, 0},
		"lost, nothing open":   {"?\r\n" + flood, 0, false, time.Second},
		"a pause without open": {nettest.Command("HELLO") + strings.Repeat(nettest.Command(commandPing), 300), 4, false, 5 * faultPause},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, rec := newServer(nil, 1, 1<<20)
				c := newConn(s, &scriptedConn{in: strings.NewReader(test.text)})
				c.faults.Store(test.faults)
				c.reader.pausedFaults = test.faults
				if test.owed {
					c.openResponse(&Request{})
				}
				began := time.Now()
				done := serve(c)
				if !test.owed {
					<-done
					if took := time.Since(began); took < test.minTime {
						t.Fatalf("over after %v, want %v at least", took, test.minTime)
					}
					return
				}
				wantOneUnanswered(t, rec)
				if took := time.Since(began); took >= maxNoticeTime {
					t.Errorf("noticed after %v", took)
				}
				<-done
			})
		})
	}
}

// A client that leaves in a pause after nonsense is noticed, however long the pause is.
func TestClientThatGoesInAPauseIsNoticed(t *testing.T) {
	near, far := nettest.ConnPair(t)
	s, _ := newServer(nil, 1, 1<<20)
	s.maxUnread = math.MaxInt64
	c := newConn(s, near)
	noticed := make(chan struct{})
	go func() {
		if !c.pauseAfterFault(1 << 20) { // a day
			close(noticed)
		}
	}()
	far.Close()
	nettest.Await(t, "the client's leaving", noticed)
}
