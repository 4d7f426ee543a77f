// Package nettest contains helpers for the tests of several packages: loopback sockets, the client side of the ingress
// protocol, and waits with a timeout that fail the test. Only test files import it.
package nettest

import (
	"net"
	"sync"
	"testing"
)

// Listen listens on a free loopback port until the end of the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// Serve listens on a free loopback port and calls handle for each connection in a separate goroutine. At the end of the test it
// closes the connections and waits for the goroutines.
func Serve(t testing.TB, handle func(net.Conn)) (address string) {
	t.Helper()
	listener := Listen(t)
	var goroutines sync.WaitGroup
	var mu sync.Mutex // guards conns
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

// RefusedAddress returns a loopback address that refuses connections, since its listener is closed.
func RefusedAddress(t testing.TB) string {
	t.Helper()
	listener := Listen(t)
	listener.Close()
	return listener.Addr().String()
}

// ConnPair returns the two ends of a loopback connection, which are closed at the end of the test.
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
