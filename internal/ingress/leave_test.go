package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lemontack/internal/resp"
	"lemontack/policy"
)

// leftAfter is how long after a client's close an attempt of it may still begin, on a driven clock.
const leftAfter = 100 * time.Millisecond

// gated is a connection whose reads and writes wait until the test lets them go on, one for each token; nil lets
// them all.
type gated struct {
	*net.TCPConn
	reads, writes chan struct{}
}

func (g *gated) Read(b []byte) (int, error) {
	if g.reads != nil {
		<-g.reads
	}
	return g.TCPConn.Read(b)
}

func (g *gated) Write(b []byte) (int, error) {
	if g.writes != nil {
		<-g.writes
	}
	return g.TCPConn.Write(b)
}

// accepted is a connection over the loopback address: the ingress's end and the client's.
func accepted(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		nc.Close()
		in.Close()
	})
	return in.(*net.TCPConn), nc.(*net.TCPConn)
}

// awaitEnd returns once the peer's end has come to a connection, whatever lies unread before it.
func awaitEnd(t *testing.T, nc *net.TCPConn) {
	t.Helper()
	const closeWait = 8 // of the kernel's states: the first byte of TCP_INFO
	raw, err := nc.SyscallConn()
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

// What a connection brings that was closed before anybody read it is not taken: not from the backlog, where it may have
// lain for long, and not after a pause that follows nonsense.
func TestLeftBeforeItIsRead(t *testing.T) {
	var many strings.Builder
	for i := range 30 {
		many.WriteString(ask(10+i, readFields))
	}
	long := command("Q.DO", "00000000b4d65521", "9b1f03aa5c7e2d41", writeFields, strings.Repeat("x", resp.MaxValueLength))
	for name, c := range map[string]struct {
		first, then string
		half        bool
	}{
		"one command":            {"", ask(1, readFields), false},
		"its sending only":       {"", ask(1, readFields), true},
		"many commands":          {"", many.String(), false},
		"a long command":         {"", long, false},
		"behind nonsense":        {command("PING"), command("HELLO") + ask(1, readFields), false},
		"many behind nonsense":   {command("PING"), command("HELLO") + many.String(), false},
		"long behind nonsense":   {command("PING"), command("HELLO") + long, false},
		"a flood after nonsense": {command("PING"), command("HELLO") + strings.Repeat(many.String(), 40), false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := accepted(t)
			g := idleGateway(t, newBackend(t, nil).addr)
			reads := make(chan struct{}, 1)
			cl := newClient(newFront(nil, g, 1, 1<<20), &gated{TCPConn: near, reads: reads})
			done := make(chan struct{})
			if c.first != "" {
				io.WriteString(far, c.first)
				reads <- struct{}{}
			}
			go func() {
				defer close(done)
				cl.read()
			}()
			for c.first != "" && !spoken(cl) {
				time.Sleep(time.Millisecond)
			}
			io.WriteString(far, c.then)
			if c.half {
				far.CloseWrite()
			} else {
				far.Close()
			}
			if len(c.then) <= resp.MaxFrameLength+resp.MaxLineLength { // else the end stays behind what the system can take
				awaitEnd(t, near)
			}
			close(reads)
			await(t, "reading ends", done)
			if n := len(g.events); n > 0 {
				t.Fatalf("%d commands of a client that had left are taken", n)
			}
		})
	}
}

func spoken(c *client) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spoken
}

// serveClient runs a client's connection to its end.
func serveClient(f *front, c *client) <-chan struct{} {
	done := make(chan struct{})
	f.slots <- struct{}{}
	f.wg.Add(1)
	go func() {
		defer close(done)
		c.serve()
	}()
	return done
}

// The gateway hears that a client has left before the last write to it has returned.
func TestLeftIsToldBeforeTheWriterEnds(t *testing.T) {
	near, far := accepted(t)
	g := idleGateway(t, newBackend(t, nil).addr)
	f := newFront(nil, g, 1, 1<<20)
	writes := make(chan struct{})
	c := newClient(f, &gated{TCPConn: near, writes: writes})
	first := c.open(nil)
	c.open(&clientRequest{})
	first.answer([]byte("+PONG\r\n"))
	done := serveClient(f, c)
	for pending := true; pending; time.Sleep(time.Millisecond) { // until the writer holds the answer
		c.mu.Lock()
		pending = c.ready > 0
		c.mu.Unlock()
	}
	far.Close()
	select {
	case ev := <-g.events:
		if left, ok := ev.(abandoned); !ok || len(left.reqs) != 1 {
			t.Errorf("told %v, want one request abandoned", ev)
		}
	case <-time.After(20 * time.Second):
		t.Error("not told while the write lasts")
	}
	close(writes)
	await(t, "the connection's end", done)
	if n := f.unsent.Load(); n != 0 {
		t.Fatalf("%d bytes unsent of nobody", n)
	}
}

