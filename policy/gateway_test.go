package policy

import (
	"testing"
	"time"
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

func newRig(t *testing.T, set Settings, servers ...Endpoint) *rig {
	t.Helper()
	g, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, g: g, now: time.Minute}
	r.tell(EndpointsChanged{Snapshot: true, Endpoints: servers})
	return r
}

func (r *rig) tell(ev Event) []Action { return r.g.Handle(r.now, ev, nil) }

func (r *rig) arrive(id RequestID, class, plan string) []Action {
	return r.tell(Arrival{Request{ID: id, Class: class, Plan: plan, Customer: "c", Units: 1,
		Deadline: r.now + 2*time.Second, GatewaySpan: 2}})
}

// pass lets time go by in sweeps.
func (r *rig) pass(d time.Duration) (out []Action) {
	for end := r.now + d; r.now < end; {
		r.now += 10 * ms
		out = append(out, r.tell(TimerFired{})...)
	}
	return out
}

func only[A Action](acts []Action) (out []A) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func TestSendsAtOnceWhileTheWindowHasRoom(t *testing.T) {
	r := newRig(t, settings(), Endpoint{ID: "s", State: Serving})
	if got := only[Send](r.arrive(1, "read", "free")); len(got) != 1 || got[0].Endpoint != "s" {
		t.Fatalf("sends %v", got)
	}
}

func TestFreedSlotTakesTheHighestWorth(t *testing.T) {
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

func TestHeldWithLessTimeThanASweepIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t, settings()) // no servers: nothing can leave
	got := r.tell(Arrival{Request{ID: 1, Class: "read", Plan: "free", Customer: "c", Units: 1, Deadline: r.now + ms}})
	if len(only[Reject](got)) != 1 {
		t.Fatalf("actions %v, want a refusal", got)
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

// A server that restarts keeps what is still out to it, and survives that work's end.
func TestRestartedServerKeepsItsOutstandingAttempts(t *testing.T) {
	r := newRig(t, settings(), Endpoint{ID: "s", State: Serving})
	r.arrive(1, "read", "free")
	r.arrive(2, "read", "free")
	before := len(r.g.endpoints["s"].inFlight)
	r.tell(EndpointsChanged{Endpoints: []Endpoint{{ID: "s", State: Serving, StartedAt: r.now}}})
	if now := len(r.g.endpoints["s"].inFlight); now != before || before == 0 {
		t.Fatalf("%d attempts out before the restart, %d after", before, now)
	}
	r.tell(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Reset})
	r.tell(AttemptEnded{ID: 2, Endpoint: "s", Outcome: Reset})
	r.pass(time.Second)
	for _, a := range r.g.endpoints["s"].inFlight {
		if a == nil || a.ended {
			t.Fatalf("out to the server: %v", a)
		}
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

// Servers come under ever new ids: one that is gone is forgotten once nothing is out there.
func TestGoneServerIsForgotten(t *testing.T) {
	r := newRig(t, settings(), Endpoint{ID: "s", State: Serving})
	r.arrive(1, "read", "free")
	r.tell(EndpointsChanged{Endpoints: []Endpoint{{ID: "s", State: Removed}, {ID: "u", State: Serving}}})
	if len(r.g.endpoints) != 2 {
		t.Fatal("forgotten while an attempt is out")
	}
	r.tell(AttemptEnded{ID: 1, Endpoint: "s", Outcome: Succeeded, Latency: ms, RequestFinished: true})
	r.tell(EndpointsChanged{Endpoints: []Endpoint{{ID: "v", State: Serving}}})
	if r.g.endpoints["s"] != nil || len(r.g.serving) != 2 {
		t.Fatalf("servers %v, fleet %v", r.g.endpoints, r.g.serving)
	}
}
