package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/discovery"
	"lemontack/internal/listener"
	"lemontack/internal/nettest"
	"lemontack/internal/standin"
	"lemontack/internal/upstream"
	"lemontack/internal/wire"
	"lemontack/policy"
)

// backendFake answers commands by their order: what say returns goes out as it is, "" is silence.
type backendFake struct {
	addr     string
	conns    atomic.Int32
	mu       sync.Mutex
	commands [][]string
}

func newBackend(t *testing.T, say func(n int, args []string, nc net.Conn) string) *backendFake {
	b := &backendFake{}
	b.addr = nettest.Serve(t, func(nc net.Conn) {
		b.conns.Add(1)
		in := redcon.NewReader(nc)
		for {
			cmd, err := in.ReadCommand()
			if err != nil {
				return
			}
			var args []string
			for _, a := range cmd.Args {
				args = append(args, string(a))
			}
			b.mu.Lock()
			b.commands = append(b.commands, args)
			n := len(b.commands)
			b.mu.Unlock()
			if say == nil {
				continue
			}
			if s := say(n, args, nc); s != "" {
				io.WriteString(nc, s)
			}
		}
	})
	return b
}

func (b *backendFake) seen() [][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.commands
}

const served = "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

// serving is an endpoint that serves every request with a value; a command in a form that no client sends fails the test.
func serving(t *testing.T, value string) *backendFake {
	f := &backendFake{}
	b := standin.NewBackend(standin.BackendConfig{Value: func(args []string) string {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.commands = append(f.commands, args)
		return value
	}})
	ln := nettest.Listen(t)
	f.addr = ln.Addr().String()
	go b.Serve(&countedListener{ln, &f.conns})
	t.Cleanup(func() {
		b.Close()
		if n := b.Stats().Malformed; n > 0 {
			t.Errorf("%d commands in odd forms", n)
		}
	})
	return f
}

// countedListener counts the connections that it accepts.
type countedListener struct {
	net.Listener
	conns *atomic.Int32
}

func (l *countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		l.conns.Add(1)
	}
	return nc, err
}

// registry is discovery's agent: a list, and a watch that tells what is sent to changes, as versions of its own count.
func registry(t *testing.T, list discovery.EndpointList, changes <-chan discovery.EndpointList) string {
	d, ln, done := standin.NewDiscovery(standin.DiscoveryConfig{InitialRevision: list.Revision - 1}), nettest.Listen(t), make(chan struct{})
	d.SetList(standinTargets(list))
	go d.Serve(ln)
	go func() {
		for {
			select {
			case <-done:
				return
			case f := <-changes:
				if f.Snapshot {
					d.SetList(standinTargets(f))
				} else {
					d.Change(standinTargets(f)...)
				}
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		d.Close()
	})
	return ln.Addr().String()
}

func standinTargets(f discovery.EndpointList) []standin.Target {
	targets := make([]standin.Target, len(f.Entries))
	for i, t := range f.Entries {
		targets[i] = standin.Target(t)
	}
	return targets
}

func fleetOf(addrs ...string) discovery.EndpointList {
	f := discovery.EndpointList{Revision: 1, Snapshot: true}
	for i, a := range addrs {
		f.Entries = append(f.Entries, discovery.Entry{UID: fmt.Sprint("s", i), Endpoint: a, Zone: "a", State: "SERVING"})
	}
	return f
}

// setting up one ingress

func testConfig(disc string, known discovery.EndpointList) Config {
	return Config{Listen: "127.0.0.1:0", Discovery: disc, Sockets: 256, Known: known,
		Settings: policy.Settings{GatewayCount: 1, MaxAttempts: 1, MayCancel: true, MaxUnits: 4,
			Classes: []policy.Class{
				{Name: "read", PriorityWeight: 1, LatencyObjective: 20 * time.Second, Deadline: 60 * time.Second, Idempotency: policy.Idempotent},
				{Name: "write", PriorityWeight: 1, LatencyObjective: 20 * time.Second, Deadline: 60 * time.Second, Idempotency: policy.NonIdempotent},
				{Name: "keyed", PriorityWeight: 1, LatencyObjective: 20 * time.Second, Deadline: 60 * time.Second, Idempotency: policy.IdempotencyKey}},
			Plans: []policy.Plan{{Name: "p", Price: 1}}},
		Connections: wire.Connections{Idle: 15 * time.Second, ConnectTimeout: 5 * time.Second}}
}

// startIngress runs an ingress and returns its address and what stops it and gives Run's result.
func startIngress(t *testing.T, cfg Config) (addr string, stop func() error) {
	t.Helper()
	g, stop := runIngress(t, cfg)
	return g.Addr().String(), stop
}

func startGateway(t *testing.T, cfg Config) (addr string, g *Gateway) {
	t.Helper()
	g, _ = runIngress(t, cfg)
	return g.Addr().String(), g
}

func runIngress(t *testing.T, cfg Config) (g *Gateway, stop func() error) {
	t.Helper()
	g, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	t.Cleanup(func() { stop() })
	select {
	case <-g.Ready():
	case err := <-done:
		done <- err
		t.Fatal("the ingress ended: ", err)
	}
	return g, stop
}

var quiet = slog.New(slog.DiscardHandler)

// requestSource is a client's connection of which the test takes the requests in place of the gateway.
type requestSource struct {
	clientEvents
	received chan *listener.Request
}

// RequestReceived implements listener.Handler.
func (s requestSource) RequestReceived(r *listener.Request) { s.received <- r }

// ClientDisconnected implements listener.Handler.
func (requestSource) ClientDisconnected([]*listener.Request) {}

// sendRequest returns a request as a client's connection of its own brings it, what the client reads, and what makes the client
// leave and returns once its connection has ended.
func sendRequest(t *testing.T, g *Gateway, id int) (r *listener.Request, in *bufio.Reader, leave func()) {
	t.Helper()
	near, far := net.Pipe()
	source := requestSource{clientEvents{g}, make(chan *listener.Request, 1)}
	cfg := g.listenerConfig()
	cfg.Handler = source
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		listener.New(nil, cfg).ServeConn(near)
	}()
	leave = func() {
		far.Close()
		<-ended
	}
	t.Cleanup(leave)
	far.SetDeadline(time.Now().Add(time.Minute))
	if _, err := io.WriteString(far, nettest.Ask(id, nettest.ReadFields)); err != nil {
		t.Fatal(err)
	}
	return <-source.received, bufio.NewReader(far), leave
}

