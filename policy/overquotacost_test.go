package policy

import (
	"fmt"
	"testing"
	"time"
)

// The over-quota requests that all gateways together admit cost at most 0.05 of the offered weight more than those of the
// reference policy (see decideByDelayedState), and the weight served inside the quotas is at least the given share of the
// reference. The counter has capacity for only two calls per request.
func TestQuotasHoldOverAllGatewaysAtEveryOverQuotaCost(t *testing.T) {
	counter := counterCase{callsPerRequest: 2, delay: 2 * ms}
	slow := counterCase{callsPerRequest: 2, delay: 12 * ms, lossShare: 0.01}
	for _, test := range []struct {
		simulationCase
		minServedRatio float64 // minimum weight served inside the quotas, as a share of that of the reference
	}{
		{simulationCase{gatewayCount: 4, overQuotaCost: 1.2, counter: counter}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 0.5, counter: counter}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 4, counter: slow}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 1.2, limits: limitConcurrency, counter: counter}, 0.75},
		{simulationCase{gatewayCount: 30, overQuotaCost: 4, limits: limitBoth, counter: counter}, 0.7},
		{simulationCase{gatewayCount: 150, overQuotaCost: 1.2, counter: counter, duration: 8 * time.Second}, 0.9},
		{simulationCase{gatewayCount: 150, overQuotaCost: 4, counter: counter, duration: 8 * time.Second}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 1.2, counter: counter, restartAt: 7 * time.Second,
			restartedShare: 0.7}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 1.2,
			counter: counterCase{callsPerRequest: 2, delay: 2 * ms, outageStart: 5 * time.Second,
				outageLength: 4 * time.Second, losesTotals: true}}, 0.7},
		{simulationCase{gatewayCount: 100, overQuotaCost: 2, counter: counterCase{absent: true}, duration: 8 * time.Second}, 0.4},
		{simulationCase{gatewayCount: 300, overQuotaCost: 2, limits: limitConcurrency, counter: counter,
			duration: 8 * time.Second}, 0.75},
	} {
		t.Run(fmt.Sprint(test.gatewayCount, " gateways, cost ", test.overQuotaCost, ", limits ", test.limits, ", counter ",
			!test.counter.absent), func(t *testing.T) {
			actual, reference := newQuotaSimulation(t, test.simulationCase, 1).simulate()
			t.Logf("served %.2f (reference %.2f), over-quota cost %.3f (%.3f), %d calls for %d requests",
				actual.servedShare(), reference.servedShare(),
				actual.costShare(), reference.costShare(), actual.calls, actual.requests)
			if bound := reference.costShare() + 0.05; actual.costShare() > bound {
				t.Errorf("got over-quota cost %.3f, want at most %.3f", actual.costShare(), bound)
			}
			if bound := test.minServedRatio * reference.servedShare(); actual.servedShare() < bound {
				t.Errorf("got served share %.3f, want at least %.3f", actual.servedShare(), bound)
			}
		})
	}
}
