package ingress

import (
	"io"
	"testing"
	"time"

	"lemontack/internal/listener"
	"lemontack/internal/nettest"
)

// A request beyond the maximum of open requests is rejected at once. The rejection contains retry advice only if the
// settings allow it, and at most their MaxRetryAfter.
func TestRequestBeyondMaxOpenIsRejected(t *testing.T) {
	for maxRetryAfter, want := range map[time.Duration]string{
		0:                      "-BUSY",
		100 * time.Millisecond: "-BUSY 100",
		time.Second:            "-BUSY 250",
	} {
		t.Run(want, func(t *testing.T) { testRequestBeyondMaxOpen(t, maxRetryAfter, want) })
	}
}

func testRequestBeyondMaxOpen(t *testing.T, maxRetryAfter time.Duration, want string) {
	t.Helper()
	endpoint := startEndpoint(t, nil)
	cfg := configFor(t, endpoint)
	cfg.Connections.MaxOpenRequests = 2
	cfg.Settings.MaxRetryAfter = maxRetryAfter
	addr, _ := startIngress(t, cfg)
	first, _ := nettest.Dial(t, addr)
	io.WriteString(first, nettest.Ask(1, nettest.ReadFields)+nettest.Ask(2, nettest.ReadFields))
	endpoint.awaitCommands(t, 2)
	nc, in := nettest.Dial(t, addr)
	io.WriteString(nc, nettest.Ask(3, nettest.ReadFields))
	if got := nettest.ReadLine(t, in); got != want {
		t.Fatalf("reply %q, want %q", got, want)
	}
}

// A request whose command exceeds the remaining memory for commands is rejected. Memory becomes available when another
// request ends.
func TestRequestBeyondCommandMemoryIsRejected(t *testing.T) {
	g := idleGateway(t, testConfig("", endpointsAt(startEndpoint(t, nil).addr)))
	first, _ := newClientRequest(t, g, 1, g.requests.maxCommandBytes-1000)
	second, secondIn := newClientRequest(t, g, 2, g.requests.maxCommandBytes-1000)
	admitted := admit(g, first)
	if admitted == nil || admitted.finished || admit(g, second) != nil {
		t.Fatalf("first request %+v, or the second was admitted; want the first open and the second rejected", admitted)
	}
	if got := nettest.ReadLine(t, secondIn); got != "-BUSY" {
		t.Fatalf("second request: reply %q, want -BUSY", got)
	}
	g.handle(clientDisconnected{[]*listener.Request{first}})
	third, _ := newClientRequest(t, g, 3, g.requests.maxCommandBytes-1000)
	if admitted := admit(g, third); admitted == nil || admitted.finished {
		t.Fatal("third request rejected after the end of the first, want it admitted")
	}
}
