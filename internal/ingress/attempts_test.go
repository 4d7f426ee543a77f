package ingress

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"lemontack/internal/listener"
	"lemontack/internal/nettest"
	"lemontack/policy"
)

// An answered attempt must free its connection: once all of them were taken for given up.
func TestConnectionIsReused(t *testing.T) {
	be := serving(t, "value")
	list := fleetOf(be.addr)
	addr, _ := startIngress(t, testConfig(registry(t, list, nil), list))
	nc, in := nettest.Dial(t, addr)
	for i := range 5 {
		io.WriteString(nc, nettest.Ask(i, nettest.ReadFields))
		nettest.WantValue(t, in)
	}
	if n := be.conns.Load(); n != 1 {
		t.Fatalf("%d connections for requests one after another, want 1", n)
	}
}

// A silent endpoint's attempt ends at the request's time, before the client leaves; its connection is given up.
func TestSilentEndpointIsTimedOut(t *testing.T) {
	be := newBackend(t, func(n int, _ []string, _ net.Conn) string {
		if n == 1 {
			return ""
		}
		return served
	})
	list := fleetOf(be.addr)
	addr, _ := startIngress(t, testConfig(registry(t, list, nil), list))
	nc, in := nettest.Dial(t, addr)
	began := time.Now()
	io.WriteString(nc, nettest.Ask(1, "c=read,t=p,d=1000,units=1,spread=1,first=0"))
	if got := nettest.ReadLine(t, in); !strings.HasPrefix(got, "-BUSY") {
		t.Fatalf("answer %q, want the module's refusal of a read that timed out", got)
	}
	if took := time.Since(began); took < 900*time.Millisecond {
		t.Fatalf("given up after %v of 1 s", took)
	}
	io.WriteString(nc, nettest.Ask(2, nettest.ReadFields))
	nettest.WantValue(t, in)
	if n := be.conns.Load(); n != 2 {
		t.Fatalf("%d connections, want a new one after the given-up one", n)
	}
}

// What happened to an attempt decides what a non-idempotent request's client is told: harmless to try again only
// where the command never ran.
func TestNonIdempotentRequestIsSentOnceAndAnsweredByItsOutcome(t *testing.T) {
	refused := nettest.RefusedAddress(t)
	for name, c := range map[string]struct {
		say  func(int, []string, net.Conn) string
		want string
	}{
		"refused":     {nil, "-BUSY"},
		"turned away": {func(int, []string, net.Conn) string { return "-BUSY\r\n" }, "-BUSY"},
		"error":       {func(int, []string, net.Conn) string { return "-ERR failed\r\n" }, "-ERR"},
		"null value":  {func(int, []string, net.Conn) string { return "*3\r\n$-1\r\n$-1\r\n$-1\r\n" }, "-ERR"},
		"value alone": {func(int, []string, net.Conn) string { return "*1\r\n$1\r\nx\r\n" }, "-ERR"},
		"endless":     {func(int, []string, net.Conn) string { return "*3\r\n$9\r\nx" }, "-ERR"},
		"3 GB":        {func(int, []string, net.Conn) string { return "*3\r\n$3000000000\r\nx" }, "-ERR"},
		"not RESP":    {func(int, []string, net.Conn) string { return "hello\r\n" }, "-ERR"},
		"overflow":    {func(int, []string, net.Conn) string { return "*1\r\n$9223372036854775807\r\n" }, "-ERR"},
		"reset": {func(_ int, _ []string, nc net.Conn) string {
			nc.Close()
			return ""
		}, "-ERR"},
	} {
		t.Run(name, func(t *testing.T) {
			be := &backendFake{addr: refused}
			if c.say != nil {
				be = newBackend(t, c.say)
			}
			list := fleetOf(be.addr)
			addr, _ := startIngress(t, testConfig(registry(t, list, nil), list))
			nc, in := nettest.Dial(t, addr)
			io.WriteString(nc, nettest.Command("Q.DO", "00000000b4d65521", "9b1f03aa5c7e2d41", "c=write,t=p,d=50000,units=1,spread=1,first=0"))
			if got := nettest.ReadLine(t, in); !strings.HasPrefix(got, c.want) {
				t.Fatalf("answer %q, want %s", got, c.want)
			}
			if n := len(be.seen()); n > 1 {
				t.Fatalf("sent %d times", n)
			}
		})
	}
}

