package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// tokenBucket is the true state of a customer's quota.
type tokenBucket struct {
	plan    Plan
	level   float64
	at      time.Duration
	history []float64 // level at each step
}

func (bucket *tokenBucket) refill(now time.Duration) {
	bucket.level = min(bucket.plan.Burst, bucket.level+bucket.plan.Rate*(now-bucket.at).Seconds())
	bucket.at = now
}

// take reports whether a request is inside the quota, and takes its units then.
func (bucket *tokenBucket) take(units float64, now time.Duration) bool {
	bucket.refill(now)
	if bucket.level < units {
		return false
	}
	bucket.level -= units
	return true
}

// admittedWeight is the weight of the requests that a policy has admitted, and the cost of those over their quotas.
type admittedWeight struct{ offered, inside, cost float64 }

func (weight *admittedWeight) add(inside bool, p Plan, units float64) {
	if inside {
		weight.inside += p.Price * units
		return
	}
	weight.cost += p.Price * units * max(0, p.OverQuotaCost-p.OverQuotaWeight)
}

const (
	stepLength     = 10 * ms
	stateDelay     = 50 * ms // of the true state, as the reference sees it
	quietDayLength = 75 * time.Second
)

// customerDemand is the demand of a customer, by its rate. A bursty one has less between its bursts.
type customerDemand struct {
	id                        string
	gatewaySpan, firstGateway int
	plan                      Plan
	rate                      float64 // units a second
	bursty                    bool
}

func drawDemands(rng *rand.Rand, n int, plans []Plan) (out []customerDemand) {
	for i := range 30 {
		p := plans[i%len(plans)]
		demand := customerDemand{id: fmt.Sprintf("%016x", i), plan: p, firstGateway: rng.IntN(n)}
		demand.gatewaySpan = n/2 + rng.IntN(n-n/2) + 1
		switch x := rng.Float64(); {
		case x < 0.1:
			demand.rate = p.Rate * (2 + 3*rng.Float64())
		case x < 0.3:
			demand.rate, demand.bursty = p.Rate*(2+5*rng.Float64()), true
		case x < 0.5:
			demand.rate = p.Rate * 0.95
		default:
			demand.rate = p.Rate * (0.2 + 0.3*rng.Float64())
		}
		demand.gatewaySpan = min(demand.gatewaySpan, n)
		out = append(out, demand)
	}
	return out
}

// arrivals draws the number of requests in one step. Bursts last 3 s of each 15 s.
func (demand customerDemand) arrivals(rng *rand.Rand, now time.Duration) int {
	rate := demand.rate
	if demand.bursty && now%(15*time.Second) > 3*time.Second {
		rate = demand.plan.Rate / 4
	}
	n, l := 0, math.Exp(-rate/2*stepLength.Seconds()) // of two units each
	for p := rng.Float64(); p > l; p *= rng.Float64() {
		n++
	}
	return n
}

// delayedEvent is an event that a gateway gets later.
type delayedEvent struct {
	at time.Duration
	to *testGateway
	ev Event
}

