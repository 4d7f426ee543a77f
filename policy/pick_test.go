package policy

import (
	"fmt"
	"testing"
	"time"
)

// Many gateways with few requests each: none has much in flight anywhere, and an endpoint in slow start must not look worse
// than all the warm ones that are idle.
func TestEndpointsInSlowStartAreChosenByGatewaysWithFewRequests(t *testing.T) {
	set := manyGatewaySettings()
	set.SlowStartMinWeight, set.SlowStartWindow = 0.3, 18*time.Second
	sent := map[bool]int{}
	for me := range 20 {
		set.Index = me
		g := newTestGateway(t, set)
		var endpoints []Endpoint
		for i := range 20 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprintf("old%d", i)), State: Serving})
		}
		g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpoints})
		starting := map[EndpointID]bool{}
		for step := range 300 { // 30 s
			if step == 150 {
				for i := range 20 {
					id := EndpointID(fmt.Sprintf("new%d", i))
					starting[id] = true
					endpoints = append(endpoints, Endpoint{ID: id, State: Serving, StartedAt: g.now})
				}
				g.handle(EndpointsChanged{Endpoints: endpoints[20:]})
			}
			g.now += 100 * ms
			for _, s := range only[Send](g.handle(Arrival{Request{ID: RequestID(step + 1), Class: "read", Plan: "free",
				Customer: "c", Units: 1, Deadline: g.now + time.Second, GatewaySpan: 1}})) {
				if step >= 150 {
					sent[starting[s.Endpoint]]++
				}
				took := 20*ms + time.Duration(g.gateway.rng.Int64N(int64(80*ms)))
				g.handle(AttemptEnded{ID: s.ID, Endpoint: s.Endpoint, Outcome: Succeeded, Latency: took, RequestFinished: true})
			}
		}
	}
	if share := float64(sent[true]) / float64(sent[true]+sent[false]); share < 0.1 || share > 0.5 {
		t.Errorf("the half in slow start took %.2f of the attempts, want some 0.1 to 0.5", share)
	}
}

// Where handshakes are expensive a gateway prefers endpoints with a warm connection; where they cost nothing, it does not.
func TestExpensiveHandshakesPreferWarmConnections(t *testing.T) {
	endpointsUsed := func(price float64) int {
		set := manyGatewaySettings()
		set.HandshakePrice, set.ConnectionIdleTimeout = price, 15*time.Second
		var endpoints []Endpoint
		for i := range 30 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprintf("s%d", i)), State: Serving})
		}
		g := newTestGateway(t, set, endpoints...)
		used := map[EndpointID]bool{}
		for i := range 40 {
			g.now += 200 * ms
			for _, s := range only[Send](g.handle(Arrival{Request{ID: RequestID(i + 1), Class: "read", Plan: "free",
				Customer: "c", Units: 1, Deadline: g.now + time.Second, GatewaySpan: 1}})) {
				used[s.Endpoint] = true
				g.handle(AttemptEnded{ID: s.ID, Endpoint: s.Endpoint, Outcome: Succeeded, Latency: 50 * ms, RequestFinished: true})
			}
		}
		return len(used)
	}
	if free, expensive := endpointsUsed(0), endpointsUsed(0.08); expensive*2 > free {
		t.Errorf("%d endpoints used with expensive handshakes, %d with free ones: want half as many at most", expensive, free)
	}
}