// A drain counts from when it was told: what waited for a connection then is not written any more. The policy hears so at
// once, after the list, and not only when the connection has come up.
func TestDrainWithdrawsWaitingAttempt(t *testing.T) {
	be := serving(t, "value")
	g := idleGateway(t, be.addr)
	a := waitingAttempt(g, "s0")
	g.pool.Start(a.Attempt)
	connected := awaitConnected(t, g)
	f := fleetOf(be.addr)
	f.Snapshot, f.Entries[0].State = false, "DRAINING"
	g.updateEndpoints(f)
	if ev, ok := g.queue[len(g.queue)-1].(policy.AttemptEnded); !ok || ev.Outcome != policy.NotSent || len(g.queue) != 2 {
		t.Fatalf("told %v, want the list and then the end of what was not sent", g.queue)
	}
	g.pool.HandleEvent(connected)
	if !a.WaitsForConnection() || len(g.queue) != 2 {
		t.Fatalf("told %v, want nothing more, and nothing on the connection", g.queue)
	}
}

// A machine that has vanished answers nothing and resets nothing. Once an attempt shows that, its other idle
// connections are not trusted with further requests: a new one tells within the connect time-out.
func TestIdleConnectionsOfSilentEndpointAreClosed(t *testing.T) {
	var together sync.WaitGroup
	together.Add(3)
	be := newBackend(t, func(n int, _ []string, _ net.Conn) string {
		switch {
		case n <= 3: // all three are out at once, each on its own connection
			together.Done()
			together.Wait()
		case n == 4:
			return ""
		}
		return served
	})
	list := fleetOf(be.addr)
	cfg := testConfig(registry(t, list, nil), list)
	cfg.Connections.ConnectTimeout = 500 * time.Millisecond // less than the silent request's time
	addr, _ := startIngress(t, cfg)
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields)+nettest.Ask(2, nettest.ReadFields)+nettest.Ask(3, nettest.ReadFields))
	for range 3 {
		nettest.WantValue(t, in)
	}
	io.WriteString(nc, nettest.Ask(4, "c=read,t=p,d=1000,units=1,spread=1,first=0"))
	if got := nettest.ReadLine(t, in); !strings.HasPrefix(got, "-BUSY") {
		t.Fatalf("answer %q", got)
	}
	io.WriteString(nc, nettest.Ask(5, nettest.ReadFields))
	nettest.WantValue(t, in)
	if n := be.conns.Load(); n != 4 {
		t.Fatalf("%d connections, want a new one after the silence", n)
	}
}

// A request that is over is not sent when its connection comes up, also where attempts may not be cancelled.
func TestOverRequestIsNotSent(t *testing.T) {
	for name, over := range map[string]func(g *Gateway, r *request){
		"client left":  func(g *Gateway, r *request) { g.handle(clientDisconnected{[]*listener.Request{r.Request}}) },
		"out of time":  func(g *Gateway, r *request) { g.failOverdue(r) },
		"other answer": func(_ *Gateway, r *request) { r.final = true },
	} {
		t.Run(name, func(t *testing.T) {
			be := named(t, "a")
			g, err := New(func() Config {
				cfg := testConfig("", fleetOf(be.addr))
				cfg.Settings.MayCancel = false
				return cfg
			}(), quiet)
			if err != nil {
				t.Fatal(err)
			}
			run(t, g)
			sent, _ := newClientRequest(t, g, 1, 7)
			r := takeIn(g, sent)
			if r == nil || len(r.attempts) != 1 {
				t.Fatal("no attempt waits for a connection")
			}
			a := r.attempts[0]
			connected := awaitConnected(t, g) // handled only after the request has ended
			over(g, r)
			if now := name != "other answer"; a.ended != now {
				t.Fatalf("the attempt has ended: %v, want it at once: %v", a.ended, now)
			}
			g.handle(upstreamEvent{connected})
			if !a.ended || !a.WaitsForConnection() {
				t.Fatalf("ended %v, the connection carries it: %v", a.ended, !a.WaitsForConnection())
			}
			if g.requests.commandBytes != 0 || len(g.requests.open) != 0 {
				t.Fatalf("%d bytes, %d requests kept", g.requests.commandBytes, len(g.requests.open))
			}
		})
	}
}

