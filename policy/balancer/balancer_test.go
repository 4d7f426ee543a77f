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
			BudgetSpan:     3 * time.Second,
		},
		MaxLatencyObjective: objective,
		CapacityCacheTTL:    10 * ms,
	}
}

// newBalancer returns a balancer with serving endpoints.
func newBalancer(config Config, endpoints ...model.Endpoint) *Balancer {
	b := New(config, rand.New(rand.NewPCG(1, 2)), &latency.OverallMean{})
	b.Apply(start, Change{Snapshot: true, Endpoints: endpoints})
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
		{"snapshot without one", Change{Snapshot: true, Endpoints: servingEndpoints("u")}, "[u]"},
		{"empty snapshot", Change{Snapshot: true}, "[]"},
		{"no change", Change{}, "[s u]"},
	} {
		b := newBalancer(testConfig(), servingEndpoints("u", "s")...)
		b.Apply(start, c.change)
		if got := servingIDs(b); got != c.want {
			t.Errorf("%s: serving %s, want %s", c.name, got, c.want)
		}
	}
}

// Endpoints come under ever new ids: the map of endpoints must not grow for good.
func TestRemovedEndpointIsDeletedOnceNothingIsInFlight(t *testing.T) {
	b := newBalancer(testConfig(), servingEndpoints("s")...)
	a := startAttempt(b, start, b.ServingEndpoints()[0])
	b.Apply(start, Change{Endpoints: append(servingEndpoints("u"), model.Endpoint{ID: "s", State: model.Removed})})
	if len(b.endpoints) != 2 {
		t.Fatal("forgotten while an attempt is in flight")
	}
	b.AttemptEnded(a)
	b.Apply(start, Change{Endpoints: servingEndpoints("v")})
	if b.endpoints["s"] != nil || len(b.endpoints) != 2 || servingIDs(b) != "[u v]" {
		t.Fatalf("endpoints %v, serving %s", b.endpoints, servingIDs(b))
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
		t.Fatal("not ejected before the restart")
	}
	b.Apply(start+ms, Change{Endpoints: []model.Endpoint{{ID: "s", State: model.Serving, StartedAt: start}}})
	if b.ServingEndpoints()[0] != e || e.InFlight() != 2 || e.isEjected(start+ms) || e.consecutiveFailures != 0 {
		t.Fatalf("%d in flight, ejected %v, %d failures; want 2, false and 0", e.InFlight(), e.isEjected(start+ms),
			e.consecutiveFailures)
	}
	b.AttemptEnded(first)
	b.AttemptEnded(second)
	if e.InFlight() != 0 {
		t.Errorf("%d in flight after both have ended", e.InFlight())
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
		b.Apply(start, Change{Snapshot: true, Endpoints: list, GatewaysPerEndpoint: c.gatewaysPerEndpoint})
		if got := b.InitialAttempts(); got != c.want {
			t.Errorf("%d endpoints of %v gateways: %v initial attempts, want %v", c.endpoints, c.gatewaysPerEndpoint, got,
				c.want)
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
				t.Errorf("%s: picked %s", name, e.ID)
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
		t.Error("the only endpoint is not picked while it is ejected")
	}
	if !e.isEjected(start + objective - ms) {
		t.Error("back before its time")
	}
	if e.isEjected(start + objective) {
		t.Error("still ejected after its time")
	}
	a := startAttempt(b, start+objective, e)
	if !e.isEjected(start + objective) {
		t.Error("open for a second attempt while the first is in flight")
	}
	b.AttemptEnded(a)
	b.RecordFailure(start+objective, e)
	if !e.isEjected(start + 3*objective - ms) {
		t.Error("a further failure did not double the time")
	}
	b.RecordSuccess(start+3*objective, e, 1)
	if e.isEjected(start + 3*objective) {
		t.Error("still ejected after a success")
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
			t.Errorf("scope %d: picked %v, want %d endpoints", scope, picked, want)
		}
	}
}

func TestTriedEndpointIsTheLastResort(t *testing.T) {
	b := newBalancer(testConfig(), servingEndpoints("s", "u")...)
	tried := b.ServingEndpoints()[0]
	for range 5 {
		if e := b.Pick(start, Query{TriedEndpoints: []*Endpoint{tried}}); e.ID != "u" {
			t.Errorf("picked %s, which was tried", e.ID)
		}
		startAttempt(b, start, b.ServingEndpoints()[1])
	}
	b.Apply(start, Change{Snapshot: true, Endpoints: servingEndpoints("s")})
	if e := b.Pick(start, Query{TriedEndpoints: []*Endpoint{tried}}); e != tried {
		t.Errorf("picked %v, want the tried one where there is no other", e)
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
			t.Errorf("started %v before: weight %v, want %v", start-c.startedAt, got, c.want)
		}
	}
}

func TestSlowStartPacesAttempts(t *testing.T) {
	b := newBalancer(testConfig())
	b.Apply(start, Change{Snapshot: true, Endpoints: []model.Endpoint{{ID: "s", State: model.Serving, StartedAt: start}}})
	var last time.Duration
	attempts := 0
	for now := start; now < start+3*time.Second; now += ms {
		e := b.Pick(now, Query{})
		if e == nil {
			continue
		}
		// A warm endpoint is taken to answer 4/2 a second here: 1.5 x 0.2 to 1.5 x 0.44 of that.
		if pause := now - last; last > 0 && pause < 750*ms {
			t.Errorf("pause of %v between two attempts", pause)
		}
		b.AttemptEnded(startAttempt(b, now, e))
		last = now
		attempts++
	}
	if attempts == 0 || attempts > 4 {
		t.Errorf("%d attempts in 3 s, want 1 to 4", attempts)
	}
}
