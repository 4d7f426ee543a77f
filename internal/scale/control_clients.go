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

// The types below wrap the clients of discovery and of the counter, which hollow ingresses share with real ones.

// endpointUpdate is a complete list of endpoints, or a change of some of them, for the policy.
type endpointUpdate struct{ list discovery.EndpointList }

// newSnapshot returns a complete list of endpoints.
func newSnapshot(revision int64, targets []standin.Target) endpointUpdate {
	return endpointUpdate{discovery.EndpointList{Revision: revision, IsSnapshot: true, Entries: listEntries(targets)}}
}

// newChange returns a change of the given endpoints only.
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

func (update endpointUpdate) revision() int64  { return update.list.Revision }
func (update endpointUpdate) isSnapshot() bool { return update.list.IsSnapshot }
func (update endpointUpdate) size() int        { return len(update.list.Entries) }

func (update endpointUpdate) event() policy.EndpointsChanged { return update.list.PolicyEvent() }

// endpointSubset is the part of discovery's list that an ingress keeps.
type endpointSubset struct{ cache *discovery.Cache }

func newEndpointSubset(settings policy.Settings) endpointSubset {
	return endpointSubset{discovery.NewCache(settings, slog.New(slog.DiscardHandler))}
}

// apply returns the part of an update that the policy receives, which may be empty.
func (s endpointSubset) apply(update endpointUpdate) endpointUpdate {
	return endpointUpdate{s.cache.Apply(update.list)}
}

// clientConfig configures the clients of discovery and of the counter of one ingress.
type clientConfig struct {
	discoveryAddr string
	counterAddr   string
	knownList     endpointUpdate // endpoint list in the ingress's configuration
	settings      policy.Settings
}

// controlClients are the real clients of discovery and of the counter of one ingress.
type controlClients struct {
	discovery *discovery.Client
	counter   *counterclient.Client
}

// newControlClients returns both clients. Once run, they post an endpointUpdate or a counterResult from their own
// goroutines.
func newControlClients(cfg clientConfig, post func(clientEvent), log *slog.Logger) controlClients {
	discoveryConfig := discovery.Config{Address: cfg.discoveryAddr, KnownList: cfg.knownList.list, Settings: cfg.settings}
	return controlClients{
		discovery: discovery.NewClient(discoveryConfig,
			func(list discovery.EndpointList) { post(endpointUpdate{list}) }, log),
		counter: counterclient.New(cfg.counterAddr, cfg.settings.CounterTimeout,
			func(result counterclient.Result) { post(counterResult{result}) }),
	}
}

// applyKnownList returns the part of the known list that the policy receives. It must be called before run.
func (clients controlClients) applyKnownList(knownList endpointUpdate) endpointUpdate {
	return endpointUpdate{clients.discovery.ApplyKnownList(knownList.list)}
}

// run keeps both clients connected until ctx ends, and returns once their goroutines have ended.
func (clients controlClients) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { clients.discovery.Run(ctx) }) // ends with ctx
	running.Go(func() { clients.counter.Run(ctx) })   // ends with ctx
	running.Wait()
}

// increment queues a call of the counter and never blocks. The caller has to call expire once the timeout has passed.
func (clients controlClients) increment(a policy.IncrementCounter) counterCall {
	return counterCall{clients.counter.Increment(a)}
}

type counterCall struct{ call *counterclient.Call }

// expire ends the call at its timeout; it returns false if the call already has its reply.
func (cc counterCall) expire() (policy.CounterReply, bool) { return cc.call.Expire().Reply() }

type counterResult struct{ result counterclient.Result }

// reply returns the event for the policy, or false if the call already ended at its timeout.
func (res counterResult) reply() (policy.CounterReply, bool) { return res.result.Reply() }
