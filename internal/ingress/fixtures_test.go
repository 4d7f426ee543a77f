package ingress

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"lemontack/internal/discovery"
	"lemontack/internal/upstream"
	"lemontack/internal/wire"
	"lemontack/policy"
)

// testConfig returns the configuration of a single gateway, with one class of each idempotency.
func testConfig(discoveryAddr string, known discovery.EndpointList) Config {
	return Config{Listen: "127.0.0.1:0", Discovery: discoveryAddr, Sockets: 256, KnownList: known,
		Settings: policy.Settings{GatewayCount: 1, MaxAttempts: 1, MayCancel: true, MaxUnits: 4,
			Classes: []policy.Class{
				{Name: "read", PriorityWeight: 1, LatencyObjective: 20 * time.Second, Deadline: 60 * time.Second,
					Idempotency: policy.Idempotent},
				{Name: "write", PriorityWeight: 1, LatencyObjective: 20 * time.Second, Deadline: 60 * time.Second,
					Idempotency: policy.NonIdempotent},
				{Name: "keyed", PriorityWeight: 1, LatencyObjective: 20 * time.Second, Deadline: 60 * time.Second,
					Idempotency: policy.IdempotencyKey}},
			Plans: []policy.Plan{{Name: "p", Price: 1}}},
		Connections: wire.ConnectionSettings{IdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second}}
}

// startIngress runs an ingress. stop shuts it down and returns the result of Run; the cleanup of the test calls it too.
func startIngress(t *testing.T, cfg Config) (addr string, stop func() error) {
	t.Helper()
	g, stop := runIngress(t, cfg)
	return g.Addr().String(), stop
}

// startGateway runs an ingress and also returns its gateway.
func startGateway(t *testing.T, cfg Config) (addr string, g *Gateway) {
	t.Helper()
	g, _ = runIngress(t, cfg)
	return g.Addr().String(), g
}

// runIngress runs an ingress and returns once it is ready.
func runIngress(t *testing.T, cfg Config) (g *Gateway, stop func() error) {
	t.Helper()
	g, err := New(cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }() // ended by cancel; stop waits for it
	stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	t.Cleanup(func() { stop() })
	select {
	case <-g.Ready():
	case err := <-done:
		done <- err
		t.Fatal("the ingress ended before it was ready: ", err)
	}
	return g, stop
}

// discardLog is a logger that discards its records.
var discardLog = slog.New(slog.DiscardHandler)

// serveClient serves a client connection. The returned channel is closed when the connection has ended.
func serveClient(g *Gateway, nc net.Conn) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.newListener(nil).ServeConn(nc)
	}()
	return done
}

// idleGateway returns a gateway whose event loop does not run. The test passes events to it.
func idleGateway(t *testing.T, cfg Config) *Gateway {
	t.Helper()
	g, err := New(cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.ctx = ctx
	t.Cleanup(func() {
		cancel()
		close(g.loopDone)
		g.goroutines.Wait()
	})
	g.applyKnownList()
	return g
}

// awaitConnected returns the next event, which must be upstream.Connected.
func awaitConnected(t *testing.T, g *Gateway) upstream.Connected {
	t.Helper()
	connected, ok := (<-g.events).(upstreamEvent).event.(upstream.Connected)
	if !ok {
		t.Fatal("the next event is not upstream.Connected")
	}
	return connected
}
