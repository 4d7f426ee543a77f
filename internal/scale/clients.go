package scale

import (
	"context"
	"log/slog"
	"sync"

	"lemontack/internal/counterclient"
	"lemontack/internal/discovery"
	"lemontack/policy"
)

// clientConfig is what the clients of an ingress are created from.
type clientConfig struct {
	Discovery, Counter string // addresses
	Known              discovery.EndpointList
	Settings           policy.Settings
}

// liveClients are the clients of an ingress that talk to discovery and to the counter, without clients and backends. A
// scale run drives hundreds of them beside decision modules of its own, so that their messages are the real ones.
type liveClients struct {
	discovery *discovery.Client
	counter   *counterclient.Client
}

// newLiveClients returns clients that do not run yet. They post a discovery.EndpointList for each list or change, and a
// counterclient.Result for each call that ends.
func newLiveClients(config clientConfig, post func(any), log *slog.Logger) *liveClients {
	discoveryConfig := discovery.Config{Address: config.Discovery, Known: config.Known, Settings: config.Settings}
	return &liveClients{
		discovery: discovery.NewClient(discoveryConfig, func(list discovery.EndpointList) { post(list) }, log),
		counter: counterclient.New(config.Counter, config.Settings.CounterTimeout,
			func(result counterclient.Result) { post(result) }),
	}
}

// run keeps the endpoint list and serves calls until ctx ends. All goroutines of the clients have ended when it returns.
func (c *liveClients) run(ctx context.Context) {
	var running sync.WaitGroup
	// Both end with ctx; awaited below.
	running.Go(func() { c.counter.Run(ctx) })
	running.Go(func() { c.discovery.Run(ctx) })
	running.Wait()
}
