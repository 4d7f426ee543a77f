package listener

import (
	"context"
	"net"
	"time"
)

// acceptQueueTimeout is how long a shutdown goes on accepting connections from the accept queue.
const acceptQueueTimeout = 50 * time.Millisecond

// Drain closes the listener, and each connection as soon as no response is pending on it. Connections in the accept queue may
// already hold requests, so they are accepted first. When ctx ends, the remaining connections are closed at once. Drain returns
// when Serve and every connection have ended.
func (s *Server) Drain(ctx context.Context) {
	s.startDraining()
	s.drainAcceptQueue()
	s.listener.Close()
	ended := make(chan struct{})
	go func() { // ends with Serve and the last connection, which Drain waits for
		s.active.Wait()
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

// startDraining requests the close of every connection, including those that are accepted from now on.
func (s *Server) startDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		c.closeForShutdown()
	}
}

// drainAcceptQueue lets Serve accept the connections in the accept queue, and waits 2*acceptQueueTimeout at most for Serve to
// return.
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
