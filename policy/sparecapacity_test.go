package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// tokenBucket is the exact state of a customer's quota.
type tokenBucket struct {
	plan         Plan
	level        float64
	refilledAt   time.Duration
	levelHistory []float64 // level at each time step
}

func (bucket *tokenBucket) refill(now time.Duration) {
	bucket.level = min(bucket.plan.Burst, bucket.level+bucket.plan.Rate*(now-bucket.refilledAt).Seconds())
	bucket.refilledAt = now
}

// take reports whether a request is inside the quota, and if so removes its units.
func (bucket *tokenBucket) take(units float64, now time.Duration) bool {
	bucket.refill(now)
	if bucket.level < units {
		return false
	}
	bucket.level -= units
	return true
}

// admittedWeight holds the weights of the offered requests and of the admitted requests inside their quotas, and the cost of
// the admitted requests over their quotas.
type admittedWeight struct{ offered, insideQuota, overQuotaCost float64 }

func (weight *admittedWeight) add(insideQuota bool, plan Plan, units float64) {
	if insideQuota {
		weight.insideQuota += plan.Price * units
		return
	}
	weight.overQuotaCost += plan.Price * units * max(0, plan.OverQuotaCost-plan.OverQuotaWeight)
}

const (
	stepLength          = 10 * ms
	stateDelay          = 50 * ms // delay with which the reference sees the exact state
	spareCapacityLength = 75 * time.Second
)

// customerDemand describes the requests of a customer.
type customerDemand struct {
	id                        string
	gatewaySpan, firstGateway int
	plan                      Plan
	rate                      float64 // units per second
	isBursty                  bool    // the rate is lower between bursts
}

func drawDemands(rng *rand.Rand, gatewayCount int, plans []Plan) (out []customerDemand) {
	for i := range 30 {
		plan := plans[i%len(plans)]
		demand := customerDemand{id: fmt.Sprintf("%016x", i), plan: plan, firstGateway: rng.IntN(gatewayCount)}
		demand.gatewaySpan = gatewayCount/2 + rng.IntN(gatewayCount-gatewayCount/2) + 1
		switch draw := rng.Float64(); {
		case draw < 0.1:
			demand.rate = plan.Rate * (2 + 3*rng.Float64())
		case draw < 0.3:
			demand.rate, demand.isBursty = plan.Rate*(2+5*rng.Float64()), true
		case draw < 0.5:
			demand.rate = plan.Rate * 0.95
		default:
			demand.rate = plan.Rate * (0.2 + 0.3*rng.Float64())
		}
		demand.gatewaySpan = min(demand.gatewaySpan, gatewayCount)
		out = append(out, demand)
	}
	return out
}

// arrivals draws the number of requests in one time step. Bursts last for the first 3 s of each 15 s.
func (demand customerDemand) arrivals(rng *rand.Rand, now time.Duration) int {
	rate := demand.rate
	if demand.isBursty && now%(15*time.Second) > 3*time.Second {
		rate = demand.plan.Rate / 4
	}
	count, limit := 0, math.Exp(-rate/2*stepLength.Seconds()) // requests of two units each
	for product := rng.Float64(); product > limit; product *= rng.Float64() {
		count++
	}
	return count
}

// delayedEvent is an event that a gateway receives at a later time.
type delayedEvent struct {
	dueAt   time.Duration
	gateway *testGateway
	event   Event
}

