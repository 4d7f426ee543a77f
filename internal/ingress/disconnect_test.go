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
	"lemontack/internal/listener"
	"lemontack/internal/nettest"
	"lemontack/policy"
)

// When a client disconnects, the endpoint connection of its attempt is closed.
func TestDisconnectEndsAttempt(t *testing.T) {
	abandoned := make(chan struct{}, 1)
	endpoint := startSilentEndpoint(t, abandoned)
	addr := startIngressFor(t, endpoint)
	nc, _ := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
	endpoint.awaitCommands(t, 1)
	nc.Close()
	nettest.Await(t, "the attempt is abandoned", abandoned)
}

// A disconnect is detected while further input is rejected or discarded: after more commands than may be pipelined, and after
// invalid input that loses the framing.
func TestDisconnectIsDetectedWhileInputIsNotServed(t *testing.T) {
	for name, unread := range map[string]string{
		"pipelined commands": func() string {
			var b strings.Builder
			for i := range 3 * listener.MaxPipelined {
				b.WriteString(nettest.Ask(10+i, nettest.ReadFields))
			}
			return b.String()
		}(),
		"lost framing": "?\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			abandoned := make(chan struct{}, 1000)
			endpoint := startSilentEndpoint(t, abandoned)
			addr := startIngressFor(t, endpoint)
			nc, _ := nettest.Dial(t, addr)
			io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
			endpoint.awaitCommands(t, 1)
			io.WriteString(nc, unread)
			nc.Close()
			nettest.Await(t, "the attempt is abandoned", abandoned)
		})
	}
}

// Queued requests of a disconnected client are not sent when its ended attempts free capacity. The next request that is sent is
// another client's.
func TestQueuedRequestsOfADisconnectedClientAreNotSent(t *testing.T) {
	const requests = 10
	endpoint := startEndpoint(t, func(_ int, args []string, _ net.Conn) string {
		if strings.HasPrefix(args[2], "a") {
			return ""
		}
		return valueReply("value")
	})
	addr := startIngressFor(t, endpoint)
	disconnecting, _ := nettest.Dial(t, addr)
	for i := range requests {
		io.WriteString(disconnecting, nettest.Command("Q.ASK", "00000000b4d65521", fmt.Sprintf("a%015x", i), nettest.ReadFields))
	}
	endpoint.awaitCommands(t, 1)
	remaining, in := nettest.Dial(t, addr)
	io.WriteString(remaining, nettest.Command("PING"))
	nettest.ReadLine(t, in)
	io.WriteString(remaining, nettest.Ask(1, nettest.ReadFields))
	disconnecting.Close()
	nettest.WantValue(t, in)
	io.WriteString(remaining, nettest.Ask(2, nettest.ReadFields))
	nettest.WantValue(t, in)
	if n := len(endpoint.received()) - 2; n >= requests || n < 1 {
		t.Fatalf("%d of %d commands of the disconnected client were sent, want fewer and at least one", n, requests)
	}
}

// No attempt of a disconnected client starts, even if other events precede the disconnect in the gateway's queue.
func TestNoAttemptStartsWhileTheDisconnectIsQueued(t *testing.T) {
	for name, c := range map[string]struct {
		isKnown          bool                               // whether the endpoint is known from the start
		beforeDisconnect func(g *Gateway) (pending []event) // handles events before the disconnect, returns those still pending
		pending          func(addr string) []event          // events that precede the disconnect in the queue
	}{
		"its command": {isKnown: true},
		"an endpoint list": {beforeDisconnect: func(g *Gateway) []event { g.handle(<-g.events); return nil },
			pending: func(addr string) []event { return []event{endpointsUpdated{endpointsAt(addr)}} }},
		"a connection": {isKnown: true, beforeDisconnect: func(g *Gateway) []event {
			g.handle(<-g.events)
			return []event{<-g.events} // the endpoint connection is established
		}},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, nil)
			list := endpointsAt()
			if c.isKnown {
				list = endpointsAt(endpoint.addr)
			}
			cfg := testConfig("", list)
			cfg.Settings.MayCancel = false
			g := idleGateway(t, cfg)
			serverEnd, clientEnd := nettest.ConnPair(t)
			done := serveClient(g, serverEnd)
			io.WriteString(clientEnd, nettest.Do(1, nettest.WriteFields))
			nettest.Eventually(t, "the request is queued", func() bool { return len(g.events) > 0 })
			var pending []event
			if c.beforeDisconnect != nil {
				pending = c.beforeDisconnect(g)
			}
			clientEnd.Close()
			nettest.Await(t, "the connection's end", done)
			if c.pending != nil {
				pending = c.pending(endpoint.addr)
			}
			for len(g.events) > 0 {
				pending = append(pending, <-g.events)
			}
			for _, ev := range pending {
				if g.handle(ev); activeAttempts(g) > 0 {
					t.Fatalf("after event %T: an attempt is active, want none", ev)
				}
			}
			if c.beforeDisconnect == nil && g.requests.lastID != 0 {
				t.Fatal("the request of a disconnected client was admitted")
			}
			if len(g.requests.open) != 0 || g.requests.commandBytes != 0 {
				t.Fatalf("%d requests of %d bytes remain, want none", len(g.requests.open), g.requests.commandBytes)
			}
		})
	}
}

