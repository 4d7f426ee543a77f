package policy

import (
	"fmt"
	"testing"
	"time"
)

// The over-quota requests that all gateways together admit cost at bound 0.05 of the weight inside the quotas more than under
// a policy that sees the true state with a delay, whatever the cost of one; and what is served inside the quotas is at bound
// the given share of what that policy serves. It is less than all where the counter can take only two calls a request.
func TestQuotasHoldOverAllGatewaysAtEveryOverQuotaCost(t *testing.T) {
	counter := counterCase{callsPerRequest: 2, delay: 2 * ms}
	slow := counterCase{callsPerRequest: 2, delay: 12 * ms, lossShare: 0.01}
	for _, test := range []struct {
		simulationCase
		minServedRatio float64 // minimum, of what the reference serves inside
	}{
		{simulationCase{gatewayCount: 4, overQuotaCost: 1.2, counter: counter}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 0.5, counter: counter}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 4, counter: slow}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 1.2, limits: limitConcurrency, counter: counter}, 0.75},
		{simulationCase{gatewayCount: 30, overQuotaCost: 4, limits: limitBoth, counter: counter}, 0.7},
		{simulationCase{gatewayCount: 150, overQuotaCost: 1.2, counter: counter, duration: 8 * time.Second}, 0.9},
		{simulationCase{gatewayCount: 150, overQuotaCost: 4, counter: counter, duration: 8 * time.Second}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 1.2, counter: counter, restartAt: 7 * time.Second, restartedShare: 0.7}, 0.9},
		{simulationCase{gatewayCount: 30, overQuotaCost: 1.2, counter: counterCase{callsPerRequest: 2, delay: 2 * ms, outageStart: 5 * time.Second,
			outageLength: 4 * time.Second, losesTotals: true}}, 0.7},
		{simulationCase{gatewayCount: 100, overQuotaCost: 2, counter: counterCase{absent: true}, duration: 8 * time.Second}, 0.4},
		{simulationCase{gatewayCount: 300, overQuotaCost: 2, limits: limitConcurrency, counter: counter, duration: 8 * time.Second}, 0.75},
	} {
		t.Run(fmt.Sprint(test.gatewayCount, " gateways, cost ", test.overQuotaCost, ", limits ", test.limits, ", counter ", !test.counter.absent), func(t *testing.T) {
			actual, reference := newQuotaSimulation(t, test.simulationCase, 1).simulate()
			t.Logf("served %.2f (reference %.2f), over-quota cost %.3f (%.3f), %d calls for %d requests", actual.servedShare(), reference.servedShare(),
				actual.costShare(), reference.costShare(), actual.calls, actual.requests)
			if bound := reference.costShare() + 0.05; actual.costShare() > bound {
				t.Errorf("over-quota cost %.3f, the bound is %.3f", actual.costShare(), bound)
			}
			if bound := test.minServedRatio * reference.servedShare(); actual.servedShare() < bound {
				t.Errorf("served inside %.3f, the bound is %.3f", actual.servedShare(), bound)
			}
		})
	}
}
