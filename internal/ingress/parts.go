package ingress

import (
	"context"
	"log/slog"
	"sync"

	"lemontack/policy"
)

// Parts are the sides of an ingress that talk to discovery and to the counter, without clients and backends. A scale
// run drives hundreds of them beside decision modules of its own, so that their messages are the real ones.
type Parts struct {
	disc    *discovery
	counter *counter
}

// Membership is what an ingress keeps of discovery's list.
type Membership struct{ kept *members }

// NewMembership keeps nothing yet.
func NewMembership(set policy.Settings, log *slog.Logger) *Membership {
	return &Membership{newMembers(set, log)}
}

// Take is what a list or a change tells the decision module.
func (m *Membership) Take(f Fleet) Fleet { return m.kept.news(f) }

// NewParts prepares both clients as New does. They post what they learn: a Fleet for a list or a change, and events
// that Counted reads.
func NewParts(cfg Config, post func(any), log *slog.Logger) *Parts {
	tell := func(ev event) { post(ev) }
	pace := paceOf(cfg.Settings.PollEndpoints, cfg.Settings.GatewayCount, len(cfg.Known.Targets) > 0)
	p := &Parts{disc: newDiscovery(cfg.Discovery, cfg.Known.Rev, pace, tell, log),
		counter: newCounter(cfg.Counter, cfg.Settings.CounterTimeout, tell)}
	p.disc.known = newMembers(cfg.Settings, log)
	return p
}

// Known is what the list that the configuration brought tells the decision module; it comes before Run.
func (p *Parts) Known(f Fleet) Fleet { return p.disc.known.news(f) }

// Run keeps the list and serves calls until ctx ends, and returns once nothing of it runs any more.
func (p *Parts) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, l := range p.counter.links {
		all.Go(func() { l.run(ctx) })
	}
	all.Go(func() { p.disc.run(ctx) })
	all.Wait()
}

// Call is a call of the counter that is out.
type Call struct{ call *call }

// Count queues a call; Late has to be asked once the counter's time-out is over.
func (p *Parts) Count(a policy.IncrementCounter) Call {
	k := &call{name: a.Name, add: a.Add, keep: a.Keep}
	p.counter.add(k)
	return Call{k}
}

// Late is the module's reply for a call whose time is over, unless it has had one.
func (c Call) Late() (policy.CounterReply, bool) {
	if c.call.state.CompareAndSwap(callQueued, callDropped) {
		return Counted(counted{call: c.call, outcome: policy.ConnectFailed})
	}
	return Counted(counted{call: c.call, outcome: policy.TimedOut})
}

// Counted is the module's reply, if the event is the counter's; a call has one, and only the owner of Parts asks.
func Counted(ev any) (policy.CounterReply, bool) {
	e, ok := ev.(counted)
	if !ok || e.call.ended {
		return policy.CounterReply{}, false
	}
	e.call.ended = true
	return policy.CounterReply{Name: e.call.name, Outcome: e.outcome, Total: e.total}, true
}

// Changed is the list as the module's event.
func (f Fleet) Changed() policy.EndpointsChanged {
	ev := policy.EndpointsChanged{Snapshot: f.All, GatewaysPerEndpoint: f.Sharers, Endpoints: make([]policy.Endpoint, len(f.Targets))}
	for i, t := range f.Targets {
		ev.Endpoints[i] = t.server()
	}
	return ev
}
