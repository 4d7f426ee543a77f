package ingress

import (
	"errors"
	"testing"
	"time"

	"lemontack/internal/listener"
	"lemontack/internal/stall"
	"lemontack/policy"
)

// The guard before attempts: what it denies, and whether that is a fault of the module.
func TestGuard(t *testing.T) {
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
	g.backends["s1"].Cell = 1
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
		"first":                       {"write", nil, nil, 0, nil, false},
		"over":                        {"read", func(r *request, _ *attempt) { r.final = true }, nil, 0, errOver, false},
		"left":                        {"read", func(r *request, _ *attempt) { r.Request = left }, nil, 0, errLeft, false},
		"no time":                     {"read", func(_ *request, a *attempt) { a.stop = g.now }, nil, 0, errNoTime, false},
		"drains":                      {"read", func(_ *request, a *attempt) { a.be = &backend{Endpoint: policy.Endpoint{State: policy.Draining}} }, nil, 0, errNotRunning, false},
		"too many":                    {"read", func(_ *request, a *attempt) { a.n = 3 }, nil, 0, errTooMany, true},
		"a copy":                      {"read", nil, []past{out}, 0, nil, false},
		"unsafe, out":                 {"write", nil, []past{out}, 0, errRepeat, true},
		"unsafe, reset":               {"write", nil, []past{ended(policy.Reset)}, 0, errRepeat, true},
		"unsafe, never ran":           {"write", nil, []past{ended(policy.Rejected), ended(policy.ConnectFailed)}, 0, nil, false},
		"keyed":                       {"keyed", nil, []past{ended(policy.Reset)}, time.Second, nil, false},
		"keyed, window over":          {"keyed", nil, []past{ended(policy.Reset)}, window, errWindow, false},
		"keyed, window nearly over":   {"keyed", nil, []past{ended(policy.Reset)}, window - stall.MaxStall, errWindow, false},
		"keyed, another cell":         {"cell", nil, []past{ended(policy.Reset)}, 0, errRepeat, true},
		"keyed, never ran, elsewhere": {"cell", nil, []past{ended(policy.NotSent)}, 0, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &request{Request: &listener.Request{}}
			r.Class = c.class
			for i, b := range c.before {
				r.attempts = append(r.attempts, &attempt{req: r, n: i, be: g.backends["s0"], began: g.now - c.ago, ended: b.ended,
					outcome: b.outcome})
			}
			a := &attempt{req: r, n: len(r.attempts), be: g.backends["s1"], began: g.now, stop: g.now + time.Minute}
			r.attempts = append(r.attempts, a)
			if c.change != nil {
				c.change(r, a)
			}
			got := g.mayBegin(a)
			if _, fault := isFault(got); !errors.Is(got, c.want) || fault != c.fault {
				t.Fatalf("%v, a fault: %v; want %v, %v", got, fault, c.want, c.fault)
			}
		})
	}
}

// Copies are out one at a time where the settings say so.
func TestGuardOfCopies(t *testing.T) {
	g := idleGateway(t, "127.0.0.1:1")
	r := &request{Request: &listener.Request{}}
	r.Class = "read"
	first, second := &attempt{req: r, be: g.backends["s0"]}, &attempt{req: r, n: 0, be: g.backends["s0"], stop: g.now + time.Minute}
	r.attempts = []*attempt{first, second}
	if err := g.mayBegin(second); !errors.Is(err, errParallel) {
		t.Fatal(err)
	}
}

// What the guard denies as a fault of the module is counted, and the attempt ends unsent.
func TestViolationsAreCounted(t *testing.T) {
	g := idleGateway(t, "127.0.0.1:1")
	r := &request{Request: &listener.Request{}, out: 2}
	r.Class = "write"
	first := &attempt{req: r, be: g.backends["s0"], ended: true, outcome: policy.Reset}
	second := &attempt{req: r, be: g.backends["s0"], stop: g.now + time.Minute}
	r.attempts = []*attempt{first, second}
	if g.begins(second) || !second.ended || second.outcome != policy.NotSent {
		t.Fatal("a request that may have run is sent again")
	}
	if n := g.observe.violations.Value(ruleRepeat); n != 1 {
		t.Fatalf("%d violations counted", n)
	}
}