// simulateSpareCapacity simulates seeded gateways with one counter and endpoints that have spare capacity. It returns the
// weights that the gateways admitted, and those of the reference policy, which decides by the exact state with a delay.
func simulateSpareCapacity(t *testing.T, gatewayCount int, seed uint64) (actual, reference admittedWeight) {
	settings := testSettings()
	settings.MaxUnits = 2
	settings.Plans = []Plan{{Name: "low", Price: 1, Rate: 3, Burst: 12, OverQuotaCost: 1.2},
		{Name: "mid", Price: 1.3, Rate: 10, Burst: 40, OverQuotaWeight: 0.3},
		{Name: "top", Price: 1.6, Rate: 40, Burst: 70, OverQuotaCost: 1.2}}
	endpoints := make([]Endpoint, 40)
	for i := range endpoints {
		endpoints[i] = Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving}
	}
	c := newCluster(t, gatewayCount, settings, endpoints...)
	rng := rand.New(rand.NewPCG(seed, 3))
	buckets, referenceBuckets := map[string]*tokenBucket{}, map[string]*tokenBucket{}
	demands := drawDemands(rng, gatewayCount, settings.Plans)
	for _, demand := range demands {
		buckets[demand.id] = &tokenBucket{plan: demand.plan, level: demand.plan.Burst, refilledAt: time.Minute}
		referenceBuckets[demand.id] = &tokenBucket{plan: demand.plan, level: demand.plan.Burst, refilledAt: time.Minute}
	}
	var pending []delayedEvent
	undecided := map[RequestID]customerDemand{}
	apply := func(g *testGateway, actions []Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case Send:
				if demand, first := undecided[action.ID]; first {
					actual.add(buckets[demand.id].take(2, g.now), demand.plan, 2)
					delete(undecided, action.ID)
				}
				pending = append(pending, delayedEvent{g.now + 30*ms, g,
					AttemptEnded{ID: action.ID, Endpoint: action.Endpoint, Outcome: Succeeded,
						Latency: 30 * ms, RequestFinished: true}})
			case Reject:
				delete(undecided, action.ID)
			case IncrementCounter:
				c.totals[action.Name] += action.Delta // adds in the order of the calls
				pending = append(pending, delayedEvent{g.now + 10*ms, g, CounterReply{Name: action.Name, Outcome: Succeeded,
					Total: c.totals[action.Name]}})
			}
		}
	}
	id := RequestID(0)
	for now := time.Minute; now < time.Minute+spareCapacityLength; now += stepLength {
		for _, g := range c.gateways {
			g.now = now
		}
		due := pending
		pending = nil
		for _, delayed := range due {
			if delayed.dueAt > now {
				pending = append(pending, delayed)
				continue
			}
			apply(delayed.gateway, delayed.gateway.handle(delayed.event))
		}
		for _, demand := range demands {
			bucket := referenceBuckets[demand.id]
			bucket.refill(now)
			bucket.levelHistory = append(bucket.levelHistory, bucket.level)
			seenLevel := bucket.levelHistory[max(0, len(bucket.levelHistory)-1-int(stateDelay/stepLength))]
			for range demand.arrivals(rng, now) {
				id++
				actual.offered += demand.plan.Price * 2
				if seenLevel >= 2 {
					reference.add(bucket.take(2, now), demand.plan, 2)
				}
				g := c.gateways[(demand.firstGateway+rng.IntN(demand.gatewaySpan))%gatewayCount]
				undecided[id] = demand
				apply(g, g.handle(Arrival{Request{ID: id, Class: "read", Plan: demand.plan.Name, Customer: demand.id, Units: 2,
					Deadline: now + 2*time.Second, GatewaySpan: demand.gatewaySpan, FirstGateway: demand.firstGateway}}))
			}
		}
		for _, g := range c.gateways {
			apply(g, g.handle(TimerFired{}))
		}
	}
	return actual, reference
}

// With spare capacity, the cost of the over-quota requests that all gateways together admit exceeds that of the reference
// policy by at most 0.1 of the weight that the reference admits inside the quotas, and the gateways admit at least half of that
// weight inside the quotas.
func TestQuotasHoldOverAllGatewaysWithSpareCapacity(t *testing.T) {
	for _, n := range []int{4, 30, 120} {
		for _, seed := range []uint64{1, 2, 3} {
			actual, reference := simulateSpareCapacity(t, n, seed)
			served := slices.Max([]float64{reference.insideQuota, 1})
			cost, bound := actual.overQuotaCost/served, reference.overQuotaCost/served+0.1
			t.Logf("%d gateways, seed %d: %.3f of the weight inside is admitted, over-quota cost %.3f; reference %.3f", n, seed,
				actual.insideQuota/served, cost, reference.overQuotaCost/served)
			if cost > bound || actual.insideQuota < 0.5*served {
				t.Errorf("%d gateways, seed %d: got over-quota cost %.3f, want at most %.3f; got served %.3f, want at least 0.5",
					n, seed, cost, bound, actual.insideQuota/served)
			}
		}
	}
}
