package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"lemontack/internal/nettest"
	"lemontack/internal/standin"
	"lemontack/policy"
)

var discardLog = slog.New(slog.DiscardHandler)

// Deadlines for publishing a change, from the requirements of the ingress.
const (
	changeDeadline        = 6 * time.Second // after discovery has it and is reachable, even after a failed call
	addressChangeDeadline = 4 * time.Second // after an address change of discovery
	pushDeadline          = time.Second     // after discovery has it and is reachable, where an agent pushes lists
)

// oneOfManyGateways returns the settings of one gateway of a large fleet.
func oneOfManyGateways() policy.Settings {
	return policy.Settings{GatewayIndex: 4711, GatewayCount: 6400, Zone: "z3"}
}

// singleGateway returns the settings of the only gateway of a fleet, to which an agent pushes the lists.
func singleGateway() policy.Settings { return policy.Settings{GatewayCount: 1} }

// newEntry returns the i-th entry of a long list in nine zones.
func newEntry(i int, state string) Entry {
	return Entry{UID: fmt.Sprintf("s-%08x", i), Address: "127.0.0.1:9", Zone: fmt.Sprint("z", i%9), Group: i / 5, State: state}
}

// serveDiscovery serves a stand-in on the loopback address until the end of the test, and returns its address.
func serveDiscovery(t *testing.T, service *standin.Discovery) string {
	t.Helper()
	listener := nettest.Listen(t)
	go service.Serve(listener)
	t.Cleanup(func() { service.Close() })
	return listener.Addr().String()
}

// runClient runs a client and returns a function that stops it and waits until it has ended. The client is stopped at the end
// of the test at the latest.
func runClient(t *testing.T, client *Client) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(stop)
	return stop
}