// Whatever stands in the gateway's queue before the word that a client has left, no attempt of that client begins.
func TestLeftWithTheWordStillQueued(t *testing.T) {
	for name, c := range map[string]struct {
		backend bool                             // one is there from the start
		before  func(g *Gateway, cross *[]event) // what the gateway has done when the client leaves
		cross   func(addr string) []event        // what it is told after, before it hears of the leaving
	}{
		"its command": {backend: true},
		"a list": {before: func(g *Gateway, _ *[]event) { g.handle(<-g.events) },
			cross: func(addr string) []event { return []event{fleetOf(addr)} }},
		"a connection": {backend: true, before: func(g *Gateway, cross *[]event) {
			g.handle(<-g.events)
			*cross = append(*cross, <-g.events) // it is open
		}},
	} {
		t.Run(name, func(t *testing.T) {
			be := newBackend(t, nil)
			list := fleetOf()
			if c.backend {
				list = fleetOf(be.addr)
			}
			cfg := testConfig("", list)
			cfg.Settings.MayCancel = false
			g, err := New(cfg, quiet)
			if err != nil {
				t.Fatal(err)
			}
			run(t, g)
			near, far := accepted(t)
			f := newFront(nil, g, 1, 1<<20)
			done := serveClient(f, newClient(f, near))
			io.WriteString(far, order(1))
			for len(g.events) < 1 {
				time.Sleep(time.Millisecond)
			}
			var cross []event
			if c.before != nil {
				c.before(g, &cross)
			}
			far.Close()
			await(t, "the connection's end", done)
			if c.cross != nil {
				cross = c.cross(be.addr)
			}
			for len(g.events) > 0 {
				cross = append(cross, <-g.events)
			}
			for _, ev := range cross {
				if g.handle(ev); g.carried() > 0 {
					t.Fatalf("%T: an attempt begins", ev)
				}
			}
			if c.before == nil && g.requests.lastID != 0 {
				t.Fatal("the module is told of a request that nobody waits for")
			}
			if len(g.requests.open) != 0 || g.requests.commandBytes != 0 {
				t.Fatalf("%d requests of %d bytes kept", len(g.requests.open), g.requests.commandBytes)
			}
		})
	}
}

// carried is the number of attempts that wait for a connection of which no word is queued, or are on one.
func (g *Gateway) carried() (n int) {
	for _, r := range g.requests.open {
		for _, a := range r.attempts {
			if !a.ended && (!a.WaitsForConnection() || !r.final) {
				n++
			}
		}
	}
	return n
}

// scripted is a connection that brings a text at once, then its end; what is written to it is dropped.
type scripted struct {
	net.Conn // none: what is not below is not called
	in       *strings.Reader
	closed   bool
}

func (s *scripted) Read(b []byte) (int, error) { return s.in.Read(b) }

func (s *scripted) Write(b []byte) (int, error) { return len(b), nil }

func (s *scripted) SetReadDeadline(time.Time) error { return nil }

func (s *scripted) SetWriteDeadline(time.Time) error { return nil }

func (s *scripted) Close() error {
	s.closed = true
	return nil
}

// A client with an open request that sends much of no use and goes is noticed in time, however much lies before its end.
// Where it has none, a flood still costs its sender's time.
func TestLeavesBehindAFlood(t *testing.T) {
	flood := strings.Repeat("x", 8<<20)
	for name, c := range map[string]struct {
		text   string
		faults int32
		owed   bool
		least  time.Duration
	}{
		"lost framing":         {"?\r\n" + flood, 0, true, 0},
		"lost framing, late":   {"?\r\n" + flood, mostFaults - 1, true, 0},
		"a pause":              {command("HELLO") + strings.Repeat(command("PING"), 300), mostFaults / 2, true, 0},
		"the last pause":       {command("HELLO") + flood, mostFaults - 1, true, 0},
		"lost, nothing open":   {"?\r\n" + flood, 0, false, time.Second},
		"a pause without open": {command("HELLO") + strings.Repeat(command("PING"), 300), 4, false, 5 * faultPause},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := idleGateway(t, "127.0.0.1:1") // nobody is called
				f := newFront(nil, g, 1, 1<<20)
				c1 := newClient(f, &scripted{in: strings.NewReader(c.text)})
				c1.faults.Store(c.faults)
				c1.paused = c.faults
				if c.owed {
					c1.open(&clientRequest{})
				}
				began := time.Now()
				done := serveClient(f, c1)
				if !c.owed {
					<-done
					if took := time.Since(began); took < c.least {
						t.Fatalf("over after %v, want %v at least", took, c.least)
					}
					return
				}
				if ev, ok := (<-g.events).(abandoned); !ok || len(ev.reqs) != 1 {
					t.Errorf("told %v, want one request abandoned", ev)
				}
				if took := time.Since(began); took >= leftAfter {
					t.Errorf("noticed after %v", took)
				}
				<-done
			})
		})
	}
}

