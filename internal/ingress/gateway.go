// Package ingress connects the policy with the network. It converts input from sockets to policy events and executes the
// policy's actions. Routing and admission decisions are the policy's.
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
	defaultRetryAfter = 250 * time.Millisecond // upper bound of the retry advice in rejectionReply
	// firstListTimeout is how long a starting gateway waits for discovery's list before it serves from the known list.
	firstListTimeout = 300 * time.Millisecond
)

// Gateway is one ingress. Its event loop owns the policy, the request table and the connection pool. The listener, the counter
// client, the discovery client and the connections have their own goroutines and post events to the loop.
type Gateway struct {
	eventLoop
	policyDriver

	cfg      Config
	log      *slog.Logger
	observer *observer
	stalls   *stall.Detector

	// Values derived from the settings; read-only after New, so safe for concurrent use.
	classes        map[string]policy.Class
	plans          map[string]bool
	maxUnits       float64 // per request
	maxAttempts    int     // per request
	rejectionReply []byte  // reply to a request that is not admitted

	// Used by the event loop; Run and SetAddresses also use counter and discovery.
	requests  requestTable
	pool      *upstream.Pool
	counter   *counterclient.Client
	discovery *discovery.Client

	gatewaysPerEndpoint float64       // latest estimate of the discovery client
	shutdownDeadline    time.Duration // zero until a shutdown begins

	openListener func() (net.Listener, error) // opens the client listener; replaced in tests
	ready        chan struct{}                // closed once the gateway accepts clients
	addr         net.Addr                     // set before ready is closed
}

// New validates the configuration and returns a gateway that has not started.
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
		observer:       newObserver(log),
		stalls:         stall.NewDetector(start),
		classes:        map[string]policy.Class{},
		plans:          map[string]bool{},
		maxUnits:       cmp.Or(cfg.Settings.MaxUnits, math.MaxFloat64),
		maxAttempts:    max(cfg.Settings.MaxAttempts, 1),
		rejectionReply: busyResponse(min(defaultRetryAfter, cfg.Settings.MaxRetryAfter)),
		requests:       newRequestTable(cfg.Connections.MaxOpenRequests, cfg.memoryShare()),
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

// newPool returns the pool of endpoint connections. All its methods are called on the event loop.
func (g *Gateway) newPool() *upstream.Pool {
	return upstream.NewPool(upstream.Config{
		Now:            func() time.Duration { return g.now },
		After:          g.scheduleAfter,
		Post:           func(ev upstream.Event) { g.post(upstreamEvent{ev}) },
		Go:             g.spawn,
		MaxConnections: g.cfg.maxUpstreamConnections(),
		ConnectTimeout: g.cfg.Connections.ConnectTimeout,
		IdleTimeout:    g.cfg.Connections.IdleTimeout,
		ReplyMemory:    resp.NewMemoryBudget(g.cfg.memoryShare()),

		OnUnsolicitedInput: g.observer.unsolicitedInput,
	})
}

// newCounterClient returns a client of the shared counter that posts the results of its calls to the event loop.
func (g *Gateway) newCounterClient() *counterclient.Client {
	return counterclient.New(g.cfg.Counter, g.cfg.Settings.CounterTimeout,
		func(result counterclient.Result) { g.post(counterCallEnded{result}) })
}

func (g *Gateway) discoveryConfig() discovery.Config {
	return discovery.Config{
		Address:   g.cfg.Discovery,
		KnownList: g.cfg.KnownList,
		Subset:    g.cfg.Subset,
		Settings:  g.cfg.Settings,
		Random:    rand.New(rand.NewPCG(g.cfg.Seed, uint64(g.cfg.Settings.GatewayIndex))),
	}
}

// newDiscoveryClient returns a discovery client that posts endpoint lists to the event loop.
func (g *Gateway) newDiscoveryClient(config discovery.Config) *discovery.Client {
	return discovery.NewClient(config, func(list discovery.EndpointList) { g.post(endpointsUpdated{list}) }, g.log)
}

// Ready returns a channel that is closed once the gateway accepts clients.
func (g *Gateway) Ready() <-chan struct{} { return g.ready }

// Addr returns the address of the client listener. It must not be called before Ready is closed.
func (g *Gateway) Addr() net.Addr { return g.addr }

// SetAddresses switches discovery and the counter to new addresses. It does not block and may be called at any time; the last
// call takes effect. Client connections, endpoint connections and the policy's state are unchanged.
func (g *Gateway) SetAddresses(discoveryAddress, counterAddress string) {
	g.discovery.SetAddress(discoveryAddress)
	g.counter.SetAddress(counterAddress)
}

// Run serves until ctx is cancelled. It then answers the admitted requests and returns.
func (g *Gateway) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer func() {
		stop()
		g.goroutines.Wait()
	}()
	g.ctx = runCtx
	knownEndpoints := len(g.cfg.KnownList.Entries)
	g.applyKnownList()
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

// startBackgroundGoroutines starts the event loop, the counter and discovery clients, and the logging of counters.
func (g *Gateway) startBackgroundGoroutines() {
	g.spawn(g.loop)
	g.spawn(g.counter.Run)
	g.spawn(g.discovery.Run)
	g.spawn(g.observer.logCountersPeriodically)
}

// startListener starts accepting clients and closes the ready channel.
func (g *Gateway) startListener() (*listener.Server, error) {
	ln, err := g.openListener()
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	clients := g.newListener(ln)
	g.spawn(func(context.Context) { clients.Serve() }) // ends when ln is closed
	g.spawn(clients.SweepIdle)
	g.addr = ln.Addr()
	close(g.ready)
	return clients, nil
}
