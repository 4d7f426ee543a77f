package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The units of a request whose client disconnects before anything of it has left the gateway are refunded: in the queue,
// while it waits for a connection, and while it waits for the counter.
func TestUnitsAreRefundedWhenTheClientDisconnectsBeforeSending(t *testing.T) {
	for name, wait := range map[string]func(r *rig){
		"in the queue": func(r *rig) {
			r.g.window = 0
			r.arrive(1, "read", "small")
			r.tell(ClientDisconnected{ID: 1})
		},
		"for a connection": func(r *rig) {
			r.arrive(1, "read", "small")
			r.tell(ClientDisconnected{ID: 1})
			r.tell(AttemptEnded{ID: 1, Endpoint: "s", Outcome: NotSent, RequestFinished: true})
		},
		"for the counter": func(r *rig) {
			acts := r.tell(Arrival{Request{ID: 1, Class: "read", Plan: "small", Customer: "c", Units: 1,
				Deadline: r.now + 2*time.Second, GatewaySpan: 100}})
			r.tell(ClientDisconnected{ID: 1})
			r.tell(CounterReply{Name: only[IncrementCounter](acts)[0].Name, Outcome: Succeeded, Total: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			set := settings()
			set.GatewayCount, set.MayCancel = 100, false
			r := newRig(t, set, Endpoint{ID: "s", State: Serving})
			want := 4.0
			if name == "for the counter" {
				want = 8.0/100 + 1 // the first lease, which is less than a unit, and the unit that was granted
			}
			wait(r)
			c := r.g.quota.Customer("c")
			if tokens := c.LeaseTokens + c.ReservedTokens; tokens != want || c.AttemptsInFlight != 0 || r.g.inFlight != 0 {
				t.Fatalf("lease and reservation %v of %v, %d attempts in flight, %d in the window", tokens, want,
					c.AttemptsInFlight, r.g.inFlight)
			}
			r.g.window = 10
			if got := only[Send](r.pass(time.Second)); len(got) > 0 {
				t.Fatalf("sent %v", got)
			}
		})
	}
}

// However many requests expire unsent, their units refill the lease up to this gateway's share of the burst and no further:
// the rest goes back to the token bucket, or, of a central bucket, is reported.
func TestRefundsRefillTheLeaseOnlyUpToItsShare(t *testing.T) {
	for _, spread := range []int{2, 4, 100} {
		set := settings()
		set.GatewayCount = 100
		r := newRig(t, set, Endpoint{ID: "s", State: Serving})
		r.g.window = 0 // nothing leaves
		arrive := func(id RequestID) {
			for _, call := range only[IncrementCounter](r.tell(Arrival{Request{ID: id, Class: "read", Plan: "small", Customer: "c",
				Units: 1, Deadline: r.now + 2*time.Second, GatewaySpan: spread}})) {
				r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: max(0, call.Add)})
			}
		}
		for id := range RequestID(60) {
			arrive(id + 1)
			r.pass(300 * ms)
		}
		r.pass(3 * time.Second)
		c := r.g.quota.Customer("c")
		share, tokens := max(8/float64(spread), 1), c.LeaseTokens+c.ReservedTokens
		if tokens > share+1e-9 || tokens < share/2 || len(r.g.activeRequests) > 0 {
			t.Errorf("%d gateways: lease %v after all have expired, the share is %v", spread, tokens, share)
		}
		if all := c.LeaseTokens + c.AvailableTokens; !c.Central && all > 8+1e-9 {
			t.Errorf("%d gateways: lease and token bucket hold %v, the burst is 8", spread, all)
		}
	}
}

