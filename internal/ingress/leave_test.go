package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lemontack/internal/discovery"
	"lemontack/internal/nettest"
	"lemontack/policy"
)

// Whatever stands in the gateway's queue before the word that a client has left, no attempt of that client begins.
func TestLeftWithTheWordStillQueued(t *testing.T) {
	for name, c := range map[string]struct {
		backend bool                             // one is there from the start
		before  func(g *Gateway, cross *[]event) // what the gateway has done when the client leaves
		cross   func(addr string) []event        // what it is told after, before it hears of the leaving
	}{
		"its command": {backend: true},
		"a list": {before: func(g *Gateway, _ *[]event) { g.handle(<-g.events) },
			cross: func(addr string) []event { return []event{endpointsUpdated{fleetOf(addr)}} }},
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
			near, far := nettest.ConnPair(t)
			done := serveClient(g, near)
			io.WriteString(far, nettest.Do(1, nettest.WriteFields))
			for len(g.events) < 1 {
				time.Sleep(time.Millisecond)
			}
			var cross []event
			if c.before != nil {
				c.before(g, &cross)
			}
			far.Close()
			nettest.Await(t, "the connection's end", done)
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
		counter := nettest.Serve(t, func(nc net.Conn) {
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
		nc, in := nettest.Dial(t, addr)
		io.WriteString(nc, nettest.Ask(1, "c=read,t=sparse,d=50000,units=1,spread=60,first=0"))
		nettest.Await(t, "the counter is asked", asked)
		leave(t, nc, in)
		close(answer)
		wantAttempts(t, addr, be, 0)
	})
	t.Run("a backend", func(t *testing.T) {
		be, changes := named(t, "a"), make(chan discovery.EndpointList)
		addr, _ := startIngress(t, testConfig(registry(t, fleetOf(), changes), fleetOf()))
		nc, in := nettest.Dial(t, addr)
		io.WriteString(nc, nettest.Command("PING"))
		nettest.ReadLine(t, in)
		io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
		leave(t, nc, in)
		list := fleetOf(be.addr)
		list.Revision = 2
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
		nc, in := nettest.Dial(t, addr)
		io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
		nettest.Await(t, "the first attempt", first)
		leave(t, nc, in)
		close(fail)
		wantAttempts(t, addr, be, 1)
	})
}

// wantAttempts wants so many attempts of request 1 at a backend, by when another client's requests have been served there.
func wantAttempts(t *testing.T, addr string, be *backendFake, want int) {
	t.Helper()
	nc, in := nettest.Dial(t, addr)
	for i := range 5 {
		io.WriteString(nc, nettest.Command("Q.ASK", "00000000b4d65522", fmt.Sprintf("%016x", 100+i), nettest.ReadFields))
		if got := nettest.ReadLine(t, in); got != "$1" {
			t.Fatalf("answer %q", got)
		}
		nettest.ReadLine(t, in)
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
