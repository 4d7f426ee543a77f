package policy

import (
	"testing"
	"time"
)

// newPermitCluster returns n gateways whose plan "open" is limited to two concurrent attempts.
func newPermitCluster(t *testing.T, n int) *cluster {
	t.Helper()
	settings := testSettings()
	settings.Plans = append(settings.Plans, Plan{Name: "open", Price: 1, MaxConcurrency: 2, OverQuotaCost: 2})
	return newCluster(t, n, settings, Endpoint{ID: "s", State: Serving}, Endpoint{ID: "u", State: Serving})
}

// All gateways together stay within a limit on concurrent attempts, and the end of an attempt lets another one start at any
// other gateway.
func TestPermitsHoldTheConcurrencyLimitOverAllGateways(t *testing.T) {
	c := newPermitCluster(t, 100)
	var sent []Send
	for i, g := range c.gateways {
		sent = append(sent, c.sendRequest(g, i+1, "read", "open")...)
	}
	if len(sent) != 2 {
		t.Fatalf("got %d attempts in flight, want the limit of 2", len(sent))
	}
	first := c.gateways[sent[0].ID-1]
	c.handle(first, AttemptEnded{ID: sent[0].ID, Endpoint: sent[0].Endpoint, Outcome: Succeeded, Latency: ms,
		RequestFinished: true})
	other := c.gateways[50]
	other.now += time.Second
	if got := c.sendRequest(other, 1000, "read", "open"); len(got) != 1 {
		t.Errorf("got %d attempts sent after one has ended, want 1", len(got))
	}
}

// A gateway restores the permits that it holds on a counter that has lost its totals.
func TestPermitsAreKeptWhenTheCounterLosesItsTotals(t *testing.T) {
	c := newPermitCluster(t, 100)
	g := c.gateways[0]
	c.sendRequest(g, 1, "read", "open")
	clear(c.totals)
	c.sendRequest(g, 2, "read", "open")
	for name, total := range c.totals {
		if total != 2 {
			t.Errorf("%s: got a total of %v, want the 2 permits of this gateway", name, total)
		}
	}
	if got := c.sendRequest(c.gateways[1], 3, "read", "open"); len(got) != 0 {
		t.Errorf("got sends %v beyond the limit, want none", got)
	}
}

// The permits of gateways that have crashed expire with the window of their counter name.
func TestPermitsOfACrashedGatewayEndWithTheirWindow(t *testing.T) {
	c := newPermitCluster(t, 100)
	for i, g := range c.gateways {
		c.sendRequest(g, i+1, "read", "open") // the attempts never end
	}
	g := c.gateways[50]
	g.now += 8 * time.Second // the window of the counter name: four times the longest deadline of 2 s
	if got := c.sendRequest(g, 1000, "read", "open"); len(got) != 1 {
		t.Errorf("got %d attempts sent one window after the crash, want 1", len(got))
	}
}
