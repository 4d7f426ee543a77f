package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lemontack/policy/latency"
	"lemontack/policy/model"
)

const (
	ms        = time.Millisecond
	objective = 500 * ms
	start     = time.Hour // on the gateway's clock
)

func testConfig() Config {
	return Config{
		Zone:                  "a",
		GatewayCount:          2,
		ConnectionIdleTimeout: 10 * time.Second,
		SlowStart: SlowStartConfig{
			MinWeight:      0.2,
			Window:         10 * time.Second,
			BudgetMultiple: 4,
			BudgetPeriod:   3 * time.Second,
		},
		MaxLatencyObjective: objective,
		CapacityCacheTTL:    10 * ms,
	}
}

// newBalancer returns a balancer with serving endpoints.
func newBalancer(config Config, endpoints ...model.Endpoint) *Balancer {
	b := New(config, rand.New(rand.NewPCG(1, 2)), &latency.OverallMean{})
	b.Apply(start, Change{IsSnapshot: true, Endpoints: endpoints})
	return b
}

func servingEndpoints(ids ...model.EndpointID) (endpoints []model.Endpoint) {
	for _, id := range ids {
		endpoints = append(endpoints, model.Endpoint{ID: id, Zone: "a", State: model.Serving})
	}
	return endpoints
}

func servingIDs(b *Balancer) string {
	names := []model.EndpointID{}
	for _, e := range b.ServingEndpoints() {
		names = append(names, e.ID)
	}
	return fmt.Sprint(names)
}

func startAttempt(b *Balancer, now time.Duration, e *Endpoint) *Attempt {
	a := &Attempt{Endpoint: e}
	b.AttemptStarted(now, a)
	return a
}

func TestApplyKeepsTheServingEndpoints(t *testing.T) {
	for _, c := range []struct {
		name   string
		change Change
		want   string
	}{
		{"one more", Change{Endpoints: servingEndpoints("t")}, "[s t u]"},
		{"one draining", Change{Endpoints: []model.Endpoint{{ID: "s", State: model.Draining}}}, "[u]"},
		{"one removed", Change{Endpoints: []model.Endpoint{{ID: "u", State: model.Removed}}}, "[s]"},
		{"one in an unknown state", Change{Endpoints: []model.Endpoint{{ID: "u", State: 9}}}, "[s]"},
		{"snapshot without one", Change{IsSnapshot: true, Endpoints: servingEndpoints("u")}, "[u]"},
		{"empty snapshot", Change{IsSnapshot: true}, "[]"},
		{"no change", Change{}, "[s u]"},
	} {
		b := newBalancer(testConfig(), servingEndpoints("u", "s")...)
		b.Apply(start, c.change)
		if got := servingIDs(b); got != c.want {
			t.Errorf("%s: got serving endpoints %s, want %s", c.name, got, c.want)
		}
	}
}

// Endpoints keep getting new ids: the map of endpoints must not grow without bound.
func TestRemovedEndpointIsDeletedOnceNothingIsInFlight(t *testing.T) {
	b := newBalancer(testConfig(), servingEndpoints("s")...)
	a := startAttempt(b, start, b.ServingEndpoints()[0])
	b.Apply(start, Change{Endpoints: append(servingEndpoints("u"), model.Endpoint{ID: "s", State: model.Removed})})
	if len(b.endpoints) != 2 {
		t.Fatal("got a removed endpoint deleted while an attempt is in flight, want it kept")
	}
	b.AttemptEnded(a)
	b.Apply(start, Change{Endpoints: servingEndpoints("v")})
	if b.endpoints["s"] != nil || len(b.endpoints) != 2 || servingIDs(b) != "[u v]" {
		t.Fatalf("got endpoints %v, serving %s; want only u and v", b.endpoints, servingIDs(b))
	}
}

func TestRestartedEndpointKeepsOnlyItsAttemptsInFlight(t *testing.T) {
	b := newBalancer(testConfig(), servingEndpoints("s", "u")...)
	e := b.ServingEndpoints()[0]
	first, second := startAttempt(b, start, e), startAttempt(b, start, e)
	for range failuresToEject {
		b.RecordFailure(start, e)
	}
	if !e.isEjected(start + ms) {
		t.Fatal("got the endpoint not ejected before the restart, want it ejected")
	}
	b.Apply(start+ms, Change{Endpoints: []model.Endpoint{{ID: "s", State: model.Serving, StartedAt: start}}})
	if b.ServingEndpoints()[0] != e || e.InFlight() != 2 || e.isEjected(start+ms) || e.consecutiveFailures != 0 {
		t.Fatalf("got %d in flight, ejected %v, %d failures; want 2, false and 0", e.InFlight(),
			e.isEjected(start+ms), e.consecutiveFailures)
	}
	b.AttemptEnded(first)
	b.AttemptEnded(second)
	if e.InFlight() != 0 {
		t.Errorf("got %d in flight after both attempts have ended, want 0", e.InFlight())
	}
}

func TestInitialAttemptsAreTheGatewaysShare(t *testing.T) {
	for _, c := range []struct {
		endpoints           int
		gatewaysPerEndpoint float64
		want                float64
	}{
		{900, 30, 120}, {200, 6400, 1}, {10, 0, 20}, {0, 0, 1},
	} {
		b := newBalancer(testConfig())
		var list []model.Endpoint
		for i := range c.endpoints {
			list = append(list, servingEndpoints(model.EndpointID(fmt.Sprint("s", i)))...)
		}
		b.Apply(start, Change{IsSnapshot: true, Endpoints: list, GatewaysPerEndpoint: c.gatewaysPerEndpoint})
		if got := b.InitialAttempts(); got != c.want {
			t.Errorf("%d endpoints of %v gateways: got %v initial attempts, want %v", c.endpoints,
				c.gatewaysPerEndpoint, got, c.want)
		}
	}
}