// A connection that the endpoint has closed while it was idle is seen to be so, and the request goes on another.
func TestRequestAvoidsConnectionClosedWhileIdle(t *testing.T) {
	closed := make(chan struct{}, 1)
	be := newBackend(t, func(n int, _ []string, nc net.Conn) string {
		if n == 1 {
			io.WriteString(nc, served)
			nc.Close()
			closed <- struct{}{}
			return ""
		}
		return served
	})
	list := fleetOf(be.addr)
	addr, _ := startIngress(t, testConfig(registry(t, list, nil), list))
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Do(1, nettest.WriteFields))
	nettest.WantValue(t, in)
	nettest.Await(t, "the backend closes", closed)
	io.WriteString(nc, nettest.Do(2, nettest.WriteFields))
	nettest.WantValue(t, in)
	if n := len(be.seen()); n != 2 {
		t.Fatalf("%d commands, want each sent once", n)
	}
}

// Settings without a number of attempts mean one.
func TestSettingsWithoutMaxAttemptsMeanOne(t *testing.T) {
	be := named(t, "a")
	list := fleetOf(be.addr)
	cfg := testConfig(registry(t, list, nil), list)
	cfg.Settings.MaxAttempts = 0
	addr, _ := startIngress(t, cfg)
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
	if got := nettest.ReadLine(t, in); got != "$1" {
		t.Fatalf("answer %q", got)
	}
}

// An endpoint that drains while attempts wait for a connection to it gets none of them: they go elsewhere, also those that
// may not be repeated, since they never ran.
func TestDrainWhileConnectingSendsElsewhere(t *testing.T) {
	a, b := named(t, "a"), named(t, "b")
	cfg := testConfig("", fleetOf(a.addr))
	cfg.Settings.MaxAttempts = 2
	g, err := New(cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	run(t, g)
	sent, _ := newClientRequest(t, g, 1, 0)
	sent.Class = "write"
	r := takeIn(g, sent)
	connected := awaitConnected(t, g) // handled only after the drain
	f := fleetOf(a.addr, b.addr)
	f.Entries[0].State = "DRAINING"
	g.handle(endpointsUpdated{f})
	if len(r.attempts) != 2 || !r.attempts[0].ended || r.attempts[1].endpoint.ID != "s1" {
		t.Fatalf("%d attempts, want a second one elsewhere at once", len(r.attempts))
	}
	g.handle(upstreamEvent{connected})
	if !r.attempts[0].WaitsForConnection() {
		t.Fatal("sent to a backend that drains")
	}
}

// An endpoint receives the client's command with the time that is left in place of the client's, and never less than 1 ms.
func TestCommandTellsTheTimeThatIsLeft(t *testing.T) {
	fields := "c=read,d=50000,units=1"
	for _, c := range []struct {
		left  time.Duration
		frame string
	}{
		{1500 * time.Millisecond, nettest.Command("Q.ASK", "customer", "id", "c=read,d=1500,units=1", "body")},
		{2 * time.Microsecond, nettest.Command("Q.ASK", "customer", "id", "c=read,d=1,units=1", "body")},
	} {
		r := &request{Request: &listener.Request{TimeoutStart: len("c=read,d="), TimeoutEnd: len("c=read,d=50000")}}
		for _, argument := range []string{"Q.ASK", "customer", "id", fields, "body"} {
			r.Args = append(r.Args, []byte(argument))
		}
		a := &attempt{gateway: &Gateway{}, request: r, deadline: c.left}
		encoded := a.Encode()
		if string(encoded.Frame) != c.frame || encoded.TimeLimit != max(c.left, time.Millisecond) {
			t.Errorf("%v left: %q with limit %v, want %q", c.left, encoded.Frame, encoded.TimeLimit, c.frame)
		}
	}
}

func TestHealthCheckAsksForTheLoad(t *testing.T) {
	if got := string((&healthCheck{}).Encode().Frame); got != "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n" {
		t.Fatalf("%q", got)
	}
}
