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
	// ticksPerObjective is the number of ticks in the shortest latency objective. A waiting request is
	// checked late by 2% of its objective at most.
	ticksPerObjective = 50
	// minTickInterval limits the CPU time that ticks use.
	minTickInterval = time.Millisecond
	// maxTickInterval limits the time between two checks of a request or customer.
	maxTickInterval = time.Second
	// minCounterTimeout is the lower limit of Settings.CounterTimeout, since the backoff after failed calls
	// is a multiple of that timeout.
	minCounterTimeout = time.Millisecond

	// seedMix is XORed with the seed to derive the second seed word of the random source: 2^64 divided by the
	// golden ratio, so that the two words differ in many bits.
	seedMix = 0x9e3779b97f4a7c15
)

// Gateway makes the decisions of one gateway process: Handle receives events and returns the actions to be
// taken. A Gateway owns the components that make the decisions, dispatches the events to them, and holds the
// clock and the random source that they share. It is not safe for concurrent use and starts no goroutine. The
// clock is the time that was passed with the latest event.
type Gateway struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action // returned by the current call of Handle

	tickInterval        time.Duration // time between two ticks
	tickerStarted       bool
	watchingEndpoints   bool          // subscribed to changes of the endpoint list
	maxLatencyObjective time.Duration // longest latency objective of all classes
	maxDeadline         time.Duration // longest deadline of all classes

	classes map[string]*classState
	quota   *quota.Manager

	requestsByID      map[RequestID]*request // requests without a final answer or with attempts in flight
	requestsByArrival []*request             // the same requests, in the order of arrival
	queue             queue.Queue[*request]
	limiter           *limiter.Limiter
	balancer          *balancer.Balancer
	latency           *latency.OverallMean
	retryBudget       retryBudget
}

// New returns a gateway. Equal settings, seeds and events lead to equal actions. New returns an error for
// invalid settings.
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
		requestsByID: map[RequestID]*request{},
		latency:      overall,
	}
	g.limiter = limiter.New(overall, g.tickInterval)
	for _, class := range settings.Classes {
		state := g.newClassState(class)
		g.limiter.AddClass(&state.limiterSamples)
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
			BudgetPeriod:   g.settings.SlowStartBudgetPeriod,
		},
		MaxLatencyObjective: g.maxLatencyObjective,
		CapacityCacheTTL:    g.tickInterval,
	}
}

// Handle processes one event at a time on the gateway's clock. It appends the actions to be taken, in order,
// to out and returns the result. A time before that of an earlier event is replaced by that of the earlier
// event.
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
	if r := g.requestsByID[ev.ID]; r != nil {
		r.streaming = true
	}
}

func (g *Gateway) handleClientDisconnected(ev ClientDisconnected) {
	if r := g.requestsByID[ev.ID]; r != nil && !r.finished {
		g.finish(r)
	}
}

// handleEndpointsChanged applies a change of the endpoint list. If no endpoint served before, the limiter's
// window and the retry budget start at this gateway's share of the attempts that the endpoints are assumed to
// serve at once.
func (g *Gateway) handleEndpointsChanged(ev EndpointsChanged) {
	if ev.Failed {
		g.watchingEndpoints = false
		return
	}
	hadNoEndpoints := len(g.balancer.ServingEndpoints()) == 0
	g.balancer.Apply(g.now, balancer.Change{
		IsSnapshot:          ev.IsSnapshot,
		Endpoints:           ev.Endpoints,
		GatewaysPerEndpoint: ev.GatewaysPerEndpoint,
	})
	if hadNoEndpoints {
		g.limiter.SetWindow(g.balancer.InitialAttempts())
		g.retryBudget = retryBudget(g.balancer.InitialAttempts())
	}
}

// tick performs the periodic work. Requests that can no longer be answered by their deadline are ended here,
// before Handle dispatches, so that they receive no capacity that has become free.
func (g *Gateway) tick() {
	g.emit(SetTimer{Delay: g.tickInterval})
	if g.settings.PollEndpoints && !g.watchingEndpoints {
		g.watchingEndpoints = true
		g.emit(WatchEndpoints{})
	}
	g.limiter.EndRoundIfDue(g.now, len(g.balancer.ServingEndpoints()), g.balancer.GatewaysPerEndpoint())
	g.requestsByArrival = slices.DeleteFunc(g.requestsByArrival, g.tickRequest)
	g.quota.Tick()
}

// tickRequest performs the periodic work of one request. It reports whether the request is over: it has its
// final answer and no attempt in flight, and has been removed from requestsByID.
func (g *Gateway) tickRequest(r *request) (isOver bool) {
	g.markOverdueAttempts(r)
	g.hedgeIfOverdue(r)
	if r.queued || !r.dispatched && !r.finished {
		g.expireIfUnanswerable(r)
	}
	if !r.finished || r.attemptsInFlight > 0 {
		return false
	}
	delete(g.requestsByID, r.ID)
	return true
}

// meanLatency returns the mean latency of answers, at least one tick interval.
func (g *Gateway) meanLatency() time.Duration {
	return max(g.latency.Duration(), g.tickInterval)
}
