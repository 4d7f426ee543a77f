// Package nettest holds what the tests of several packages share: loopback sockets, the client's side of the ingress
// protocol, and waits that fail a test. Only test files import it.
package nettest

import (
	"net"
	"sync"
	"testing"
)

// Listen opens an ephemeral port on the loopback address, which the end of the test closes.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// Serve listens on the loopback address and hands each connection to handle, on a goroutine of its own. At the end of the
// test the connections are closed and their goroutines waited for.
func Serve(t testing.TB, handle func(net.Conn)) (address string) {
	t.Helper()
	listener := Listen(t)
	var goroutines sync.WaitGroup
	var mu sync.Mutex // guards open
	var conns []net.Conn
	goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			goroutines.Go(func() {
				defer conn.Close()
				handle(conn)
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		mu.Lock()
		for _, conn := range conns {
			conn.Close()
		}
		mu.Unlock()
		goroutines.Wait()
	})
	return listener.Addr().String()
}

// RefusedAddress is a loopback address at which nobody listens any more.
func RefusedAddress(t testing.TB) string {
	t.Helper()
	listener := Listen(t)
	listener.Close()
	return listener.Addr().String()
}

// ConnPair returns the two ends of a connection over the loopback address, which the end of the test closes.
func ConnPair(t testing.TB) (server, client *net.TCPConn) {
	t.Helper()
	listener := Listen(t)
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}