// leave ends a client's sending and returns once the ingress has ended the connection.
func leave(t *testing.T, nc net.Conn, in *bufio.Reader) {
	t.Helper()
	nc.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Fatalf("answer %q, %v; want the end", rest, err)
	}
}

// Once an ingress has ended the connection of a client that left, no attempt of that client begins: what its request waited
// for comes only then.
func TestLeavesBeforeWhatItWaitsFor(t *testing.T) {
	t.Run("the counter", func(t *testing.T) {
		asked, answer := make(chan struct{}, 16), make(chan struct{})
		counter := listen(t, func(nc net.Conn) {
			for in := bufio.NewScanner(nc); in.Scan(); {
				asked <- struct{}{}
				<-answer
				fmt.Fprintf(nc, "ok %s\r\n", strings.Fields(in.Text())[2])
			}
		})
		be := named(t, "a")
		cfg := testConfig(registry(t, fleetOf(be.addr), nil), fleetOf(be.addr))
		cfg.Counter = counter
		cfg.Settings.GatewayCount, cfg.Settings.SharedCounter, cfg.Settings.CounterTimeout = 60, true, 20*time.Second
		cfg.Settings.Plans = append(cfg.Settings.Plans,
			policy.Plan{Name: "sparse", Price: 1, Rate: 1, Burst: 4, OverQuotaCost: 1})
		addr, _ := startIngress(t, cfg)
		nc, in := dial(t, addr)
		io.WriteString(nc, ask(1, "c=read,t=sparse,d=50000,units=1,spread=60,first=0"))
		await(t, "the counter is asked", asked)
		leave(t, nc, in)
		close(answer)
		wantAttempts(t, addr, be, 0)
	})
	t.Run("a backend", func(t *testing.T) {
		be, changes := named(t, "a"), make(chan Fleet)
		addr, _ := startIngress(t, testConfig(registry(t, fleetOf(), changes), fleetOf()))
		nc, in := dial(t, addr)
		io.WriteString(nc, command("PING"))
		line(t, in)
		io.WriteString(nc, ask(1, readFields))
		leave(t, nc, in)
		list := fleetOf(be.addr)
		list.Rev = 2
		changes <- list
		wantAttempts(t, addr, be, 0)
	})
	t.Run("the end of an attempt", func(t *testing.T) {
		fail, first := make(chan struct{}), make(chan struct{}, 1)
		be := newBackend(t, func(n int, _ []string, _ net.Conn) string {
			if n > 1 {
				return valueOf("a")
			}
			first <- struct{}{}
			<-fail
			return "-BUSY\r\n"
		})
		cfg := testConfig(registry(t, fleetOf(be.addr), nil), fleetOf(be.addr))
		cfg.Settings.MayCancel, cfg.Settings.MaxAttempts = false, 4
		addr, _ := startIngress(t, cfg)
		nc, in := dial(t, addr)
		io.WriteString(nc, ask(1, readFields))
		await(t, "the first attempt", first)
		leave(t, nc, in)
		close(fail)
		wantAttempts(t, addr, be, 1)
	})
}

// wantAttempts wants so many attempts of request 1 at a backend, by when another client's requests have been served there.
func wantAttempts(t *testing.T, addr string, be *backendFake, want int) {
	t.Helper()
	nc, in := dial(t, addr)
	for i := range 5 {
		io.WriteString(nc, command("Q.ASK", "00000000b4d65522", fmt.Sprintf("%016x", 100+i), readFields))
		if got := line(t, in); got != "$1" {
			t.Fatalf("answer %q", got)
		}
		line(t, in)
	}
	n := 0
	for _, args := range be.seen() {
		if args[2] == fmt.Sprintf("%016x", 1) {
			n++
		}
	}
	if n != want {
		t.Fatalf("%d attempts of the client that left, want %d", n, want)
	}
}
