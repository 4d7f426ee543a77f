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

var quiet = slog.New(slog.DiscardHandler)

// The times within which a change has to be known, as the requirements of the ingress give them.
const (
	changeDeadline = 6 * time.Second // after discovery had it and could be reached, also after a failed call
	moveDeadline   = 4 * time.Second // after a change of discovery's address
	pushDeadline   = time.Second     // after discovery had it and could be reached, where an agent pushes lists
)

// manyGateways are the settings of one of many gateways.
func manyGateways() policy.Settings {
	return policy.Settings{GatewayIndex: 4711, GatewayCount: 6400, Zone: "z3"}
}

// singleGateway are the settings of a gateway that is alone and has an agent.
func singleGateway() policy.Settings { return policy.Settings{GatewayCount: 1} }

// entryOf is the i-th endpoint of a long list in nine zones.
func entryOf(i int, state string) Entry {
	return Entry{UID: fmt.Sprintf("s-%08x", i), Endpoint: "127.0.0.1:9", Zone: fmt.Sprint("z", i%9), Group: i / 5, State: state}
}

// serveDiscovery serves a stand-in on the loopback address until the end of the test, and returns its address.
func serveDiscovery(t *testing.T, service *standin.Discovery) string {
	t.Helper()
	listener := nettest.Listen(t)
	go service.Serve(listener)
	t.Cleanup(func() { service.Close() })
	return listener.Addr().String()
}

// runClient runs a client and returns what stops it and waits for its end; the end of the test does so at the latest.
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
