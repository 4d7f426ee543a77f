package ingress

import (
	"fmt"
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

// An answered attempt returns its connection to the pool.
func TestConnectionIsReused(t *testing.T) {
	endpoint := startServingEndpoint(t, "value")
	addr := startIngressFor(t, endpoint)
	nc, in := nettest.Dial(t, addr)
	for i := range 5 {
		io.WriteString(nc, nettest.Ask(i, nettest.ReadFields))
		nettest.WantValue(t, in)
	}
	if n := endpoint.conns.Load(); n != 1 {
		t.Fatalf("%d connections for sequential requests, want 1", n)
	}
}

// An attempt at an endpoint that does not reply ends at the request's deadline, before the client gives up. Its connection
// is closed.
func TestSilentEndpointIsTimedOut(t *testing.T) {
	endpoint := startEndpoint(t, func(n int, _ []string, _ net.Conn) string {
		if n == 1 {
			return ""
		}
		return valueReply("value")
	})
	addr := startIngressFor(t, endpoint)
	nc, in := nettest.Dial(t, addr)
	startedAt := time.Now()
	io.WriteString(nc, nettest.Ask(1, "c=read,t=p,d=1000,units=1,spread=1,first=0"))
	if got := nettest.ReadLine(t, in); !strings.HasPrefix(got, "-BUSY") {
		t.Fatalf("reply %q, want the rejection of a read that timed out", got)
	}
	if elapsed := time.Since(startedAt); elapsed < 900*time.Millisecond {
		t.Fatalf("rejected after %v, want at least 900 ms of the timeout of 1 s", elapsed)
	}
	io.WriteString(nc, nettest.Ask(2, nettest.ReadFields))
	nettest.WantValue(t, in)
	if n := endpoint.conns.Load(); n != 2 {
		t.Fatalf("%d connections, want 2: a new one after the timeout", n)
	}
}

// A non-idempotent request is sent at most once. The reply is -BUSY, after which clients may retry, only if the command was not
// executed.
func TestNonIdempotentRequestIsSentOnceAndAnsweredByItsOutcome(t *testing.T) {
	refused := nettest.RefusedAddress(t)
	for name, c := range map[string]struct {
		reply func(int, []string, net.Conn) string
		want  string
	}{
		"connection refused": {nil, "-BUSY"},
		"rejected":           {func(int, []string, net.Conn) string { return "-BUSY\r\n" }, "-BUSY"},
		"error":              {func(int, []string, net.Conn) string { return "-ERR failed\r\n" }, "-ERR"},
		"null value":         {func(int, []string, net.Conn) string { return "*3\r\n$-1\r\n$-1\r\n$-1\r\n" }, "-ERR"},
		"value alone":        {func(int, []string, net.Conn) string { return "*1\r\n$1\r\nx\r\n" }, "-ERR"},
		"incomplete":         {func(int, []string, net.Conn) string { return "*3\r\n$9\r\nx" }, "-ERR"},
		"3 GB":               {func(int, []string, net.Conn) string { return "*3\r\n$3000000000\r\nx" }, "-ERR"},
		"not RESP":           {func(int, []string, net.Conn) string { return "hello\r\n" }, "-ERR"},
		"overflow":           {func(int, []string, net.Conn) string { return "*1\r\n$9223372036854775807\r\n" }, "-ERR"},
		"reset": {func(_ int, _ []string, nc net.Conn) string {
			nc.Close()
			return ""
		}, "-ERR"},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := &testEndpoint{addr: refused}
			if c.reply != nil {
				endpoint = startEndpoint(t, c.reply)
			}
			addr := startIngressFor(t, endpoint)
			nc, in := nettest.Dial(t, addr)
			io.WriteString(nc, nettest.Do(1, nettest.WriteFields))
			if got := nettest.ReadLine(t, in); !strings.HasPrefix(got, c.want) {
				t.Fatalf("reply %q, want %s", got, c.want)
			}
			if n := len(endpoint.received()); n > 1 {
				t.Fatalf("sent %d times, want at most once", n)
			}
		})
	}
}

// A drain ends the attempts that wait for a connection. The policy is notified at once, after the list, and not only when the
// connection is established.
func TestDrainEndsWaitingAttemptAsNotSent(t *testing.T) {
	endpoint := startServingEndpoint(t, "value")
	g := idleGateway(t, testConfig("", endpointsAt(endpoint.addr)))
	a := newWaitingAttempt(g, "s0")
	g.pool.Start(a.Attempt)
	connected := awaitConnected(t, g)
	change := endpointsAt(endpoint.addr)
	change.IsSnapshot, change.Entries[0].State = false, "DRAINING"
	g.updateEndpoints(change)
	if ev, ok := g.pendingEvents[len(g.pendingEvents)-1].(policy.AttemptEnded); !ok || ev.Outcome != policy.NotSent ||
		len(g.pendingEvents) != 2 {
		t.Fatalf("policy events %v, want the list and then the end of the attempt that was not sent", g.pendingEvents)
	}
	g.pool.HandleEvent(connected)
	if !a.WaitsForConnection() || len(g.pendingEvents) != 2 {
		t.Fatalf("policy events %v, want no further one, and nothing written to the connection", g.pendingEvents)
	}
}

