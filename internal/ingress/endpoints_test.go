package ingress

import (
	"fmt"
	"io"
	"testing"
	"time"

	"lemontack/internal/discovery"
	"lemontack/internal/nettest"
	"lemontack/internal/standin"
)

// The discovery client is configured with the address, the settings and the known list of the gateway.
func TestDiscoveryClientUsesGatewaySettings(t *testing.T) {
	cfg := testConfig("127.0.0.1:1", endpointsAt("127.0.0.1:2"))
	cfg.Settings.GatewayCount, cfg.Settings.PollEndpoints = 9, true
	g, err := New(cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	got := g.discoveryConfig()
	if got.Address != cfg.Discovery || got.KnownList.Revision != 1 || len(got.KnownList.Entries) != 1 ||
		got.Settings.GatewayCount != 9 || !got.Settings.PollEndpoints {
		t.Errorf("got %+v, want the address, known list and settings of %+v", got, cfg)
	}
}

// The list that the policy fetches contains the latest estimate of the number of gateways per endpoint.
func TestFetchedListHasTheLatestGatewaysPerEndpoint(t *testing.T) {
	g := idleGateway(t, testConfig("", endpointsAt(startServingEndpoint(t, "a").addr)))
	list := endpointsAt("127.0.0.1:9")
	list.GatewaysPerEndpoint = 30
	g.handle(endpointsUpdated{list})
	if ev := g.endpointList(); ev.GatewaysPerEndpoint != 30 {
		t.Errorf("%v gateways per endpoint, want 30", ev.GatewaysPerEndpoint)
	}
}

// A gateway of a large deployment decodes a list of 200,000 endpoints, serves from it, and applies its changes.
func TestGatewayServesFromALongList(t *testing.T) {
	a := startServingEndpoint(t, "a")
	service := standin.NewDiscovery(standin.DiscoveryConfig{})
	list := func(n int, addr string) (targets []standin.Target) {
		for i := range n {
			targets = append(targets, standin.Target{UID: fmt.Sprintf("s-%08x", i), Address: addr, Zone: fmt.Sprint("z", i%9),
				Group: i / 5, State: "SERVING"})
		}
		return targets
	}
	service.SetList(list(200_000, a.addr))
	ln := nettest.Listen(t)
	go service.Serve(ln) // ended by Close
	t.Cleanup(func() { service.Close() })
	cfg := testConfig(ln.Addr().String(), discovery.EndpointList{})
	cfg.Settings.GatewayIndex, cfg.Settings.GatewayCount = 4711, 6400
	for i := range cfg.Settings.Classes { // the time to decode the list is not checked
		cfg.Settings.Classes[i].LatencyObjective = time.Hour
		cfg.Settings.Classes[i].Deadline = time.Hour
	}
	addr, _ := startIngress(t, cfg)
	awaitServedBy(t, addr, "a")
	b := startServingEndpoint(t, "b")
	service.SetList(list(200_000, b.addr))
	nc, in := nettest.Dial(t, addr)
	nc.SetReadDeadline(time.Time{})
	for i := 1_000_000; ; i++ { // IDs that awaitServedBy has not used
		io.WriteString(nc, nettest.Ask(i, longTimeoutReadFields))
		nettest.ReadLine(t, in)
		if nettest.ReadLine(t, in) == "b" {
			break
		}
	}
}

// After a change of discovery's address the list is polled at once at the new address, and client connections remain open.
func TestDiscoveryAddressChangeKeepsClients(t *testing.T) {
	endpoint := startServingEndpoint(t, "value")
	list := endpointsAt(endpoint.addr)
	list.Revision = 2
	from, to := startDiscovery(t, endpointsAt(), nil), startDiscovery(t, list, nil)
	addr, g := startGateway(t, testConfig(from, endpointsAt()))
	nc, in := nettest.Dial(t, addr)
	g.SetAddresses("127.0.0.1:1", "")
	g.SetAddresses(to, "")
	io.WriteString(nc, nettest.Ask(1, nettest.ReadFields)) // waits for an endpoint
	nettest.WantValue(t, in)
}

// A new process uses the list of discovery as soon as it has received it, because the known list may be outdated.
func TestDiscoveryListReplacesKnownListAtStart(t *testing.T) {
	a, b := startServingEndpoint(t, "a"), startServingEndpoint(t, "b")
	list := endpointsAt(a.addr, b.addr)
	list.Revision, list.Entries[0].State = 2, "DRAINING"
	addr, _ := startIngress(t, testConfig(startDiscovery(t, list, nil), endpointsAt(a.addr)))
	awaitServedBy(t, addr, "b")
	before := len(a.received())
	nc, in := nettest.Dial(t, addr)
	for i := range 20 {
		io.WriteString(nc, nettest.Ask(1000+i, nettest.ReadFields))
		nettest.ReadLine(t, in)
		nettest.ReadLine(t, in)
	}
	if n := len(a.received()); n != before {
		t.Fatalf("%d commands to a draining endpoint, want none", n-before)
	}
}
