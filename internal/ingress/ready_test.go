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

// readyClock is the time within which nine in ten restarted processes are ready.
const readyClock = 10 * time.Second

// longList is a known list of so many backends.
func longList(n int) discovery.EndpointList {
	f := discovery.EndpointList{Revision: 1, Snapshot: true}
	for i := range n {
		f.Entries = append(f.Entries, discovery.Entry{UID: fmt.Sprintf("s-%08x", i), Endpoint: "127.0.0.1:9", State: "SERVING"})
	}
	return f
}

// A fleet that restarts at one moment is ready on its known lists, whatever discovery does: 300 ingresses on a driven clock,
// before one discovery that is up and slow, silent or down, told or asking, with lists of any length. What a long list costs in
// processor time stays out of it.
func TestFleetIsReadyWithoutDiscovery(t *testing.T) {
	for _, c := range []struct {
		name     string
		state    standin.State
		perCall  time.Duration // at discovery, one after another
		n, known int
	}{
		{"up", standin.Up, 0, 300, 200},
		{"slow", standin.Up, 100 * time.Millisecond, 300, 200},
		{"silent", standin.Silent, 0, 300, 200},
		{"down", standin.Down, 0, 300, 200},
		{"slow, nothing known", standin.Up, 100 * time.Millisecond, 300, 0},
		{"silent, nothing known", standin.Silent, 0, 300, 0},
		{"silent, a long list", standin.Silent, 0, 3, 50_000},
	} {
		for _, asked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, asking %v", c.name, asked), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					cfg := standin.DiscoveryConfig{}
					if c.perCall > 0 {
						cfg.CallsPerSecond = float64(time.Second / c.perCall)
					}
					at := standin.NewDiscovery(cfg)
					at.SetState(c.state)
					began := time.Now()
					gateways, stop := startFleet(t, c.n, asked, longList(c.known), at)
					defer stop()
					ready := 0
					for _, g := range gateways {
						<-g.Ready()
						if time.Since(began) <= readyClock/10 {
							ready++
						}
					}
					if ready < c.n*9/10 {
						t.Errorf("%d of %d ready within a tenth of the clock, the last after %v", ready, c.n, time.Since(began))
					}
				})
			})
		}
	}
}

// startFleet runs n ingresses in memory; stop ends them all.
func startFleet(t *testing.T, n int, asked bool, known discovery.EndpointList, at *standin.Discovery) (all []*Gateway, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	registry := standin.NewPipeListener()
	var running sync.WaitGroup
	running.Go(func() { at.Serve(registry) })
	for i := range n {
		cfg := testConfig("127.0.0.1:1", known)
		cfg.Seed = uint64(i)
		cfg.Settings.Index, cfg.Settings.GatewayCount, cfg.Settings.PollEndpoints = i, n, asked
		g, err := New(cfg, quiet)
		if err != nil {
			t.Fatal(err)
		}
		g.listen = func() (net.Listener, error) { return standin.NewPipeListener(), nil }
		config := g.discoveryConfig()
		config.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return registry.Dial(ctx) }
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
		at.Close()
		running.Wait()
	}
}
