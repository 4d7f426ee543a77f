package policy

import (
	"testing"
	"time"

	"lemontack/policy/balancer"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{Index: 0, GatewayCount: 2, Zone: "a", MaxUnits: 1, MaxAttempts: 3, MaxRetryAfter: time.Second,
		MayCancel: true, Hedging: true, SharedCounter: true, CounterTimeout: 50 * ms,
		SlowStartMinWeight: 0.2, SlowStartWindow: 10 * time.Second, SlowStartBudgetMultiple: 4, SlowStartBudgetSpan: 3 * time.Second,
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Idempotency: Idempotent},
			{Name: "book", PriorityWeight: 5, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Idempotency: IdempotencyKey, DeduplicationWindow: 4 * time.Second},
			{Name: "pay", PriorityWeight: 5, LatencyObjective: 500 * ms, Deadline: 2 * time.Second},
		},
		Plans: []Plan{{Name: "free", Price: 1}, {Name: "dear", Price: 2},
			{Name: "small", Price: 1, Rate: 2, Burst: 8, OverQuotaCost: 0.5},
			{Name: "capped", Price: 1, Rate: 10, Burst: 20, CeilingRate: 20, CeilingBurst: 40, CeilingTolerance: 4}},
	}
}

type rig struct {
	*testing.T
	g   *Gateway
	now time.Duration
}

func newRig(t *testing.T, set Settings, endpoints ...Endpoint) *rig {
	t.Helper()
	g, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, g: g, now: time.Minute}
	r.tell(EndpointsChanged{Snapshot: true, Endpoints: endpoints})
	return r
}

func (r *rig) tell(ev Event) []Action { return r.g.Handle(r.now, ev, nil) }

func (r *rig) arrive(id RequestID, class, plan string) []Action {
	return r.tell(Arrival{Request{ID: id, Class: class, Plan: plan, Customer: "c", Units: 1,
		Deadline: r.now + 2*time.Second, GatewaySpan: 2}})
}

// pass lets time pass in ticks.
func (r *rig) pass(d time.Duration) (out []Action) {
	for end := r.now + d; r.now < end; {
		r.now += 10 * ms
		out = append(out, r.tell(TimerFired{})...)
	}
	return out
}

// endpoint returns a serving endpoint.
func (r *rig) endpoint(id EndpointID) *balancer.Endpoint {
	r.Helper()
	for _, e := range r.g.balancer.Serving() {
		if e.ID == id {
			return e
		}
	}
	r.Fatalf("no serving endpoint %s", id)
	return nil
}

// inFlight is an attempt that has not ended.
type inFlight struct {
	*attempt
	id RequestID
}

// attemptsInFlight returns all attempts that have not ended, in the order of their requests' arrival.
func (r *rig) attemptsInFlight() (all []inFlight) {
	for _, q := range r.g.activeRequests {
		for _, a := range q.attempts {
			if !a.ended {
				all = append(all, inFlight{a, q.ID})
			}
		}
	}
	return all
}

func only[A Action](acts []Action) (out []A) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func TestRequestIsSentAtOnceWhileTheWindowHasCapacity(t *testing.T) {
	r := newRig(t, settings(), Endpoint{ID: "s", State: Serving})
	if got := only[Send](r.arrive(1, "read", "free")); len(got) != 1 || got[0].Endpoint != "s" {
		t.Fatalf("sends %v", got)
	}
}

func TestCapacityThatBecomesFreeGoesToTheHighestPriority(t *testing.T) {
	r := newRig(t, settings(), Endpoint{ID: "s", State: Serving})
	r.arrive(1, "read", "free")
	r.arrive(2, "read", "free")
	r.arrive(3, "read", "free")
	r.arrive(4, "read", "dear")
	got := only[Send](r.tell(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Succeeded, Latency: 20 * ms, RequestFinished: true}))
	if len(got) == 0 || got[0].ID != 4 {
		t.Fatalf("sends %v, want request 4 first", got)
	}
}

func TestRequestWithLessTimeThanATickIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t, settings()) // no endpoints: nothing can be sent
	got := r.tell(Arrival{Request{ID: 1, Class: "read", Plan: "free", Customer: "c", Units: 1, Deadline: r.now + ms}})
	if len(only[Reject](got)) != 1 {
		t.Fatalf("actions %v, want a rejection", got)
	}
}

func TestRejectedRequestsRefundNoUnits(t *testing.T) {
	r := newRig(t, settings(), Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
	sent := 0
	for id := RequestID(1); id < 60; id++ { // no counter answers: this gateway's share of the burst is 4
		sent += len(only[Send](r.arrive(id, "read", "small")))
		r.tell(AttemptEnded{ID: id, Outcome: Succeeded, Latency: ms, RequestFinished: true})
	}
	if sent < 4 || sent > 8 {
		t.Fatalf("sent %d of 59, the whole burst is 8", sent)
	}
}

// An endpoint that restarts keeps its attempts in flight until they end.
func TestRestartedEndpointKeepsItsAttemptsInFlight(t *testing.T) {
	r := newRig(t, settings(), Endpoint{ID: "s", State: Serving})
	r.arrive(1, "read", "free")
	r.arrive(2, "read", "free")
	before := r.endpoint("s").InFlight()
	r.tell(EndpointsChanged{Endpoints: []Endpoint{{ID: "s", State: Serving, StartedAt: r.now}}})
	if now := r.endpoint("s").InFlight(); now != before || before == 0 {
		t.Fatalf("%d attempts in flight before the restart, %d after", before, now)
	}
	r.tell(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Reset})
	r.tell(AttemptEnded{ID: 2, Endpoint: "s", Outcome: Reset})
	r.pass(time.Second)
	if got, want := r.endpoint("s").InFlight(), len(r.attemptsInFlight()); got != want {
		t.Fatalf("%d attempts in flight at the endpoint, %d have not ended", got, want)
	}
	for left := r.attemptsInFlight(); len(left) > 0; left = r.attemptsInFlight() {
		r.tell(AttemptEnded{ID: left[0].id, Attempt: left[0].number, Endpoint: "s", Outcome: Reset})
	}
	if got := r.endpoint("s").InFlight(); got != 0 {
		t.Fatalf("%d attempts in flight at the endpoint after all have ended", got)
	}
}

// A burst that gives each gateway less than one request is claimed at the counter, request by request: what all gateways
// send stays within it, whatever each has seen, and also after all have restarted.
func TestSmallBurstOverManyGatewaysIsClaimedAtTheCounter(t *testing.T) {
	for _, n := range []int{4, 100, 340} {
		set := settings()
		set.GatewayCount = n
		set.Plans = append(set.Plans, Plan{Name: "tiny", Price: 1, Rate: 0.5, Burst: 2, OverQuotaCost: 1})
		totals, sent := map[string]float64{}, 0
		for i := range 2 * n { // each gateway twice, the second time as one that has just started
			set.Index = i % n
			r := newRig(t, set, Endpoint{ID: "s", State: Serving})
			acts := r.tell(Arrival{Request{ID: 1, Class: "read", Plan: "tiny", Customer: "c", Units: 1,
				Deadline: r.now + time.Second, GatewaySpan: n}})
			for k := 0; k < len(acts); k++ {
				if c, ok := acts[k].(IncrementCounter); ok {
					totals[c.Name] += c.Add
					acts = append(acts, r.tell(CounterReply{Name: c.Name, Outcome: Succeeded, Total: totals[c.Name]})...)
				}
			}
			sent += len(only[Send](acts))
		}
		if sent != 2 {
			t.Errorf("%d gateways sent %d at once, the burst is 2", n, sent)
		}
	}
}
