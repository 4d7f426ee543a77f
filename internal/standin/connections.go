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
func (s *connectionSet) serve(ln net.Listener, handle func(net.Conn)) error {
	if !s.addListener(ln) {
		return ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			if s.isClosed() && errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		if !s.addConnection(conn) {
			resetConnection(conn)
			continue
		}
		go func() { // returns when the connection closes; close resets the connection and handlers waits for this goroutine
			defer s.removeConnection(conn)
			handle(conn)
		}()
	}
}

// addListener adds a listener and reports whether the set is still open.
func (s *connectionSet) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners == nil {
		s.listeners = map[net.Listener]struct{}{}
		s.connections = map[net.Conn]struct{}{}
	}
	s.listeners[ln] = struct{}{}
	return !s.closed
}

func (s *connectionSet) addConnection(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connections[conn] = struct{}{}
	s.handlers.Add(1)
	return true
}

func (s *connectionSet) removeConnection(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	delete(s.connections, conn)
	s.mu.Unlock()
	s.handlers.Done()
}

func (s *connectionSet) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// resetAll resets all open connections.
func (s *connectionSet) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.connections {
		resetConnection(conn)
	}
}

// close closes the listeners and resets the open connections. It does not wait for handlers.
func (s *connectionSet) close() {
	s.mu.Lock()
	s.closed = true
	for ln := range s.listeners {
		ln.Close()
	}
	s.mu.Unlock()
	s.resetAll()
}

// resetConnection closes a connection without a graceful shutdown: a TCP connection is reset, as when a process crashes.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
