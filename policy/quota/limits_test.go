package quota

import (
	"math"
	"testing"
	"time"

	"lemontack/policy/model"
)

// Rates of nearly zero gave times that overflowed, to another value on each architecture.
func TestSecondsAreBounded(t *testing.T) {
	for count, want := range map[float64]time.Duration{
		0: 0, 1.5: 1500 * ms, -1: -time.Second, 1e300: maxSeconds * time.Second, math.Inf(1): maxSeconds * time.Second,
	} {
		if got := seconds(count); got != want {
			t.Errorf("%v s: got %v, want %v", count, got, want)
		}
	}
}

// A ceiling that refills as good as never stays exceeded when its customer is evicted, for a time that does not overflow.
func TestCeilingDebtIsBounded(t *testing.T) {
	plan := model.Plan{Name: "p", Price: 1, CeilingRate: 1e-12, CeilingBurst: 10}
	g := newTestGateway(t, testConfig(), []model.Plan{plan})
	exceeding := g.customer("p", 1)
	exceeding.ceiling.tokens = -5
	g.manager.keepCeilingDebt(exceeding)
	if got, want := g.manager.planFor("p").ceilingDebtUntil, g.now+maxSeconds*time.Second; got != want {
		t.Fatalf("got a debt until %v, want until %v", got, want)
	}
}

// A plan with a ceiling whose rate refills its burst within a nanosecond made the windows of its names empty, and the first request
// divided by zero.
func TestExtremeRatesOfAPlanWithACeilingAreServed(t *testing.T) {
	for _, rate := range []float64{1e-12, 1, 1e12, math.MaxFloat64} {
		config := testConfig()
		config.GatewayCount = 60
		plan := model.Plan{Name: "p", Price: 1, Rate: rate, Burst: 8, CeilingRate: 20, CeilingBurst: 40}
		g := newTestGateway(t, config, []model.Plan{plan})
		latest := g.arrive(Request{ID: 1, Plan: "p", Units: 1, GatewaySpan: 60})
		if len(latest.calls) != 1 {
			t.Fatalf("rate %v: got %d calls for the request, want one", rate, len(latest.calls))
		}
		if sent := g.reply(Reply{Name: latest.calls[0].Name, Outcome: model.Succeeded, Total: 1}).sent; len(sent) != 1 {
			t.Errorf("rate %v: got %v sent, want the request", rate, sent)
		}
	}
}
