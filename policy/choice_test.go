package policy

import (
	"fmt"
	"testing"
	"time"
)

// Servers that replace others in a large fleet take up work as they warm: no gateway has much out anywhere, and a new
// server must not look worse than all the warm ones that stand idle.
func TestColdServersShareTheWorkOfAThinFleet(t *testing.T) {
	set := fleetSettings()
	set.SlowStartMinWeight, set.SlowStartWindow = 0.3, 18*time.Second
	sent := map[bool]int{}
	for me := range 20 {
		set.Index = me
		r := newRig(t, set)
		var fleet []Endpoint
		for i := range 20 {
			fleet = append(fleet, Endpoint{ID: EndpointID(fmt.Sprintf("old%d", i)), State: Serving})
		}
		r.tell(EndpointsChanged{Snapshot: true, Endpoints: fleet})
		cold := map[EndpointID]bool{}
		for step := range 300 { // 30 s
			if step == 150 {
				for i := range 20 {
					id := EndpointID(fmt.Sprintf("new%d", i))
					cold[id] = true
					fleet = append(fleet, Endpoint{ID: id, State: Serving, StartedAt: r.now})
				}
				r.tell(EndpointsChanged{Endpoints: fleet[20:]})
			}
			r.now += 100 * ms
			for _, s := range only[Send](r.tell(Arrival{Request{ID: RequestID(step + 1), Class: "read", Plan: "free",
				Customer: "c", Units: 1, Deadline: r.now + time.Second, GatewaySpan: 1}})) {
				if step >= 150 {
					sent[cold[s.Endpoint]]++
				}
				took := 20*ms + time.Duration(r.g.rng.Int64N(int64(80*ms)))
				r.tell(AttemptEnded{ID: s.ID, Endpoint: s.Endpoint, Outcome: Succeeded, Latency: took, RequestFinished: true})
			}
		}
	}
	if share := float64(sent[true]) / float64(sent[true]+sent[false]); share < 0.1 || share > 0.5 {
		t.Errorf("the cold half of the fleet took %.2f of the work, want some 0.1 to 0.5", share)
	}
}

// Where connections are dear a gateway stays with the servers that it has one to; where they cost nothing, it does not.
func TestDearHandshakesKeepAGatewayWithItsServers(t *testing.T) {
	used := func(price float64) int {
		set := fleetSettings()
		set.HandshakePrice, set.ConnectionIdleTimeout = price, 15*time.Second
		var fleet []Endpoint
		for i := range 30 {
			fleet = append(fleet, Endpoint{ID: EndpointID(fmt.Sprintf("s%d", i)), State: Serving})
		}
		r := newRig(t, set, fleet...)
		met := map[EndpointID]bool{}
		for i := range 40 {
			r.now += 200 * ms
			for _, s := range only[Send](r.tell(Arrival{Request{ID: RequestID(i + 1), Class: "read", Plan: "free",
				Customer: "c", Units: 1, Deadline: r.now + time.Second, GatewaySpan: 1}})) {
				met[s.Endpoint] = true
				r.tell(AttemptEnded{ID: s.ID, Endpoint: s.Endpoint, Outcome: Succeeded, Latency: 50 * ms, RequestFinished: true})
			}
		}
		return len(met)
	}
	if free, dear := used(0), used(0.08); dear*2 > free {
		t.Errorf("%d servers used with dear handshakes, %d with free ones: want half as many at most", dear, free)
	}
}
