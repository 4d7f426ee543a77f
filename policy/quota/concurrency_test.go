package quota

import (
	"testing"
	"time"

	"lemontack/policy/model"
)

// The shares of all gateways always sum to the limit, even if the gateways outnumber the attempts and take
// turns.
func TestConcurrencySharesSumToTheLimit(t *testing.T) {
	const limit = 3
	plan := model.Plan{Name: "open", Price: 1, Rate: 100, Burst: 400, MaxConcurrency: limit, OverQuotaCost: 0.6}
	for _, count := range []int{1, 3, 8, 20} {
		var gateways []*testGateway
		for index := range count {
			config := testConfig()
			config.GatewayIndex, config.GatewayCount = index, count
			gateways = append(gateways, newTestGateway(t, config, []model.Plan{plan}))
		}
		for moment := range 20 {
			sum := 0
			for index, g := range gateways {
				g.now = time.Minute + time.Duration(moment)*37*ms
				c := &customer{plan: g.manager.plans["open"], gatewaySpan: count, gatewayIndex: index}
				sum += max(0, g.manager.concurrencyShare(c))
			}
			if sum != limit {
				t.Fatalf("%d gateways: got shares that sum to %d, want %d", count, sum, limit)
			}
		}
	}
}
