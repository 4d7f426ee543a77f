package policy

import (
	"testing"
	"time"
)

// newPermitCluster returns gateways with a plan that is limited to two concurrent attempts.
func newPermitCluster(t *testing.T, n int) *cluster {
	t.Helper()
	settings := testSettings()
	settings.Plans = append(settings.Plans, Plan{Name: "open", Price: 1, MaxConcurrency: 2, OverQuotaCost: 2})
	return newCluster(t, n, settings, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
}

// The gateways together hold a limit on concurrent attempts, and an attempt that ends lets one start at any other gateway.
func TestPermitsHoldTheConcurrencyLimitOverAllGateways(t *testing.T) {
	c := newPermitCluster(t, 100)
	var sent []Send
	for i, g := range c.gateways {
		sent = append(sent, c.sendRequest(g, i+1, "read", "open")...)
	}
	if len(sent) != 2 {
		t.Fatalf("%d in flight, the limit is 2", len(sent))
	}
	first := c.gateways[sent[0].ID-1]
	c.handle(first, AttemptEnded{ID: sent[0].ID, Endpoint: sent[0].Endpoint, Outcome: Succeeded, Latency: ms, RequestFinished: true})
	other := c.gateways[50]
	other.now += time.Second
	if got := c.sendRequest(other, 1000, "read", "open"); len(got) != 1 {
		t.Errorf("%d sent after one has ended, want one", len(got))
	}
}

// A counter that has lost its numbers is corrected by the permits that a gateway holds.
func TestPermitsAreKeptWhenTheCounterLosesItsTotals(t *testing.T) {
	c := newPermitCluster(t, 100)
	g := c.gateways[0]
	c.sendRequest(g, 1, "read", "open")
	clear(c.totals)
	c.sendRequest(g, 2, "read", "open")
	for name, total := range c.totals {
		if total != 2 {
			t.Errorf("%s counts %v, this gateway has 2", name, total)
		}
	}
	if got := c.sendRequest(c.gateways[1], 3, "read", "open"); len(got) != 0 {
		t.Errorf("sent %v beyond the limit", got)
	}
}

// The permits of gateways that have crashed end with the window of their name.
func TestPermitsOfACrashedGatewayEndWithTheirWindow(t *testing.T) {
	c := newPermitCluster(t, 100)
	for i, g := range c.gateways {
		c.sendRequest(g, i+1, "read", "open") // and never ends
	}
	g := c.gateways[50]
	g.now += 8 * time.Second // the window of the name: four of the longest deadline, 2 s
	if got := c.sendRequest(g, 1000, "read", "open"); len(got) != 1 {
		t.Errorf("%d sent a window after the crash, want one", len(got))
	}
}