// A host that is down neither replies nor resets connections. After an attempt has timed out, the other idle connections to its
// endpoint are not used again, because a new connection fails within the connect timeout.
func TestIdleConnectionsOfSilentEndpointAreClosed(t *testing.T) {
	var inFlight sync.WaitGroup
	inFlight.Add(3)
	endpoint := startEndpoint(t, func(n int, _ []string, _ net.Conn) string {
		switch {
		case n <= 3: // the three requests are in flight at the same time, each on its own connection
			inFlight.Done()
			inFlight.Wait()
		case n == 4:
			return ""
		}
		return valueReply("value")
	})
	cfg := configFor(t, endpoint)
	cfg.Connections.ConnectTimeout = 500 * time.Millisecond // less than the timeout of the silent request
	addr, _ := startIngress(t, cfg)
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields)+nettest.Ask(2, nettest.ReadFields)+nettest.Ask(3, nettest.ReadFields))
	for range 3 {
		nettest.WantValue(t, in)
	}
	io.WriteString(nc, nettest.Ask(4, "c=read,t=p,d=1000,units=1,spread=1,first=0"))
	if got := nettest.ReadLine(t, in); !strings.HasPrefix(got, "-BUSY") {
		t.Fatalf("reply %q, want -BUSY", got)
	}
	io.WriteString(nc, nettest.Ask(5, nettest.ReadFields))
	nettest.WantValue(t, in)
	if n := endpoint.conns.Load(); n != 4 {
		t.Fatalf("%d connections, want 4: a new one after the timeout", n)
	}
}

// A finished request is not sent when its connection is established, even if the settings do not allow cancelling attempts.
func TestFinishedRequestIsNotSent(t *testing.T) {
	for name, finish := range map[string]func(g *Gateway, r *request){
		"client disconnected": func(g *Gateway, r *request) { g.handle(clientDisconnected{[]*listener.Request{r.Request}}) },
		"deadline exceeded":   func(g *Gateway, r *request) { g.failOverdue(r) },
		"other answer":        func(_ *Gateway, r *request) { r.finished = true },
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startServingEndpoint(t, "a")
			cfg := testConfig("", endpointsAt(endpoint.addr))
			cfg.Settings.MayCancel = false
			g := idleGateway(t, cfg)
			sent, _ := newClientRequest(t, g, 1, 7)
			r := admit(g, sent)
			if r == nil || len(r.attempts) != 1 {
				t.Fatal("no attempt waits for a connection")
			}
			a := r.attempts[0]
			connected := awaitConnected(t, g) // handled only after the request has ended
			finish(g, r)
			if endsAtOnce := name != "other answer"; a.ended != endsAtOnce {
				t.Fatalf("the attempt has ended: got %v, want %v", a.ended, endsAtOnce)
			}
			g.handle(upstreamEvent{connected})
			if !a.ended || !a.WaitsForConnection() {
				t.Fatalf("ended %v, assigned to the connection %v; want true, false", a.ended, !a.WaitsForConnection())
			}
			if g.requests.commandBytes != 0 || len(g.requests.open) != 0 {
				t.Fatalf("%d bytes and %d requests remain, want none", g.requests.commandBytes, len(g.requests.open))
			}
		})
	}
}

// A connection that the endpoint closed while it was idle is not used. The request is sent on a new connection.
func TestRequestAvoidsConnectionClosedWhileIdle(t *testing.T) {
	closed := make(chan struct{}, 1)
	endpoint := startEndpoint(t, func(n int, _ []string, nc net.Conn) string {
		if n == 1 {
			io.WriteString(nc, valueReply("value"))
			nc.Close()
			closed <- struct{}{}
			return ""
		}
		return valueReply("value")
	})
	addr := startIngressFor(t, endpoint)
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Do(1, nettest.WriteFields))
	nettest.WantValue(t, in)
	nettest.Await(t, "the endpoint closes its connection", closed)
	io.WriteString(nc, nettest.Do(2, nettest.WriteFields))
	nettest.WantValue(t, in)
	if n := len(endpoint.received()); n != 2 {
		t.Fatalf("%d commands, want 2: each sent once", n)
	}
}

