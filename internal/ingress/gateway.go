// Package ingress connects the policy with sockets: it turns what comes on them into the policy's events and carries out the
// policy's actions. It decides nothing itself.
package ingress

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"lemontack/internal/counterclient"
	"lemontack/internal/discovery"
	"lemontack/internal/listener"
	"lemontack/internal/resp"
	"lemontack/internal/stall"
	"lemontack/internal/upstream"
	"lemontack/policy"
)

const (
	defaultRetryAfter = 250 * time.Millisecond // advice to clients that are rejected here, where the settings allow as much
	// firstListTimeout is what a start waits for discovery before it serves from the known list.
	firstListTimeout = 300 * time.Millisecond
)

// Gateway is one ingress. Its event loop owns the policy and the table of requests; the parts beside it have goroutines of
// their own and post events.
type Gateway struct {
	eventLoop
	policyDriver

	cfg     Config
	log     *slog.Logger
	observe *observer
	stalls  *stall.Detector

	// Of the settings; unchanged after New.
	classes        map[string]policy.Class
	plans          map[string]bool
	maxUnits       float64 // of one request
	maxAttempts    int     // of one request
	rejectionReply []byte  // the answer to what is not admitted

	// Parts.
	requests  requestTable
	pool      *upstream.Pool
	counter   *counterclient.Client
	discovery *discovery.Client

	gatewaysPerEndpoint float64       // as discovery last told
	shutdownDeadline    time.Duration // 0: no shutdown has begun

	openListener func() (net.Listener, error) // for clients
	ready        chan struct{}
	addr         net.Addr // set before ready is closed
}

// New checks the configuration and returns an ingress that does not run yet.
func New(cfg Config, log *slog.Logger) (*Gateway, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	policyGateway, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("creating the policy: %w", err)
	}
	start := time.Now()
	g := &Gateway{
		eventLoop:      newEventLoop(start),
		policyDriver:   policyDriver{policy: policyGateway},
		cfg:            cfg,
		log:            log,
		observe:        newObserver(log),
		stalls:         stall.NewDetector(start),
		classes:        map[string]policy.Class{},
		plans:          map[string]bool{},
		maxUnits:       cmp.Or(cfg.Settings.MaxUnits, math.MaxFloat64),
		maxAttempts:    max(cfg.Settings.MaxAttempts, 1),
		rejectionReply: busyResponse(min(defaultRetryAfter, cfg.Settings.MaxRetryAfter)),
		requests:       newRequestTable(cfg.Connections.MaxOpen, cfg.memoryShare()),
		ready:          make(chan struct{}),
	}
	for _, class := range cfg.Settings.Classes {
		g.classes[class.Name] = class
	}
	for _, plan := range cfg.Settings.Plans {
		g.plans[plan.Name] = true
	}
	g.openListener = func() (net.Listener, error) { return net.Listen("tcp", cfg.Listen) }
	g.pool = g.newPool()
	g.counter = g.newCounterClient()
	g.discovery = g.newDiscoveryClient(g.discoveryConfig())
	return g, nil
}

// newPool returns the pool of the connections to endpoints; it runs on the event loop.
func (g *Gateway) newPool() *upstream.Pool {
	return upstream.NewPool(upstream.Config{
		Now:            func() time.Duration { return g.now },
		After:          g.scheduleAfter,
		Post:           func(ev upstream.Event) { g.post(upstreamEvent{ev}) },
		Go:             g.spawn,
		MaxConnections: g.cfg.maxUpstreamConnections(),
		ConnectTimeout: g.cfg.Connections.ConnectTimeout,
		IdleTimeout:    g.cfg.Connections.Idle,
		ReplyMemory:    resp.NewMemoryBudget(g.cfg.memoryShare()),
	})
}

// newCounterClient returns a client of the shared counter that posts the ends of its calls to the event loop.
func (g *Gateway) newCounterClient() *counterclient.Client {
	return counterclient.New(g.cfg.Counter, g.cfg.Settings.CounterTimeout,
		func(result counterclient.Result) { g.post(counterCallEnded{result}) })
}

// discoveryConfig returns the configuration of the discovery client.
func (g *Gateway) discoveryConfig() discovery.Config {
	return discovery.Config{
		Address:  g.cfg.Discovery,
		Known:    g.cfg.KnownEndpoints,
		Subset:   g.cfg.Subset,
		Settings: g.cfg.Settings,
		Random:   rand.New(rand.NewPCG(g.cfg.Seed, uint64(g.cfg.Settings.Index))),
	}
}

// newDiscoveryClient returns a discovery client that posts its lists to the event loop.
func (g *Gateway) newDiscoveryClient(config discovery.Config) *discovery.Client {
	return discovery.NewClient(config, func(list discovery.EndpointList) { g.post(endpointsUpdated{list}) }, g.log)
}

// Ready returns a channel that closes when clients are accepted.
func (g *Gateway) Ready() <-chan struct{} { return g.ready }

// Addr returns the address that clients connect to, once Ready has closed.
func (g *Gateway) Addr() net.Addr { return g.addr }

// UpdateAddresses goes over to discovery and a counter at other addresses. It waits for nothing, may be called at any time, and the last
// of several calls counts. Clients, endpoints and the policy's state are left as they are.
func (g *Gateway) UpdateAddresses(discoveryAddress, counterAddress string) {
	g.discovery.Move(discoveryAddress)
	g.counter.Move(counterAddress)
}

// Run serves until ctx ends, then answers what it has admitted and returns.
func (g *Gateway) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer func() {
		stop()
		g.goroutines.Wait()
	}()
	g.ctx = runCtx
	knownEndpoints := len(g.cfg.KnownEndpoints.Entries)
	g.applyKnownEndpoints()
	g.startBackgroundGoroutines()
	select {
	case <-g.discovery.Ready():
	case <-time.After(firstListTimeout):
	case <-ctx.Done():
		return nil
	}
	clients, err := g.startListener()
	if err != nil {
		return err
	}
	g.log.Info("serving", "listen", g.cfg.Listen, "gateways", g.cfg.Settings.GatewayCount,
		"known_endpoints", knownEndpoints, "polls_discovery", g.cfg.Settings.PollEndpoints)
	<-ctx.Done()
	g.shutDown(runCtx, clients)
	return nil
}

// startBackgroundGoroutines starts all goroutines but those for clients.
func (g *Gateway) startBackgroundGoroutines() {
	g.spawn(g.loop)
	g.spawn(g.counter.Run)
	g.spawn(g.discovery.Run)
	g.spawn(g.observe.logCountersPeriodically)
}

// startListener begins to accept clients.
func (g *Gateway) startListener() (*listener.Server, error) {
	ln, err := g.openListener()
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	clients := g.newListener(ln)
	g.spawn(func(context.Context) { clients.Serve() }) // ends when the socket is closed
	g.spawn(clients.SweepIdle)
	g.addr = ln.Addr()
	close(g.ready)
	return clients, nil
}