// playQuietDay simulates n seeded gateways with one counter and endpoints that have spare capacity. It returns what the
// gateways have admitted, and what the reference has, which sees the true state with a delay.
func playQuietDay(t *testing.T, n int, seed uint64) (actual, reference admittedWeight) {
	set := settings()
	set.MaxUnits = 2
	set.Plans = []Plan{{Name: "low", Price: 1, Rate: 3, Burst: 12, OverQuotaCost: 1.2},
		{Name: "mid", Price: 1.3, Rate: 10, Burst: 40, OverQuotaWeight: 0.3},
		{Name: "top", Price: 1.6, Rate: 40, Burst: 70, OverQuotaCost: 1.2}}
	endpoints := make([]Endpoint, 40)
	for i := range endpoints {
		endpoints[i] = Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving}
	}
	c := newCluster(t, n, set, endpoints...)
	rng := rand.New(rand.NewPCG(seed, 3))
	buckets, referenceBuckets := map[string]*tokenBucket{}, map[string]*tokenBucket{}
	demands := drawDemands(rng, n, set.Plans)
	for _, demand := range demands {
		buckets[demand.id] = &tokenBucket{plan: demand.plan, level: demand.plan.Burst, at: time.Minute}
		referenceBuckets[demand.id] = &tokenBucket{plan: demand.plan, level: demand.plan.Burst, at: time.Minute}
	}
	var inTransit []delayedEvent
	undecided := map[RequestID]customerDemand{}
	do := func(g *testGateway, acts []Action) {
		for _, act := range acts {
			switch act := act.(type) {
			case Send:
				if demand, first := undecided[act.ID]; first {
					actual.add(buckets[demand.id].take(2, g.now), demand.plan, 2)
					delete(undecided, act.ID)
				}
				inTransit = append(inTransit, delayedEvent{g.now + 30*ms, g, AttemptEnded{ID: act.ID, Endpoint: act.Endpoint, Outcome: Succeeded,
					Latency: 30 * ms, RequestFinished: true}})
			case Reject:
				delete(undecided, act.ID)
			case IncrementCounter:
				c.totals[act.Name] += act.Delta // adds in the order of the calls
				inTransit = append(inTransit, delayedEvent{g.now + 10*ms, g, CounterReply{Name: act.Name, Outcome: Succeeded,
					Total: c.totals[act.Name]}})
			}
		}
	}
	id := RequestID(0)
	for now := time.Minute; now < time.Minute+quietDayLength; now += stepLength {
		for _, g := range c.gateways {
			g.now = now
		}
		due := inTransit
		inTransit = nil
		for _, u := range due {
			if u.at > now {
				inTransit = append(inTransit, u)
				continue
			}
			do(u.to, u.to.handle(u.ev))
		}
		for _, demand := range demands {
			bucket := referenceBuckets[demand.id]
			bucket.refill(now)
			bucket.history = append(bucket.history, bucket.level)
			seen := bucket.history[max(0, len(bucket.history)-1-int(stateDelay/stepLength))]
			for range demand.arrivals(rng, now) {
				id++
				actual.offered += demand.plan.Price * 2
				if seen >= 2 {
					reference.add(bucket.take(2, now), demand.plan, 2)
				}
				g := c.gateways[(demand.firstGateway+rng.IntN(demand.gatewaySpan))%n]
				undecided[id] = demand
				do(g, g.handle(Arrival{Request{ID: id, Class: "read", Plan: demand.plan.Name, Customer: demand.id, Units: 2,
					Deadline: now + 2*time.Second, GatewaySpan: demand.gatewaySpan, FirstGateway: demand.firstGateway}}))
			}
		}
		for _, g := range c.gateways {
			do(g, g.handle(TimerFired{}))
		}
	}
	return actual, reference
}

// With spare capacity the over-quota requests that the gateways admit cost at most 0.1 of the weight inside the quotas more
// than inTransit a policy that sees the true state with a delay; and that by holding the quotas, not by rejecting what is
// inside them.
func TestQuotasHoldOverAllGatewaysWithSpareCapacity(t *testing.T) {
	for _, n := range []int{4, 30, 120} {
		for _, seed := range []uint64{1, 2, 3} {
			actual, reference := playQuietDay(t, n, seed)
			served := slices.Max([]float64{reference.inside, 1})
			cost, bound := actual.cost/served, reference.cost/served+0.1
			t.Logf("%d gateways, seed %d: %.3f of the weight inside is admitted, over-quota cost %.3f; reference %.3f", n, seed,
				actual.inside/served, cost, reference.cost/served)
			if cost > bound || actual.inside < 0.5*served {
				t.Errorf("%d gateways, seed %d: over-quota cost %.3f, bound %.3f; %.3f of the weight inside", n, seed, cost,
					bound, actual.inside/served)
			}
		}
	}
}
