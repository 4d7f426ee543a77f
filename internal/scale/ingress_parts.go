package scale

import (
	"context"
	"log/slog"

	"lemontack/internal/ingress"
	"lemontack/internal/standin"
	"lemontack/policy"
)

// This file is the only one that knows the types of package ingress: what the hollow ingresses use of a real one
// passes through the types below.

// endpointUpdate is a list of endpoints, or a change of some, on its way to a decision module.
type endpointUpdate struct{ fleet ingress.Fleet }

// newSnapshot returns a complete list of endpoints.
func newSnapshot(revision int64, targets []standin.Target) endpointUpdate {
	return endpointUpdate{ingress.Fleet{Rev: revision, All: true, Targets: ingressTargets(targets)}}
}

// newChange returns a change of the listed endpoints alone.
func newChange(revision int64, targets ...standin.Target) endpointUpdate {
	return endpointUpdate{ingress.Fleet{Rev: revision, Targets: ingressTargets(targets)}}
}

func ingressTargets(targets []standin.Target) []ingress.Target {
	list := make([]ingress.Target, len(targets))
	for i, t := range targets {
		list[i] = ingress.Target(t)
	}
	return list
}

func (u endpointUpdate) revision() int64  { return u.fleet.Rev }
func (u endpointUpdate) isSnapshot() bool { return u.fleet.All }
func (u endpointUpdate) size() int        { return len(u.fleet.Targets) }

// event returns the update as the decision module receives it.
func (u endpointUpdate) event() policy.EndpointsChanged { return u.fleet.Changed() }

// endpointSubset is what an ingress keeps of discovery's list.
type endpointSubset struct{ membership *ingress.Membership }

func newEndpointSubset(settings policy.Settings) endpointSubset {
	return endpointSubset{ingress.NewMembership(settings, slog.New(slog.DiscardHandler))}
}

// apply returns the part of an update that the decision module learns of, which may be empty.
func (s endpointSubset) apply(u endpointUpdate) endpointUpdate {
	return endpointUpdate{s.membership.Take(u.fleet)}
}

// clientConfig says what the clients of discovery and of the counter of one ingress connect to.
type clientConfig struct {
	discoveryAddr string
	counterAddr   string
	cached        endpointUpdate // the list that the ingress's configuration holds
	settings      policy.Settings
}

// controlClients are the real clients of discovery and of the counter of one ingress.
type controlClients struct{ parts *ingress.Parts }

// newControlClients prepares both clients; they post an endpointUpdate or a counterResult from goroutines of their own.
func newControlClients(cfg clientConfig, post func(clientEvent), log *slog.Logger) controlClients {
	ingressConfig := ingress.Config{Discovery: cfg.discoveryAddr, Counter: cfg.counterAddr, Known: cfg.cached.fleet,
		Settings: cfg.settings}
	return controlClients{ingress.NewParts(ingressConfig, func(event any) {
		if fleet, ok := event.(ingress.Fleet); ok {
			post(endpointUpdate{fleet})
			return
		}
		post(counterResult{event})
	}, log)}
}

// applyCached returns what the decision module learns of the cached list; it comes before run.
func (c controlClients) applyCached(cached endpointUpdate) endpointUpdate {
	return endpointUpdate{c.parts.Known(cached.fleet)}
}

// run keeps both clients connected until ctx ends, and returns once their goroutines have ended.
func (c controlClients) run(ctx context.Context) { c.parts.Run(ctx) }

// increment starts a call of the counter.
func (c controlClients) increment(a policy.IncrementCounter) counterCall {
	return counterCall{c.parts.Count(a)}
}

// counterCall is a call of the counter that is in flight.
type counterCall struct{ call ingress.Call }

// expire ends the call at its timeout; it returns false where the call has had its reply.
func (c counterCall) expire() (policy.CounterReply, bool) { return c.call.Late() }

// counterResult is what the counter's client posts of a call.
type counterResult struct{ event any }

// reply is the decision module's event; it returns false where the call has ended at its timeout.
func (r counterResult) reply() (policy.CounterReply, bool) { return ingress.Counted(r.event) }
