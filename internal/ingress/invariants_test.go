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

// Why an attempt may not start, and whether that is a fault of the policy.
func TestCheckStartGivesTheReason(t *testing.T) {
	const window = 4 * time.Second
	cfg := testConfig("", fleetOf("127.0.0.1:1", "127.0.0.1:2"))
	cfg.Settings.MaxAttempts, cfg.Settings.Hedging = 3, true
	cfg.Settings.Classes[2].DeduplicationWindow = window
	cfg.Settings.Classes[2].DeduplicationScope = policy.ScopeAll
	groups := append([]policy.Class{}, cfg.Settings.Classes...)
	groups[2].Name, groups[2].DeduplicationScope = "cell", policy.ScopeCell
	cfg.Settings.Classes = append(cfg.Settings.Classes, groups[2])
	g, err := New(cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	run(t, g)
	g.pool.Endpoint("s1").Cell = 1
	left := requestOfAClientThatLeft(t, g)
	type past struct {
		ended   bool
		outcome policy.Outcome
	}
	ended := func(o policy.Outcome) past { return past{true, o} }
	out := past{}
	for name, c := range map[string]struct {
		class  string
		change func(r *request, a *attempt)
		before []past
		ago    time.Duration // when they began
		want   error
		fault  bool
	}{
		"first":   {"write", nil, nil, 0, nil, false},
		"over":    {"read", func(r *request, _ *attempt) { r.final = true }, nil, 0, errRequestOver, false},
		"left":    {"read", func(r *request, _ *attempt) { r.Request = left }, nil, 0, errClientDisconnected, false},
		"no time": {"read", func(_ *request, a *attempt) { a.deadline = g.now }, nil, 0, errNoTimeLeft, false},
		"drains": {"read", func(_ *request, a *attempt) {
			a.endpoint = &upstream.Endpoint{Endpoint: policy.Endpoint{State: policy.Draining}}
		}, nil, 0, errEndpointNotServing, false},
		"too many":                    {"read", func(_ *request, a *attempt) { a.number = 3 }, nil, 0, errTooManyAttempts, true},
		"a copy":                      {"read", nil, []past{out}, 0, nil, false},
		"unsafe, out":                 {"write", nil, []past{out}, 0, errMayBeExecuted, true},
		"unsafe, reset":               {"write", nil, []past{ended(policy.Reset)}, 0, errMayBeExecuted, true},
		"unsafe, never ran":           {"write", nil, []past{ended(policy.Rejected), ended(policy.ConnectFailed)}, 0, nil, false},
		"keyed":                       {"keyed", nil, []past{ended(policy.Reset)}, time.Second, nil, false},
		"keyed, window over":          {"keyed", nil, []past{ended(policy.Reset)}, window, errDeduplicationWindow, false},
		"keyed, window nearly over":   {"keyed", nil, []past{ended(policy.Reset)}, window - stall.MaxStall, errDeduplicationWindow, false},
		"keyed, another cell":         {"cell", nil, []past{ended(policy.Reset)}, 0, errMayBeExecuted, true},
		"keyed, never ran, elsewhere": {"cell", nil, []past{ended(policy.NotSent)}, 0, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &request{Request: &listener.Request{}}
			r.Class = c.class
			for i, b := range c.before {
				r.attempts = append(r.attempts, &attempt{gateway: g, request: r, number: i, endpoint: g.pool.Endpoint("s0"),
					startedAt: g.now - c.ago, ended: b.ended, outcome: b.outcome})
			}
			a := g.newAttempt(r, g.pool.Endpoint("s1"), g.now+time.Minute)
			if c.change != nil {
				c.change(r, a)
			}
			got := a.checkStart()
			if _, fault := brokenInvariant(got); !errors.Is(got, c.want) || fault != c.fault {
				t.Fatalf("%v, a fault: %v; want %v, %v", got, fault, c.want, c.fault)
			}
		})
	}
}

// Attempts are open one at a time where the settings say so.
func TestParallelAttemptIsDeniedWithoutHedging(t *testing.T) {
	g := idleGateway(t, "127.0.0.1:1")
	r := &request{Request: &listener.Request{}}
	r.Class = "read"
	g.newAttempt(r, g.pool.Endpoint("s0"), g.now+time.Minute)
	second := g.newAttempt(r, g.pool.Endpoint("s0"), g.now+time.Minute)
	second.number = 0
	if err := second.checkStart(); !errors.Is(err, errParallelAttempt) {
		t.Fatal(err)
	}
}

// What is denied as a fault of the policy is counted, and the attempt ends as not sent.
func TestDeniedRetryIsNotSentAndCounted(t *testing.T) {
	g := idleGateway(t, "127.0.0.1:1")
	r := &request{Request: &listener.Request{}}
	r.Class = "write"
	first := g.newAttempt(r, g.pool.Endpoint("s0"), g.now+time.Minute)
	first.ended, first.outcome = true, policy.Reset
	second := g.newAttempt(r, g.pool.Endpoint("s0"), g.now+time.Minute)
	second.number = 0
	if g.startAttempt(second); !second.ended || second.outcome != policy.NotSent || len(g.events) > 0 {
		t.Fatal("a request that may have run is sent again")
	}
	if n := g.observe.violations.Value(invariantRetry); n != 1 {
		t.Fatalf("%d violations counted", n)
	}
}
