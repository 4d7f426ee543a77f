package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"lemontack/policy/quota"
)

const ticksPerObjective = 50 // sweeps in the shortest aim: held requests overstay by 2% of it

// Gateway decides for one gateway; see the package comment.
type Gateway struct {
	settings                          Settings
	rng                               *rand.Rand
	now                               time.Duration
	actions                           []Action
	tickInterval, maxLatencyObjective time.Duration // time between sweeps; longest aim of a class
	maxDeadline                       time.Duration // longest of a class
	tickerStarted, watchingEndpoints  bool          // the sweep runs; changes of the fleet list come

	classes map[string]*classState
	quota   *quota.Manager

	requests       map[RequestID]*request
	activeRequests []*request // in order of arrival
	queue          []*request // the priority queues end to end: highest worth first, in order of arrival within one

	window, meanLatency                       float64       // attempts that may be out; mean latency of answers, seconds
	inFlight, roundNumber                     int           // attempts that fill the window
	timelySamples, lateSamples, lateEndpoints int           // in this round: timely and untimely ends, servers with untimely ones
	roundEnd, lastSend                        time.Duration // when the window's round ends; last attempt out
	retryBudget                               float64       // budget of further attempts

	endpoints           map[EndpointID]*endpoint
	serving             []*endpoint
	gatewaysPerEndpoint float64 // gateways that share each of these, about
	answerRate          float64 // answers a second to this gateway
	answerRateAt        time.Duration

	budgetSpanRate, budgetSpanCapacity float64 // the same, and the capacity that they came from, over the span of a fall
	ratePerWarmEndpoint                float64 // answers a second for each warm server, as of the last

	warmCapacity, warmConnectionShare float64 // the fleet, in warm servers; part of the warm that are linked
	capacityAt                        time.Duration
}

// New returns a gateway, or an error where the settings cannot be decided with.
func New(set Settings, seed uint64) (*Gateway, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	g := &Gateway{settings: set, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), tickInterval: time.Second,
		classes: map[string]*classState{}, requests: map[RequestID]*request{}, endpoints: map[EndpointID]*endpoint{},
		gatewaysPerEndpoint: float64(set.GatewayCount)}
	for _, c := range set.Classes {
		g.classes[c.Name] = &classState{Class: c}
		g.tickInterval = min(g.tickInterval, max(c.LatencyObjective/ticksPerObjective, time.Millisecond))
		g.maxLatencyObjective = max(g.maxLatencyObjective, c.LatencyObjective)
		g.maxDeadline = max(g.maxDeadline, c.Deadline)
	}
	g.settings.MaxAttempts = max(set.MaxAttempts, 1)
	g.settings.CounterTimeout = max(set.CounterTimeout, time.Millisecond)
	g.quota = quota.NewManager(g.quotaConfig(), set.Plans, g.rng, quotaHost{g})
	return g, nil
}

// Handle tells the gateway one event at a time on its clock; it appends what is to be done to out.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.actions = max(now, g.now), out
	if !g.tickerStarted {
		g.tickerStarted = true
		g.emit(SetTimer{After: g.tickInterval})
	}
	switch ev := ev.(type) {
	case Arrival:
		g.handleArrival(ev.Request)
	case AttemptEnded:
		g.handleAttemptEnded(ev)
	case StreamStarted:
		if r := g.requests[ev.ID]; r != nil {
			r.streaming = true
		}
	case ClientDisconnected:
		if r := g.requests[ev.ID]; r != nil && !r.finished {
			g.finish(r)
		}
	case EndpointsChanged:
		g.handleEndpointsChanged(ev)
	case TimerFired:
		g.tick()
	case CounterReply:
		g.handleCounterReply(ev)
	}
	g.dispatch()
	return g.actions
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// tick is the sweep: expired and overdue requests first, so that no freed slot goes to a dead one.
func (g *Gateway) tick() {
	g.emit(SetTimer{After: g.tickInterval})
	if g.settings.PollEndpoints && !g.watchingEndpoints {
		g.watchingEndpoints = true
		g.emit(WatchEndpoints{})
	}
	g.closeRound()
	g.activeRequests = slices.DeleteFunc(g.activeRequests, func(r *request) bool {
		if g.hedgeIfOverdue(r); r.queued || !r.dispatched && !r.finished {
			g.expire(r)
		}
		if r.finished && r.attemptsInFlight == 0 {
			delete(g.requests, r.ID)
		}
		return r.finished && r.attemptsInFlight == 0
	})
	g.quota.Tick()
}
