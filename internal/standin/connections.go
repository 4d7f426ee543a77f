package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// connectionSet holds the listeners and the open connections of a stand-in.
type connectionSet struct {
	handlers sync.WaitGroup // goroutines that handle connections

	mu          sync.Mutex // guards the fields below
	listeners   map[net.Listener]struct{}
	connections map[net.Conn]struct{}
	closed      bool
}

// serve accepts connections and calls handle for each one on its own goroutine until accepting fails. It returns nil if
// the cause is that the set was closed.
func (set *connectionSet) serve(ln net.Listener, handle func(net.Conn)) error {
	if !set.addListener(ln) {
		return ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			if set.isClosed() && errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		if !set.addConnection(conn) {
			resetConnection(conn)
			continue
		}
		go func() { // returns when the connection closes; close resets the connection and handlers waits for this goroutine
			defer set.removeConnection(conn)
			handle(conn)
		}()
	}
}

// addListener adds a listener and reports whether the set is still open.
func (set *connectionSet) addListener(ln net.Listener) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.listeners == nil {
		set.listeners = map[net.Listener]struct{}{}
		set.connections = map[net.Conn]struct{}{}
	}
	set.listeners[ln] = struct{}{}
	return !set.closed
}

func (set *connectionSet) addConnection(conn net.Conn) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.closed {
		return false
	}
	set.connections[conn] = struct{}{}
	set.handlers.Add(1)
	return true
}

func (set *connectionSet) removeConnection(conn net.Conn) {
	conn.Close()
	set.mu.Lock()
	delete(set.connections, conn)
	set.mu.Unlock()
	set.handlers.Done()
}

func (set *connectionSet) isClosed() bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.closed
}

// resetAll resets the open connections. It leaves the listeners open and does not wait for handlers.
func (set *connectionSet) resetAll() {
	set.mu.Lock()
	defer set.mu.Unlock()
	for conn := range set.connections {
		resetConnection(conn)
	}
}

// close closes the listeners and resets the open connections. It does not wait for handlers.
func (set *connectionSet) close() {
	set.mu.Lock()
	set.closed = true
	for ln := range set.listeners {
		ln.Close()
	}
	set.mu.Unlock()
	set.resetAll()
}

// resetConnection closes a connection without a graceful shutdown: a TCP connection is reset, as when a process crashes.
func resetConnection(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		tcpConn.SetLinger(0)
	}
	conn.Close()
}
