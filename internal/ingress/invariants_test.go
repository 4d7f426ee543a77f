package ingress

import (
	"errors"
	"testing"
	"time"

	"lemontack/internal/listener"
	"lemontack/internal/stall"
	"lemontack/internal/upstream"
	"lemontack/policy"
)

// checkStart returns the reason why an attempt may not start, and violatedInvariant whether that is a fault of the policy.
func TestCheckStartReturnsReason(t *testing.T) {
	const window = 4 * time.Second
	cfg := testConfig("", endpointsAt("127.0.0.1:1", "127.0.0.1:2"))
	cfg.Settings.MaxAttempts, cfg.Settings.HedgingEnabled = 3, true
	cfg.Settings.Classes[2].DeduplicationWindow = window
	cfg.Settings.Classes[2].DeduplicationScope = policy.ScopeAll
	classes := append([]policy.Class{}, cfg.Settings.Classes...)
	classes[2].Name, classes[2].DeduplicationScope = "cell", policy.ScopeCell
	cfg.Settings.Classes = append(cfg.Settings.Classes, classes[2])
	g := idleGateway(t, cfg)
	g.pool.Endpoint("s1").Cell = 1
	disconnected := requestOfDisconnectedClient(t, g)
	type earlierAttempt struct {
		ended   bool
		outcome policy.Outcome
	}
	ended := func(o policy.Outcome) earlierAttempt { return earlierAttempt{true, o} }
	inFlight := earlierAttempt{}
	for name, c := range map[string]struct {
		class       string
		change      func(r *request, a *attempt)
		earlier     []earlierAttempt
		earlierAge  time.Duration // time since the earlier attempts started
		want        error
		isViolation bool
	}{
		"first": {"write", nil, nil, 0, nil, false},
		"ended": {"read", func(r *request, _ *attempt) { r.finished = true }, nil, 0, errRequestFinished, false},
		"client disconnected": {"read", func(r *request, _ *attempt) { r.Request = disconnected }, nil, 0,
			errClientDisconnected, false},
		"deadline exceeded": {"read", func(_ *request, a *attempt) { a.deadline = g.now }, nil, 0, errNoTimeLeft, false},
		"draining": {"read", func(_ *request, a *attempt) {
			a.endpoint = &upstream.Endpoint{Endpoint: policy.Endpoint{State: policy.Draining}}
		}, nil, 0, errEndpointNotServing, false},
		"too many":                  {"read", func(_ *request, a *attempt) { a.number = 3 }, nil, 0, errTooManyAttempts, true},
		"hedge":                     {"read", nil, []earlierAttempt{inFlight}, 0, nil, false},
		"non-idempotent, in flight": {"write", nil, []earlierAttempt{inFlight}, 0, errMayBeExecuted, true},
		"non-idempotent, reset":     {"write", nil, []earlierAttempt{ended(policy.Reset)}, 0, errMayBeExecuted, true},
		"non-idempotent, not executed": {"write", nil, []earlierAttempt{ended(policy.Rejected), ended(policy.ConnectFailed)}, 0,
			nil, false},
		"keyed": {"keyed", nil, []earlierAttempt{ended(policy.Reset)}, time.Second, nil, false},
		"keyed, decided when the window is over": {"keyed", nil, []earlierAttempt{ended(policy.Reset)}, window,
			errRetriedTooLate, true},
		"keyed, window over while it waits": {"keyed", func(_ *request, a *attempt) { a.startedAt -= window / 2 },
			[]earlierAttempt{ended(policy.Reset)}, window, errDeduplicationWindow, false},
		"keyed, window nearly over": {"keyed", nil, []earlierAttempt{ended(policy.Reset)}, window - stall.MaxStall,
			errDeduplicationWindow, false},
		"keyed, another cell":               {"cell", nil, []earlierAttempt{ended(policy.Reset)}, 0, errMayBeExecuted, true},
		"keyed, not executed, another cell": {"cell", nil, []earlierAttempt{ended(policy.NotSent)}, 0, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &request{Request: &listener.Request{}}
			r.Class = c.class
			for i, b := range c.earlier {
				r.attempts = append(r.attempts, &attempt{gateway: g, request: r, number: i, endpoint: g.pool.Endpoint("s0"),
					startedAt: g.now - c.earlierAge, ended: b.ended, outcome: b.outcome})
			}
			a := g.newAttempt(r, g.pool.Endpoint("s1"), g.now+time.Minute)
			if c.change != nil {
				c.change(r, a)
			}
			got := a.checkStart()
			if _, isViolation := violatedInvariant(got); !errors.Is(got, c.want) || isViolation != c.isViolation {
				t.Fatalf("got %v, violation %v; want %v, %v", got, isViolation, c.want, c.isViolation)
			}
		})
	}
}

// Without hedging, a second attempt is denied while the first is in flight.
func TestParallelAttemptIsDeniedWithoutHedging(t *testing.T) {
	g := idleGateway(t, testConfig("", endpointsAt("127.0.0.1:1")))
	r := &request{Request: &listener.Request{}}
	r.Class = "read"
	g.newAttempt(r, g.pool.Endpoint("s0"), g.now+time.Minute)
	second := g.newAttempt(r, g.pool.Endpoint("s0"), g.now+time.Minute)
	second.number = 0
	if err := second.checkStart(); !errors.Is(err, errParallelAttempt) {
		t.Fatalf("got %v, want %v", err, errParallelAttempt)
	}
}

// A retry that would violate an invariant is counted, and its attempt ends as not sent.
func TestDeniedRetryIsNotSentAndCounted(t *testing.T) {
	g := idleGateway(t, testConfig("", endpointsAt("127.0.0.1:1")))
	r := &request{Request: &listener.Request{}}
	r.Class = "write"
	first := g.newAttempt(r, g.pool.Endpoint("s0"), g.now+time.Minute)
	first.ended, first.outcome = true, policy.Reset
	second := g.newAttempt(r, g.pool.Endpoint("s0"), g.now+time.Minute)
	second.number = 0
	if g.startAttempt(second); !second.ended || second.outcome != policy.NotSent || len(g.events) > 0 {
		t.Fatalf("ended %v with %v, %d events; want an end as not sent, and no events", second.ended, second.outcome, len(g.events))
	}
	if n := g.observer.violations.Value(invariantRetry); n != 1 {
		t.Fatalf("%d violations counted, want 1", n)
	}
}
