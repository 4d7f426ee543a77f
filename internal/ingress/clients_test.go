package ingress

import (
	"io"
	"net"
	"testing"
	"time"

	"lemontack/internal/nettest"
)

// When all file descriptors for clients are in use, an idle connection is closed to accept a new client.
func TestIdleClientIsDisconnectedForNewClient(t *testing.T) {
	endpoint := startEndpoint(t, nil)
	cfg := configFor(t, endpoint)
	cfg.Sockets = 128 // 48 for clients
	addr, _ := startIngress(t, cfg)
	for range 22 {
		nc, in := nettest.Dial(t, addr)
		io.WriteString(nc, nettest.Command("PING"))
		if got := nettest.ReadLine(t, in); got != "+PONG" {
			t.Fatalf("reply %q, want +PONG", got)
		}
	}
}

// Clients that send nothing or an incomplete command are disconnected within 3 s, and clients that are idle after a command
// shortly after 2 s. Other clients are served while hundreds of silent ones connect.
func TestSilentClientsAreDisconnectedAndOthersServed(t *testing.T) {
	endpoint := startServingEndpoint(t, "value")
	cfg := configFor(t, endpoint)
	cfg.Sockets = 128 // 48 for clients
	addr, _ := startIngress(t, cfg)
	startedAt := time.Now()
	var silent []net.Conn
	for i := range 40 {
		nc, in := nettest.Dial(t, addr)
		switch i % 3 {
		case 1:
			io.WriteString(nc, "*5\r\n$4\r\nQ.")
		case 2:
			io.WriteString(nc, nettest.Command("PING"))
			nettest.ReadLine(t, in)
		}
		silent = append(silent, nc)
	}
	for _, nc := range silent {
		if _, err := io.ReadAll(nc); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(startedAt); elapsed < 2*time.Second || elapsed > 20*time.Second {
		t.Fatalf("closed after %v, want 2 s to 20 s", elapsed)
	}
	for range 200 {
		nettest.Dial(t, addr)
	}
	for i := range 20 {
		nc, in := nettest.Dial(t, addr)
		io.WriteString(nc, nettest.Ask(i, nettest.ReadFields))
		nettest.WantValue(t, in)
	}
}
