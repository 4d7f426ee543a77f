package scale

import (
	"context"
	"log/slog"
	"sync"

	"lemontack/internal/counterclient"
	"lemontack/internal/discovery"
	"lemontack/internal/standin"
	"lemontack/policy"
)

// What the hollow ingresses share with a real one, its clients of discovery and of the counter, passes through the types below.

// endpointUpdate is a list of endpoints, or a change of some, on its way to a decision module.
type endpointUpdate struct{ list discovery.EndpointList }

// newSnapshot returns a complete list of endpoints.
func newSnapshot(revision int64, targets []standin.Target) endpointUpdate {
	return endpointUpdate{discovery.EndpointList{Revision: revision, Snapshot: true, Entries: listEntries(targets)}}
}

// newChange returns a change of the listed endpoints alone.
func newChange(revision int64, targets ...standin.Target) endpointUpdate {
	return endpointUpdate{discovery.EndpointList{Revision: revision, Entries: listEntries(targets)}}
}

func listEntries(targets []standin.Target) []discovery.Entry {
	entries := make([]discovery.Entry, len(targets))
	for i, target := range targets {
		entries[i] = discovery.Entry(target)
	}
	return entries
}

func (u endpointUpdate) revision() int64  { return u.list.Revision }
func (u endpointUpdate) isSnapshot() bool { return u.list.Snapshot }
func (u endpointUpdate) size() int        { return len(u.list.Entries) }

// event returns the update as the decision module receives it.
func (u endpointUpdate) event() policy.EndpointsChanged { return u.list.PolicyEvent() }

// endpointSubset is what an ingress keeps of discovery's list.
type endpointSubset struct{ cache *discovery.Cache }

func newEndpointSubset(settings policy.Settings) endpointSubset {
	return endpointSubset{discovery.NewCache(settings, slog.New(slog.DiscardHandler))}
}

// apply returns the part of an update that the decision module learns of, which may be empty.
func (s endpointSubset) apply(u endpointUpdate) endpointUpdate {
	return endpointUpdate{s.cache.Apply(u.list)}
}

// clientConfig says what the clients of discovery and of the counter of one ingress connect to.
type clientConfig struct {
	discoveryAddr string
	counterAddr   string
	cached        endpointUpdate // the list that the ingress's configuration holds
	settings      policy.Settings
}

// controlClients are the real clients of discovery and of the counter of one ingress.
type controlClients struct {
	discovery *discovery.Client
	counter   *counterclient.Client
}

// newControlClients prepares both clients; they post an endpointUpdate or a counterResult from goroutines of their own.
func newControlClients(cfg clientConfig, post func(clientEvent), log *slog.Logger) controlClients {
	discoveryConfig := discovery.Config{Address: cfg.discoveryAddr, KnownList: cfg.cached.list, Settings: cfg.settings}
	return controlClients{
		discovery: discovery.NewClient(discoveryConfig,
			func(list discovery.EndpointList) { post(endpointUpdate{list}) }, log),
		counter: counterclient.New(cfg.counterAddr, cfg.settings.CounterTimeout,
			func(result counterclient.Result) { post(counterResult{result}) }),
	}
}

// applyCached returns what the decision module learns of the cached list; it comes before run.
func (c controlClients) applyCached(cached endpointUpdate) endpointUpdate {
	return endpointUpdate{c.discovery.ApplyKnownList(cached.list)}
}

// run keeps both clients connected until ctx ends, and returns once their goroutines have ended.
func (c controlClients) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { c.discovery.Run(ctx) }) // ends with ctx
	running.Go(func() { c.counter.Run(ctx) })   // ends with ctx
	running.Wait()
}

// increment starts a call of the counter.
func (c controlClients) increment(a policy.IncrementCounter) counterCall {
	return counterCall{c.counter.Increment(a)}
}

// counterCall is a call of the counter that is in flight.
type counterCall struct{ call *counterclient.Call }

// expire ends the call at its timeout; it returns false where the call has had its reply.
func (c counterCall) expire() (policy.CounterReply, bool) { return c.call.Expire().Reply() }

// counterResult is the end of a call of the counter.
type counterResult struct{ result counterclient.Result }

// reply is the decision module's event; it returns false where the call has ended at its timeout.
func (r counterResult) reply() (policy.CounterReply, bool) { return r.result.Reply() }
