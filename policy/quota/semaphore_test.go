package quota

import (
	"testing"

	"lemontack/policy/model"
)

// A call for a permit that timed out may have been counted: if its request is rejected, the permit is
// returned.
func TestPermitOfATimedOutCallIsReturned(t *testing.T) {
	config := testConfig()
	config.GatewayCount = 100
	plan := model.Plan{Name: "open", Price: 1, MaxConcurrency: 2, OverQuotaCost: 2}
	g := newTestGateway(t, config, append(testPlans(), plan))
	grants := g.manager.plans["open"].permitGrants
	grants.firstTryGrantShare, grants.retryGrantShare = 0.1, 0.1 // too low to admit without a permit
	calls := g.arrive(Request{ID: 1, Plan: "open", Units: 1, GatewaySpan: 100}).calls
	got := g.reply(Reply{Name: calls[0].Name, Outcome: model.TimedOut})
	if len(got.sent) != 0 || len(got.rejections) != 1 || len(got.calls) != 1 || got.calls[0].Delta != -1 {
		t.Errorf("got effects %+v, want a rejection and a call that returns the permit", got)
	}
}
