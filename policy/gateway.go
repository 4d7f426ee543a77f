package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"lemontack/policy/balancer"
	"lemontack/policy/latency"
	"lemontack/policy/limiter"
	"lemontack/policy/queue"
	"lemontack/policy/quota"
)

const (
	// ticksPerObjective is the number of ticks in the shortest latency objective: requests that wait are late
	// by 2% of it at most when they are looked at.
	ticksPerObjective = 50
	// minTickInterval bounds the CPU time that ticks take.
	minTickInterval = time.Millisecond
	// maxTickInterval lets every gateway look at its requests and customers once a second.
	maxTickInterval = time.Second
	// minCounterTimeout bounds Settings.CounterTimeout below: the backoff after failures is a multiple of it.
	minCounterTimeout = time.Millisecond

	// seedMix makes a second word of the seed, which differs in many bits: the golden ratio in 64 bits.
	seedMix = 0x9e3779b97f4a7c15
)

// Gateway decides for one gateway process: it is told of events, and returns the actions to be taken. It owns
// the parts that decide, dispatches the events to them, and has the clock and the random source that they
// share. It is single-threaded and starts no goroutine: the clock comes with the events.
type Gateway struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action // of the event that is being handled

	tickInterval        time.Duration // time between two ticks
	tickerStarted       bool
	watchingEndpoints   bool          // changes of the endpoint list come
	maxLatencyObjective time.Duration // longest of a class
	maxDeadline         time.Duration // longest of a class

	classes map[string]*classState
	quota   *quota.Manager

	requests       map[RequestID]*request // all that have no final answer, or have attempts in flight
	activeRequests []*request             // the same, in the order of arrival
	queue          queue.Queue[*request]
	limiter        *limiter.Limiter
	balancer       *balancer.Balancer
	latency        *latency.OverallMean
	retryBudget    retryBudget
}

// New returns a gateway. Equal settings, seeds and events lead to equal actions. The error says which setting
// the gateway cannot decide with.
func New(settings Settings, seed uint64) (*Gateway, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.setMinimums()
	overall := &latency.OverallMean{}
	g := &Gateway{
		settings:     settings,
		rng:          rand.New(rand.NewPCG(seed, seed^seedMix)),
		tickInterval: settings.tickInterval(),
		classes:      map[string]*classState{},
		requests:     map[RequestID]*request{},
		latency:      overall,
	}
	g.limiter = limiter.New(overall, g.tickInterval)
	for _, class := range settings.Classes {
		state := g.newClassState(class)
		g.limiter.AddClass(&state.samples)
		g.classes[class.Name] = state
		g.maxLatencyObjective = max(g.maxLatencyObjective, class.LatencyObjective)
		g.maxDeadline = max(g.maxDeadline, class.Deadline)
	}
	g.balancer = balancer.New(g.balancerConfig(), g.rng, overall)
	g.quota = quota.NewManager(g.quotaConfig(), settings.Plans, g.rng, quotaHost{g})
	return g, nil
}

func (g *Gateway) newClassState(class Class) *classState {
	return &classState{Class: class, latency: latency.NewEstimate(g.latency)}
}

func (g *Gateway) balancerConfig() balancer.Config {
	return balancer.Config{
		Zone:                  g.settings.Zone,
		GatewayCount:          g.settings.GatewayCount,
		CrossZonePrice:        g.settings.CrossZonePrice,
		HandshakePrice:        g.settings.HandshakePrice,
		ConnectionIdleTimeout: g.settings.ConnectionIdleTimeout,
		SlowStart: balancer.SlowStartConfig{
			MinWeight:      g.settings.SlowStartMinWeight,
			Window:         g.settings.SlowStartWindow,
			BudgetMultiple: g.settings.SlowStartBudgetMultiple,
			BudgetSpan:     g.settings.SlowStartBudgetSpan,
		},
		MaxLatencyObjective: g.maxLatencyObjective,
		CapacityCacheTTL:    g.tickInterval,
	}
}

// Handle tells the gateway of one event, at a time on its clock. It appends the actions to be taken, in their
// order, to out.
func (g *Gateway) Handle(now time.Duration, event Event, out []Action) []Action {
	g.now = max(now, g.now)
	g.actions = out
	if !g.tickerStarted {
		g.tickerStarted = true
		g.emit(SetTimer{Delay: g.tickInterval})
	}
	switch event := event.(type) {
	case Arrival:
		g.handleArrival(event.Request)
	case AttemptEnded:
		g.handleAttemptEnded(event)
	case StreamStarted:
		g.handleStreamStarted(event)
	case ClientDisconnected:
		g.handleClientDisconnected(event)
	case EndpointsChanged:
		g.handleEndpointsChanged(event)
	case TimerFired:
		g.tick()
	case CounterReply:
		g.handleCounterReply(event)
	}
	g.dispatch()
	return g.actions
}

func (g *Gateway) emit(action Action) { g.actions = append(g.actions, action) }

func (g *Gateway) handleStreamStarted(ev StreamStarted) {
	if r := g.requests[ev.ID]; r != nil {
		r.streaming = true
	}
}

func (g *Gateway) handleClientDisconnected(ev ClientDisconnected) {
	if r := g.requests[ev.ID]; r != nil && !r.finished {
		g.finish(r)
	}
}

// handleEndpointsChanged takes in a change of the endpoint list. With the first endpoints the gateway starts
// with its share of the attempts that they are assumed to serve.
func (g *Gateway) handleEndpointsChanged(ev EndpointsChanged) {
	if ev.Failed {
		g.watchingEndpoints = false
		return
	}
	first := len(g.balancer.ServingEndpoints()) == 0
	g.balancer.Apply(g.now, balancer.Change{
		Snapshot:            ev.IsSnapshot,
		Endpoints:           ev.Endpoints,
		GatewaysPerEndpoint: ev.GatewaysPerEndpoint,
	})
	if first {
		g.limiter.SetWindow(g.balancer.InitialAttempts())
		g.retryBudget = retryBudget(g.balancer.InitialAttempts())
	}
}

// tick does what is due by the clock. Requests that are too late end before dispatch, so that none of them
// gets capacity that has become free.
func (g *Gateway) tick() {
	g.emit(SetTimer{Delay: g.tickInterval})
	if g.settings.PollEndpoints && !g.watchingEndpoints {
		g.watchingEndpoints = true
		g.emit(WatchEndpoints{})
	}
	g.limiter.EndRoundIfDue(g.now, len(g.balancer.ServingEndpoints()), g.balancer.GatewaysPerEndpoint())
	g.activeRequests = slices.DeleteFunc(g.activeRequests, g.tickRequest)
	g.quota.Tick()
}

// tickRequest does what is due for one request, and reports whether the request is over and has been
// forgotten.
func (g *Gateway) tickRequest(r *request) (over bool) {
	g.markOverdue(r)
	g.hedgeIfOverdue(r)
	if r.queued || !r.dispatched && !r.finished {
		g.expireIfLate(r)
	}
	if !r.finished || r.attemptsInFlight > 0 {
		return false
	}
	delete(g.requests, r.ID)
	return true
}

// meanAnswerTime returns the mean latency of answers, at least one tick.
func (g *Gateway) meanAnswerTime() time.Duration {
	return max(g.latency.Duration(), g.tickInterval)
}
