package listener

import (
	"context"
	"net"
	"time"
)

// acceptQueueTimeout is how long a shutdown waits for connections that have come and were not accepted yet.
const acceptQueueTimeout = 50 * time.Millisecond

// Drain closes every connection as soon as no command on it waits for an answer, and the listener. Connections that have come
// and wait to be accepted may hold requests already: they are served first. When ctx ends, what is open still is closed at
// once. Drain returns when every connection has ended.
func (s *Server) Drain(ctx context.Context) {
	s.startDraining()
	s.drainAcceptQueue()
	s.listener.Close()
	ended := make(chan struct{})
	go func() { // ends with the last connection, which Drain waits for
		s.activeConns.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return
	case <-ctx.Done():
	}
	s.abortAll()
	<-ended
}

// startDraining asks for the end of every connection, also of those that are accepted from now on.
func (s *Server) startDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		c.closeForShutdown()
	}
}

// drainAcceptQueue lets Serve accept what has come.
func (s *Server) drainAcceptQueue() {
	tcp, ok := s.listener.(*net.TCPListener)
	if !ok {
		return
	}
	tcp.SetDeadline(time.Now().Add(acceptQueueTimeout))
	select {
	case <-s.acceptDone:
	case <-time.After(2 * acceptQueueTimeout):
	}
}

// abortAll closes every connection at once.
func (s *Server) abortAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort(CloseShutdown)
	}
}
