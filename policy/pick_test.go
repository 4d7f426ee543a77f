package policy

import (
	"fmt"
	"testing"
	"time"
)

// Many gateways with few requests each have almost no attempts in flight. An endpoint in slow start must then not score worse
// than all idle warm endpoints.
func TestEndpointsInSlowStartAreChosenByGatewaysWithFewRequests(t *testing.T) {
	settings := manyGatewaySettings()
	settings.SlowStartMinWeight, settings.SlowStartWindow = 0.3, 18*time.Second
	sent := map[bool]int{}
	for index := range 20 {
		settings.GatewayIndex = index
		g := newTestGateway(t, settings)
		var endpoints []Endpoint
		for i := range 20 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprintf("old%d", i)), State: Serving})
		}
		g.handle(EndpointsChanged{IsSnapshot: true, Endpoints: endpoints})
		inSlowStart := map[EndpointID]bool{}
		for step := range 300 { // 30 s
			if step == 150 {
				for i := range 20 {
					id := EndpointID(fmt.Sprintf("new%d", i))
					inSlowStart[id] = true
					endpoints = append(endpoints, Endpoint{ID: id, State: Serving, StartedAt: g.now})
				}
				g.handle(EndpointsChanged{Endpoints: endpoints[20:]})
			}
			g.now += 100 * ms
			for _, s := range actionsOf[Send](g.handle(Arrival{Request{ID: RequestID(step + 1), Class: "read", Plan: "free",
				Customer: "c", Units: 1, Deadline: g.now + time.Second, GatewaySpan: 1}})) {
				if step >= 150 {
					sent[inSlowStart[s.Endpoint]]++
				}
				latency := 20*ms + time.Duration(g.gateway.rng.Int64N(int64(80*ms)))
				g.handle(AttemptEnded{ID: s.ID, Endpoint: s.Endpoint, Outcome: Succeeded, Latency: latency,
					RequestFinished: true})
			}
		}
	}
	if share := float64(sent[true]) / float64(sent[true]+sent[false]); share < 0.1 || share > 0.5 {
		t.Errorf("got %.2f of the attempts at the half of the endpoints in slow start, want 0.1 to 0.5", share)
	}
}

// A gateway prefers endpoints with a warm connection if handshakes are expensive, but not if they are free.
func TestExpensiveHandshakesPreferWarmConnections(t *testing.T) {
	endpointsUsed := func(price float64) int {
		settings := manyGatewaySettings()
		settings.HandshakePrice, settings.ConnectionIdleTimeout = price, 15*time.Second
		var endpoints []Endpoint
		for i := range 30 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprintf("s%d", i)), State: Serving})
		}
		g := newTestGateway(t, settings, endpoints...)
		used := map[EndpointID]bool{}
		for i := range 40 {
			g.now += 200 * ms
			for _, s := range actionsOf[Send](g.handle(Arrival{Request{ID: RequestID(i + 1), Class: "read", Plan: "free",
				Customer: "c", Units: 1, Deadline: g.now + time.Second, GatewaySpan: 1}})) {
				used[s.Endpoint] = true
				g.handle(AttemptEnded{ID: s.ID, Endpoint: s.Endpoint, Outcome: Succeeded, Latency: 50 * ms,
					RequestFinished: true})
			}
		}
		return len(used)
	}
	if free, expensive := endpointsUsed(0), endpointsUsed(0.08); expensive*2 > free {
		t.Errorf("got %d endpoints used with expensive handshakes and %d with free ones, want at most half as many", expensive,
			free)
	}
}