func TestPickAvoidsBusySlowAndFailingEndpoints(t *testing.T) {
	for name, degrade := range map[string]func(b *Balancer, e *Endpoint){
		"attempt in flight": func(b *Balancer, e *Endpoint) { startAttempt(b, start, e) },
		"slow answers": func(b *Balancer, e *Endpoint) {
			for range 5 {
				b.RecordSuccess(start, e, 4)
			}
		},
		"failure": func(b *Balancer, e *Endpoint) { b.RecordFailure(start, e) },
		"ejected": func(b *Balancer, e *Endpoint) {
			for range failuresToEject {
				b.RecordFailure(start, e)
			}
		},
	} {
		b := newBalancer(testConfig(), servingEndpoints("s", "u")...)
		degrade(b, b.ServingEndpoints()[0])
		for range 50 {
			if e := b.Pick(start+ms, Query{}); e.ID != "u" {
				t.Errorf("%s: got endpoint %s, want u", name, e.ID)
			}
		}
	}
}

func TestEjectedEndpointIsTriedByOneAttemptAtATime(t *testing.T) {
	b := newBalancer(testConfig(), servingEndpoints("s")...)
	e := b.ServingEndpoints()[0]
	for range failuresToEject {
		b.RecordFailure(start, e)
	}
	if b.Pick(start, Query{}) != e {
		t.Error("got the only endpoint not picked while it is ejected, want it picked")
	}
	if !e.isEjected(start + objective - ms) {
		t.Error("got the ejection over too early, want it to last one latency objective")
	}
	if e.isEjected(start + objective) {
		t.Error("got the endpoint still ejected after one latency objective, want it available")
	}
	a := startAttempt(b, start+objective, e)
	if !e.isEjected(start + objective) {
		t.Error("got the endpoint available while its first attempt is in flight, want it ejected")
	}
	b.AttemptEnded(a)
	b.RecordFailure(start+objective, e)
	if !e.isEjected(start + 3*objective - ms) {
		t.Error("got the ejection over too early after a further failure, want it doubled")
	}
	b.RecordSuccess(start+3*objective, e, 1)
	if e.isEjected(start + 3*objective) {
		t.Error("got the endpoint still ejected after a success, want it available")
	}
}

func TestPickRespectsTheDeduplicationScope(t *testing.T) {
	list := []model.Endpoint{
		{ID: "s", Zone: "a", Cell: 1, State: model.Serving}, {ID: "t", Zone: "a", Cell: 1, State: model.Serving},
		{ID: "u", Zone: "a", Cell: 2, State: model.Serving}, {ID: "v", Zone: "b", Cell: 3, State: model.Serving},
	}
	for scope, want := range map[model.DeduplicationScope]int{model.ScopeCell: 2, model.ScopeZone: 3, model.ScopeAll: 4} {
		b := newBalancer(testConfig(), list...)
		executed := b.ServingEndpoints()[0]
		picked := map[model.EndpointID]bool{}
		for range 20 {
			if e := b.Pick(start, Query{MaybeExecutedAt: executed, DeduplicationScope: scope}); e != nil {
				picked[e.ID] = true
				startAttempt(b, start, e)
			}
		}
		if len(picked) != want {
			t.Errorf("scope %d: got endpoints %v, want %d of them", scope, picked, want)
		}
	}
}

func TestTriedEndpointIsTheLastResort(t *testing.T) {
	b := newBalancer(testConfig(), servingEndpoints("s", "u")...)
	tried := b.ServingEndpoints()[0]
	for range 5 {
		if e := b.Pick(start, Query{TriedEndpoints: []*Endpoint{tried}}); e.ID != "u" {
			t.Errorf("got endpoint %s, which was tried, want u", e.ID)
		}
		startAttempt(b, start, b.ServingEndpoints()[1])
	}
	b.Apply(start, Change{IsSnapshot: true, Endpoints: servingEndpoints("s")})
	if e := b.Pick(start, Query{TriedEndpoints: []*Endpoint{tried}}); e != tried {
		t.Errorf("got endpoint %v, want the tried one since there is no other", e)
	}
}

func TestSlowStartWeightGrowsEvenly(t *testing.T) {
	b := newBalancer(testConfig())
	for _, c := range []struct {
		startedAt time.Duration
		want      float64
	}{
		{0, 1}, {start, 0.2}, {start - 5*time.Second, 0.6}, {start - 10*time.Second, 1}, {start + time.Second, 0.2},
	} {
		e := &Endpoint{Endpoint: model.Endpoint{StartedAt: c.startedAt}}
		if got := b.slowStartWeight(start, e); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("started %v before: got weight %v, want %v", start-c.startedAt, got, c.want)
		}
	}
}

func TestSlowStartPacesAttempts(t *testing.T) {
	b := newBalancer(testConfig())
	b.Apply(start, Change{IsSnapshot: true, Endpoints: []model.Endpoint{{ID: "s", State: model.Serving, StartedAt: start}}})
	var last time.Duration
	attempts := 0
	for now := start; now < start+3*time.Second; now += ms {
		e := b.Pick(now, Query{})
		if e == nil {
			continue
		}
		// The assumed rate of a warm endpoint is 4/2 answers per second; the limit is 1.5 x 0.2 to 1.5 x 0.44 of it.
		if pause := now - last; last > 0 && pause < 750*ms {
			t.Errorf("got an interval of %v between two attempts, want at least 750ms", pause)
		}
		b.AttemptEnded(startAttempt(b, now, e))
		last = now
		attempts++
	}
	if attempts == 0 || attempts > 4 {
		t.Errorf("got %d attempts in 3 s, want 1 to 4", attempts)
	}
}