// After a client has disconnected, none of its attempts starts when the event arrives that its request waited for.
func TestNoAttemptStartsAfterTheDisconnect(t *testing.T) {
	t.Run("waiting for the counter", func(t *testing.T) {
		called, answer := make(chan struct{}, 16), make(chan struct{})
		counter := nettest.Serve(t, func(nc net.Conn) {
			for in := bufio.NewScanner(nc); in.Scan(); {
				called <- struct{}{}
				<-answer
				fmt.Fprintf(nc, "ok %s\r\n", strings.Fields(in.Text())[2])
			}
		})
		endpoint := startServingEndpoint(t, "a")
		cfg := configFor(t, endpoint)
		cfg.Counter = counter
		cfg.Settings.GatewayCount, cfg.Settings.HasSharedCounter, cfg.Settings.CounterTimeout = 60, true, 20*time.Second
		cfg.Settings.Plans = append(cfg.Settings.Plans,
			policy.Plan{Name: "sparse", Price: 1, Rate: 1, Burst: 4, OverQuotaCost: 1})
		addr, _ := startIngress(t, cfg)
		nc, in := nettest.Dial(t, addr)
		io.WriteString(nc, nettest.Ask(1, "c=read,t=sparse,d=50000,units=1,spread=60,first=0"))
		nettest.Await(t, "the counter is called", called)
		closeWrite(t, nc, in)
		close(answer)
		wantAttempts(t, addr, endpoint, 0)
	})
	t.Run("waiting for an endpoint", func(t *testing.T) {
		endpoint, changes := startServingEndpoint(t, "a"), make(chan discovery.EndpointList)
		addr, _ := startIngress(t, testConfig(startDiscovery(t, endpointsAt(), changes), endpointsAt()))
		nc, in := nettest.Dial(t, addr)
		io.WriteString(nc, nettest.Command("PING"))
		nettest.ReadLine(t, in)
		io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
		closeWrite(t, nc, in)
		list := endpointsAt(endpoint.addr)
		list.Revision = 2
		changes <- list
		wantAttempts(t, addr, endpoint, 0)
	})
	t.Run("waiting for the end of an attempt", func(t *testing.T) {
		reject, firstReceived := make(chan struct{}), make(chan struct{}, 1)
		endpoint := startEndpoint(t, func(n int, _ []string, _ net.Conn) string {
			if n > 1 {
				return valueReply("a")
			}
			firstReceived <- struct{}{}
			<-reject
			return "-BUSY\r\n"
		})
		cfg := configFor(t, endpoint)
		cfg.Settings.MayCancel, cfg.Settings.MaxAttempts = false, 4
		addr, _ := startIngress(t, cfg)
		nc, in := nettest.Dial(t, addr)
		io.WriteString(nc, nettest.Ask(1, nettest.ReadFields))
		nettest.Await(t, "the first attempt", firstReceived)
		closeWrite(t, nc, in)
		close(reject)
		wantAttempts(t, addr, endpoint, 1)
	})
}

// activeAttempts counts the open attempts that are assigned to a connection, or wait for one while their request has not
// finished.
func activeAttempts(g *Gateway) (n int) {
	for _, r := range g.requests.open {
		for _, a := range r.attempts {
			if !a.ended && (!a.WaitsForConnection() || !r.finished) {
				n++
			}
		}
	}
	return n
}

// closeWrite closes the client's sending side of a connection and returns once the ingress has closed the connection.
func closeWrite(t *testing.T, nc net.Conn, in *bufio.Reader) {
	t.Helper()
	nc.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Fatalf("reply %q, error %v; want the end of the connection", rest, err)
	}
}

// wantAttempts sends requests of another client and then checks the number of attempts of request 1 at the endpoint.
func wantAttempts(t *testing.T, addr string, endpoint *testEndpoint, want int) {
	t.Helper()
	nc, in := nettest.Dial(t, addr)
	for i := range 5 {
		io.WriteString(nc, nettest.Command("Q.ASK", "00000000b4d65522", fmt.Sprintf("%016x", 100+i), nettest.ReadFields))
		if got := nettest.ReadLine(t, in); got != "$1" {
			t.Fatalf("reply %q, want a value", got)
		}
		nettest.ReadLine(t, in)
	}
	n := 0
	for _, args := range endpoint.received() {
		if args[2] == fmt.Sprintf("%016x", 1) {
			n++
		}
	}
	if n != want {
		t.Fatalf("%d attempts of the disconnected client, want %d", n, want)
	}
}

// startSilentEndpoint starts an endpoint that never replies. It sends to closed when a connection on which it has received
// a command is closed.
func startSilentEndpoint(t *testing.T, closed chan<- struct{}) *testEndpoint {
	t.Helper()
	return startEndpoint(t, func(_ int, _ []string, nc net.Conn) string {
		go func() { // ends with the connection
			nc.Read(make([]byte, 1))
			closed <- struct{}{}
		}()
		return ""
	})
}