// newClientRequest returns a request of this size, as a client's connection would bring it, and what the client reads.
func newClientRequest(t *testing.T, g *Gateway, id, size int) (r *listener.Request, in *bufio.Reader) {
	t.Helper()
	r, in, _ = sendRequest(t, g, id)
	r.Size, r.Deadline = size, g.now+time.Minute
	return r, in
}

// requestOfAClientThatLeft returns a request whose client has gone since.
func requestOfAClientThatLeft(t *testing.T, g *Gateway) *listener.Request {
	t.Helper()
	r, _, leave := sendRequest(t, g, 1)
	leave()
	return r
}

// serveClient serves a client's connection for the gateway, to its end, which closes the channel.
func serveClient(g *Gateway, nc net.Conn) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.newListener(nil).ServeConn(nc)
	}()
	return done
}

// takeIn brings a request to the gateway; it returns nil where the gateway turned it away.
func takeIn(g *Gateway, r *listener.Request) *request {
	g.handle(requestReceived{r})
	return g.requests.open[r.ID]
}

// idleGateway is one whose goroutine does not run: the test hands it the events itself.
func idleGateway(t *testing.T, addr string) *Gateway {
	g, err := New(testConfig("", fleetOf(addr)), quiet)
	if err != nil {
		t.Fatal(err)
	}
	run(t, g)
	return g
}

// run prepares a gateway for events by hand.
func run(t *testing.T, g *Gateway) {
	ctx, cancel := context.WithCancel(context.Background())
	g.ctx = ctx
	t.Cleanup(func() {
		cancel()
		close(g.stopped)
		g.spawned.Wait()
	})
	g.applyKnownEndpoints()
}

// waitingAttempt is an attempt that has not started, of a request that the gateway does not know.
func waitingAttempt(g *Gateway, id policy.EndpointID) *attempt {
	r := &request{Request: &listener.Request{Args: [][]byte{nil, nil, nil, nil}}}
	return g.newAttempt(r, g.pool.Endpoint(id), g.now+time.Hour)
}

// awaitConnected returns the next event, which must tell of a new connection to an endpoint.
func awaitConnected(t *testing.T, g *Gateway) upstream.Connected {
	t.Helper()
	connected, ok := (<-g.events).(upstreamEvent).event.(upstream.Connected)
	if !ok {
		t.Fatal("the next event does not tell of a connection")
	}
	return connected
}