// Settings without a maximum of attempts allow one attempt per request.
func TestUnsetMaxAttemptsAllowsOneAttempt(t *testing.T) {
	endpoint := startServingEndpoint(t, "a")
	cfg := configFor(t, endpoint)
	cfg.Settings.MaxAttempts = 0
	addr, _ := startIngress(t, cfg)
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
	if got := nettest.ReadLine(t, in); got != "$1" {
		t.Fatalf("reply %q, want a value", got)
	}
}

// A request whose attempt waits for a connection to an endpoint that begins to drain is sent to another endpoint. This includes
// non-idempotent requests, because the attempt was never executed.
func TestDrainWhileConnectingRetriesOnAnotherEndpoint(t *testing.T) {
	a, b := startServingEndpoint(t, "a"), startServingEndpoint(t, "b")
	cfg := testConfig("", endpointsAt(a.addr))
	cfg.Settings.MaxAttempts = 2
	g := idleGateway(t, cfg)
	sent, _ := newClientRequest(t, g, 1, 0)
	sent.Class = "write"
	r := admit(g, sent)
	connected := awaitConnected(t, g) // handled only after the drain
	list := endpointsAt(a.addr, b.addr)
	list.Entries[0].State = "DRAINING"
	g.handle(endpointsUpdated{list})
	if len(r.attempts) != 2 || !r.attempts[0].ended || r.attempts[1].endpoint.ID != "s1" {
		t.Fatalf("%d attempts, want a second one at endpoint s1", len(r.attempts))
	}
	g.handle(upstreamEvent{connected})
	if !r.attempts[0].WaitsForConnection() {
		t.Fatal("the first attempt was sent to a draining endpoint")
	}
}

// The timeout in a forwarded command is replaced by the remaining time, which is at least 1 ms.
func TestEncodedCommandHasRemainingTime(t *testing.T) {
	fields := "c=read,d=50000,units=1"
	for _, c := range []struct {
		remaining time.Duration
		frame     string
	}{
		{1500 * time.Millisecond, nettest.Command("Q.ASK", "customer", "id", "c=read,d=1500,units=1", "body")},
		{2 * time.Microsecond, nettest.Command("Q.ASK", "customer", "id", "c=read,d=1,units=1", "body")},
	} {
		r := &request{Request: &listener.Request{TimeoutStart: len("c=read,d="), TimeoutEnd: len("c=read,d=50000")}}
		for _, argument := range []string{"Q.ASK", "customer", "id", fields, "body"} {
			r.Args = append(r.Args, []byte(argument))
		}
		a := &attempt{gateway: &Gateway{}, request: r, deadline: c.remaining}
		encoded := a.Encode()
		if string(encoded.Frame) != c.frame || encoded.TimeLimit != max(c.remaining, time.Millisecond) {
			t.Errorf("%v remaining: got %q with limit %v, want %q", c.remaining, encoded.Frame, encoded.TimeLimit, c.frame)
		}
	}
}

// A health check sends the command INFO load, which requests a load report.
func TestHealthCheckRequestsTheLoadReport(t *testing.T) {
	if got := string((&healthCheck{}).Encode().Frame); got != "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n" {
		t.Fatalf("got %q, want INFO load", got)
	}
}

// Data after a reply closes the connection, so that no later request receives a duplicate as its reply.
func TestDataAfterReplyIsNotTakenForNextReply(t *testing.T) {
	value := func(args []string) string {
		return "*3\r\n$16\r\n" + args[2] + "\r\n$-1\r\n$4\r\nqps=\r\n"
	}
	sent := make(chan struct{}, 1) // signals that the duplicate has been written
	for name, reply := range map[string]func(n int, args []string, nc net.Conn) string{
		"duplicate": func(_ int, args []string, _ net.Conn) string { return value(args) + value(args) },
		"noise":     func(_ int, args []string, _ net.Conn) string { return value(args) + "\x00\xff" },
		"duplicate in a write of its own": func(_ int, args []string, nc net.Conn) string {
			io.WriteString(nc, value(args))
			io.WriteString(nc, value(args))
			sent <- struct{}{}
			return ""
		},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, reply)
			addr := startIngressFor(t, endpoint)
			nc, in := nettest.Dial(t, addr)
			for i := range 20 {
				io.WriteString(nc, nettest.Ask(i, nettest.ReadFields))
				if a, b := nettest.ReadLine(t, in), nettest.ReadLine(t, in); a != "$16" || b != fmt.Sprintf("%016x", i) {
					t.Fatalf("request %d: reply %q %q, want its own ID", i, a, b)
				}
				if name == "duplicate in a write of its own" {
					<-sent
				}
			}
			if n := endpoint.conns.Load(); n != 20 {
				t.Fatalf("%d connections, want 20: a new one for each request", n)
			}
		})
	}
}
