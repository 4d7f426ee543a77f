package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// connectionSet is the listeners and the open connections of a stand-in.
type connectionSet struct {
	handlers sync.WaitGroup // goroutines of connections

	mu        sync.Mutex // guards what follows
	listeners map[net.Listener]struct{}
	open      map[net.Conn]struct{}
	closed    bool
}

// serve hands each connection to handle, on a goroutine of its own, until the listener ends. That is no error after
// close.
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
		if !s.add(conn) {
			reset(conn)
			continue
		}
		go func() { // ends with the connection, which close resets; handlers waits for it
			defer s.remove(conn)
			handle(conn)
		}()
	}
}

// addListener reports whether the set is still open.
func (s *connectionSet) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners == nil {
		s.listeners = map[net.Listener]struct{}{}
		s.open = map[net.Conn]struct{}{}
	}
	s.listeners[ln] = struct{}{}
	return !s.closed
}

func (s *connectionSet) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[conn] = struct{}{}
	s.handlers.Add(1)
	return true
}

func (s *connectionSet) remove(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
	s.handlers.Done()
}

func (s *connectionSet) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// resetAll resets the connections that are open now.
func (s *connectionSet) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		reset(conn)
	}
}

// close closes the listeners and resets what is open. It does not wait for handlers.
func (s *connectionSet) close() {
	s.mu.Lock()
	s.closed = true
	for ln := range s.listeners {
		ln.Close()
	}
	s.mu.Unlock()
	s.resetAll()
}

// reset closes a connection as the end of its process does: over TCP with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
