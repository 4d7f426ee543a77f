package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lemontack/policy/model"
)

const (
	ms             = time.Millisecond
	testSeed       = 7
	requestTimeout = 2 * time.Second
)

func testConfig() Config {
	return Config{
		GatewayCount:        2,
		MaxUnits:            1,
		HasSharedCounter:    true,
		CounterTimeout:      50 * ms,
		MaxRetryAfter:       time.Second,
		TickInterval:        10 * ms,
		MinLatencyObjective: 500 * ms,
		MaxLatencyObjective: 500 * ms,
		MaxDeadline:         requestTimeout,
	}
}

func testPlans() []model.Plan {
	return []model.Plan{
		{Name: "small", Price: 1, Rate: 2, Burst: 8, OverQuotaCost: 0.5},
		{Name: "capped", Price: 1, Rate: 10, Burst: 20, CeilingRate: 20, CeilingBurst: 40, CeilingTolerance: 4},
	}
}

type rejection struct {
	id         model.RequestID
	retryAfter time.Duration
}

// effects are the actions that one event has caused.
type effects struct {
	calls      []Call
	sent       []model.RequestID
	rejections []rejection
}

type openRequest struct {
	id       model.RequestID
	deadline time.Duration
	charge   Charge
}

// testGateway is a Host on a simulated clock. It starts an attempt of each admitted request as soon as the
// Manager permits one, in the order of arrival, and never rejects a queued request itself.
type testGateway struct {
	*testing.T
	manager        *Manager
	now            time.Duration
	dispatchPaused bool // no attempt starts
	requests       map[model.RequestID]*openRequest
	queue          []*openRequest
	effects        effects // effects since the last call of takeEffects
}

func newTestGateway(t *testing.T, config Config, plans []model.Plan) *testGateway {
	t.Helper()
	g := &testGateway{T: t, now: time.Minute, requests: map[model.RequestID]*openRequest{}}
	rng := rand.New(rand.NewPCG(testSeed, testSeed^0x9e3779b97f4a7c15))
	g.manager = NewManager(config, plans, rng, g)
	return g
}

func (g *testGateway) Now() time.Duration         { return g.now }
func (g *testGateway) CallCounter(call Call)      { g.effects.calls = append(g.effects.calls, call) }
func (g *testGateway) Saturated() bool            { return len(g.queue) > 0 }
func (g *testGateway) MeanLatency() time.Duration { return g.manager.config.TickInterval }

// customer returns the customer of all requests, which it creates if necessary.
func (g *testGateway) customer(plan string, gatewaySpan int) *customer {
	return g.manager.customerFor(Request{Customer: "c", GatewaySpan: gatewaySpan}, g.manager.planFor(plan))
}

// arrive submits a request of customer "c".
func (g *testGateway) arrive(request Request) effects {
	request.Customer = "c"
	return g.submit(request)
}

// submit submits a request of its customer.
func (g *testGateway) submit(request Request) effects {
	request.PriorityWeight = 1
	open := &openRequest{id: request.ID, deadline: g.now + requestTimeout, charge: g.manager.NewCharge(request)}
	g.requests[request.ID] = open
	g.resolve(open, g.manager.Admit(&open.charge))
	return g.takeEffects()
}

// reply passes a reply of the counter to the Manager.
func (g *testGateway) reply(reply Reply) effects {
	id, decision := g.manager.HandleReply(reply)
	if decision.Verdict != Pending {
		g.resolve(g.requests[id], decision)
	}
	return g.takeEffects()
}

// completeRequest ends the only attempt of a request with a successful answer.
func (g *testGateway) completeRequest(id model.RequestID, settledUnits float64) effects {
	charge := &g.requests[id].charge
	if charge.finished {
		return g.takeEffects()
	}
	g.manager.AttemptEnded(charge, model.Succeeded)
	g.manager.Settle(charge, settledUnits)
	g.manager.Finish(charge)
	g.manager.Release(charge)
	return g.takeEffects()
}

// disconnect ends a queued request whose client has disconnected.
func (g *testGateway) disconnect(id model.RequestID) effects {
	g.finish(g.requests[id])
	return g.takeEffects()
}

// advance moves the clock forward tick by tick and returns the effects of all ticks.
func (g *testGateway) advance(d time.Duration) (all effects) {
	for end := g.now + d; g.now < end; {
		g.now += g.manager.config.TickInterval
		g.manager.Tick()
		tick := g.takeEffects()
		all.calls = append(all.calls, tick.calls...)
		all.sent = append(all.sent, tick.sent...)
		all.rejections = append(all.rejections, tick.rejections...)
	}
	return all
}

// resolve queues an admitted request, or finishes a rejected one.
func (g *testGateway) resolve(request *openRequest, decision Decision) {
	switch decision.Verdict {
	case Admitted:
		g.queue = append(g.queue, request)
	case Rejected:
		retryAfter := min(decision.RetryAfter, g.manager.config.MaxRetryAfter)
		g.effects.rejections = append(g.effects.rejections, rejection{request.id, retryAfter})
		g.finish(request)
	case Pending:
	}
}

// finish ends a request and removes it from the queue.
func (g *testGateway) finish(request *openRequest) {
	g.queue = slices.DeleteFunc(g.queue, func(other *openRequest) bool { return other == request })
	g.manager.Finish(&request.charge)
}

// takeEffects starts the attempts that may start, and returns the effects since its last call.
func (g *testGateway) takeEffects() effects {
	g.queue = slices.DeleteFunc(g.queue, func(request *openRequest) bool {
		if g.dispatchPaused || g.now >= request.deadline || !g.manager.MayDispatch(&request.charge) {
			return false
		}
		g.manager.AttemptStarted(&request.charge)
		g.effects.sent = append(g.effects.sent, request.id)
		return true
	})
	latest := g.effects
	g.effects = effects{}
	return latest
}

// sumOfDeltas returns the sum of the amounts that calls add.
func sumOfDeltas(calls []Call) (sum float64) {
	for _, call := range calls {
		sum += call.Delta
	}
	return sum
}