// The units that an answer settles for a request whose claim was granted are reported by the customer's next call.
func TestSettledUnitsOfAnAnswerAreReportedByTheNextCall(t *testing.T) {
	set := fleetSettings()
	for i := range set.Plans {
		set.Plans[i].SettledByReply = true
	}
	r := newRig(t, set, Endpoint{ID: "s", State: Serving})
	arrive := func(id RequestID) []Action {
		return r.tell(Arrival{Request{ID: id, Class: "read", Plan: "thick", Customer: "c", Units: 2,
			Deadline: r.now + 2*time.Second, GatewaySpan: 60}})
	}
	call := only[IncrementCounter](arrive(1))[0]
	sends := only[Send](r.tell(CounterReply{Name: call.Name, Outcome: Succeeded, Total: call.Add}))
	if len(sends) != 1 {
		t.Fatalf("sends %v, want one", sends)
	}
	r.tell(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Succeeded, Latency: ms, RequestFinished: true, SettledUnits: 3.5})
	next := only[IncrementCounter](arrive(2))
	if len(next) != 1 || next[0].Add != 2+1.5 {
		t.Errorf("calls %v, want one for 2 units and the 1.5 that were settled", next)
	}
}

// An attempt that never left goes elsewhere though the budget of further attempts is spent: it is no further load.
func TestMootAttemptNeedsNoBudget(t *testing.T) {
	r := newRig(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	first := only[Send](r.arrive(1, "pay", "free"))[0]
	r.g.retryBudget = 0
	r.tell(EndpointsChanged{Endpoints: []Endpoint{{ID: first.Endpoint}}}) // drains
	acts := r.tell(AttemptEnded{ID: 1, Endpoint: first.Endpoint, Outcome: NotSent})
	if got := only[Send](acts); len(got) != 1 || got[0].Endpoint == first.Endpoint {
		t.Fatalf("sends %v, want one to the other server", got)
	}
}

// store is the true state of a customer's quota.
type store struct {
	plan    Plan
	level   float64
	at      time.Duration
	history []float64 // level at each step
}

func (s *store) fill(now time.Duration) {
	s.level = min(s.plan.Burst, s.level+s.plan.Rate*(now-s.at).Seconds())
	s.at = now
}

// take says whether a try is inside, and takes its units then.
func (s *store) take(units float64, now time.Duration) bool {
	s.fill(now)
	if s.level < units {
		return false
	}
	s.level -= units
	return true
}

// bill is what a policy let through: worth inside the quotas, and what went beyond cost.
type bill struct{ offered, inside, cost float64 }

func (b *bill) add(inside bool, p Plan, units float64) {
	if inside {
		b.inside += p.Price * units
		return
	}
	b.cost += p.Price * units * max(0, p.OverQuotaCost-p.OverQuotaWeight)
}

const (
	quotaStep = 10 * ms
	stateLate = 50 * ms // so late the reference sees the true state
	quietDay  = 75 * time.Second
)

// asker is a customer's demand: a share of its rate, for some of the time.
type asker struct {
	id            string
	spread, first int
	plan          Plan
	rate          float64 // units a second
	spiky         bool
}

func askers(rng *rand.Rand, n int, plans []Plan) (out []asker) {
	for i := range 30 {
		p := plans[i%len(plans)]
		a := asker{id: fmt.Sprintf("%016x", i), plan: p, first: rng.IntN(n)}
		a.spread = n/2 + rng.IntN(n-n/2) + 1
		switch x := rng.Float64(); {
		case x < 0.1:
			a.rate = p.Rate * (2 + 3*rng.Float64())
		case x < 0.3:
			a.rate, a.spiky = p.Rate*(2+5*rng.Float64()), true
		case x < 0.5:
			a.rate = p.Rate * 0.95
		default:
			a.rate = p.Rate * (0.2 + 0.3*rng.Float64())
		}
		a.spread = min(a.spread, n)
		out = append(out, a)
	}
	return out
}

// asks says how many requests come in a step: a spike lasts 3 s of each 15.
func (a asker) asks(rng *rand.Rand, now time.Duration) int {
	rate := a.rate
	if a.spiky && now%(15*time.Second) > 3*time.Second {
		rate = a.plan.Rate / 4
	}
	n, l := 0, math.Exp(-rate/2*quotaStep.Seconds()) // of two units each
	for p := rng.Float64(); p > l; p *= rng.Float64() {
		n++
	}
	return n
}

// reply is an event that is under way to a gateway.
type reply struct {
	at time.Duration
	to *rig
	ev Event
}

// quotaDay plays a quiet day: n seeded gateways, one counter, servers that have room. It returns what the gateways let
// through, and what the reference does that sees the true state late.
func quotaDay(t *testing.T, n int, seed uint64) (ours, late bill) {
	set := settings()
	set.MaxUnits = 2
	set.Plans = []Plan{{Name: "low", Price: 1, Rate: 3, Burst: 12, OverQuotaCost: 1.2},
		{Name: "mid", Price: 1.3, Rate: 10, Burst: 40, OverQuotaWeight: 0.3},
		{Name: "top", Price: 1.6, Rate: 40, Burst: 70, OverQuotaCost: 1.2}}
	servers := make([]Endpoint, 40)
	for i := range servers {
		servers[i] = Endpoint{ID: EndpointID(fmt.Sprint("s", i)), State: Serving}
	}
	c := newCrowd(t, n, set, servers...)
	rng := rand.New(rand.NewPCG(seed, 3))
	stores, refs := map[string]*store{}, map[string]*store{}
	customers := askers(rng, n, set.Plans)
	for _, a := range customers {
		stores[a.id] = &store{plan: a.plan, level: a.plan.Burst, at: time.Minute}
		refs[a.id] = &store{plan: a.plan, level: a.plan.Burst, at: time.Minute}
	}
	var under []reply
	open := map[RequestID]asker{}
	do := func(r *rig, acts []Action) {
		for _, act := range acts {
			switch act := act.(type) {
			case Send:
				if a, first := open[act.ID]; first {
					ours.add(stores[a.id].take(2, r.now), a.plan, 2)
					delete(open, act.ID)
				}
				under = append(under, reply{r.now + 30*ms, r, AttemptEnded{ID: act.ID, Endpoint: act.Endpoint, Outcome: Succeeded,
					Latency: 30 * ms, RequestFinished: true}})
			case Reject:
				delete(open, act.ID)
			case IncrementCounter:
				c.totals[act.Name] += act.Add // adds in the order of the calls
				under = append(under, reply{r.now + 10*ms, r, CounterReply{Name: act.Name, Outcome: Succeeded,
					Total: c.totals[act.Name]}})
			}
		}
	}
	id := RequestID(0)
	for now := time.Minute; now < time.Minute+quietDay; now += quotaStep {
		for _, r := range c.rigs {
			r.now = now
		}
		due := under
		under = nil
		for _, u := range due {
			if u.at > now {
				under = append(under, u)
				continue
			}
			do(u.to, u.to.tell(u.ev))
		}
		for _, a := range customers {
			ref := refs[a.id]
			ref.fill(now)
			ref.history = append(ref.history, ref.level)
			seen := ref.history[max(0, len(ref.history)-1-int(stateLate/quotaStep))]
			for range a.asks(rng, now) {
				id++
				ours.offered += a.plan.Price * 2
				if seen >= 2 {
					late.add(ref.take(2, now), a.plan, 2)
				}
				r := c.rigs[(a.first+rng.IntN(a.spread))%n]
				open[id] = a
				do(r, r.tell(Arrival{Request{ID: id, Class: "read", Plan: a.plan.Name, Customer: a.id, Units: 2,
					Deadline: now + 2*time.Second, GatewaySpan: a.spread, FirstGateway: a.first}}))
			}
		}
		for _, r := range c.rigs {
			do(r, r.tell(TimerFired{}))
		}
	}
	return ours, late
}

// On a quiet day what the gateways let through beyond the quotas costs at most 0.1 of the worth inside them more than under
// a policy that sees the true state late; they get there by holding the quotas, not by refusing what is inside.
func TestQuotasHoldForTheFleet(t *testing.T) {
	for _, n := range []int{4, 30, 120} {
		for _, seed := range []uint64{1, 2, 3} {
			ours, late := quotaDay(t, n, seed)
			served := slices.Max([]float64{late.inside, 1})
			cost, bound := ours.cost/served, late.cost/served+0.1
			t.Logf("%d gateways, seed %d: %.3f of the worth inside is let through, beyond costs %.3f; late-seeing %.3f", n, seed,
				ours.inside/served, cost, late.cost/served)
			if cost > bound || ours.inside < 0.5*served {
				t.Errorf("%d gateways, seed %d: beyond the quotas costs %.3f, bound %.3f; %.3f of the worth inside", n, seed, cost,
					bound, ours.inside/served)
			}
		}
	}
}
