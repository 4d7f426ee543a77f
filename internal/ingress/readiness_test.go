package ingress

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lemontack/internal/discovery"
	"lemontack/internal/standin"
)

// readyDeadline is the time within which nine of ten restarted processes must be ready.
const readyDeadline = 10 * time.Second

func longList(n int) discovery.EndpointList {
	list := discovery.EndpointList{Revision: 1, IsSnapshot: true}
	for i := range n {
		list.Entries = append(list.Entries, discovery.Entry{UID: fmt.Sprintf("s-%08x", i), Address: "127.0.0.1:9", State: "SERVING"})
	}
	return list
}

// Gateways that restart at the same time are ready with their known lists, whether discovery is up, slow, silent or down.
// The test uses a simulated clock, so the processor time for a long list is not measured.
func TestRestartedGatewaysAreReadyWithoutDiscovery(t *testing.T) {
	for _, c := range []struct {
		name                         string
		state                        standin.ServiceState
		callDuration                 time.Duration // duration of a call; discovery handles calls one at a time
		gatewayCount, knownEndpoints int
	}{
		{"up", standin.Up, 0, 300, 200},
		{"slow", standin.Up, 100 * time.Millisecond, 300, 200},
		{"silent", standin.Silent, 0, 300, 200},
		{"down", standin.Down, 0, 300, 200},
		{"slow, no known list", standin.Up, 100 * time.Millisecond, 300, 0},
		{"silent, no known list", standin.Silent, 0, 300, 0},
		{"silent, long known list", standin.Silent, 0, 3, 50_000},
	} {
		for _, isPolling := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, poll %v", c.name, isPolling), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					cfg := standin.DiscoveryConfig{}
					if c.callDuration > 0 {
						cfg.CallsPerSecond = float64(time.Second / c.callDuration)
					}
					service := standin.NewDiscovery(cfg)
					service.SetState(c.state)
					startedAt := time.Now()
					gateways, stop := startGateways(t, c.gatewayCount, isPolling, longList(c.knownEndpoints), service)
					defer stop()
					ready := 0
					for _, g := range gateways {
						<-g.Ready()
						if time.Since(startedAt) <= readyDeadline/10 {
							ready++
						}
					}
					if ready < c.gatewayCount*9/10 {
						t.Errorf("%d of %d ready within a tenth of the deadline, want 9 of 10; the last after %v",
							ready, c.gatewayCount, time.Since(startedAt))
					}
				})
			})
		}
	}
}

// startGateways runs n gateways that connect to discovery over in-memory pipes. stop ends all of them and waits.
func startGateways(t *testing.T, n int, isPolling bool, known discovery.EndpointList, service *standin.Discovery) (
	all []*Gateway, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	pipes := standin.NewPipeListener()
	var running sync.WaitGroup
	running.Go(func() { service.Serve(pipes) })
	for i := range n {
		cfg := testConfig("127.0.0.1:1", known)
		cfg.Seed = uint64(i)
		cfg.Settings.GatewayIndex, cfg.Settings.GatewayCount, cfg.Settings.PollEndpoints = i, n, isPolling
		g, err := New(cfg, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		g.openListener = func() (net.Listener, error) { return standin.NewPipeListener(), nil }
		config := g.discoveryConfig()
		config.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return pipes.Dial(ctx) }
		g.discovery = g.newDiscoveryClient(config)
		all = append(all, g)
		running.Go(func() {
			if err := g.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	return all, func() {
		cancel()
		service.Close()
		running.Wait()
	}
}
