package listener

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptRetryDelay is the wait after an accept error that is likely to recur.
const acceptRetryDelay = 5 * time.Millisecond

// Serve accepts connections until the listener is closed or the accept deadline that Drain sets has passed. Each connection is
// served by its own goroutines, which end with it; Drain waits for them.
func (s *Server) Serve() {
	s.startServing()
	defer s.active.Done()
	defer close(s.acceptDone)
	for {
		slotWaitStart := time.Now()
		s.acquireConnSlot()
		acceptStart := time.Now()
		s.acceptDelay.recordSlotWait(slotWaitStart, acceptStart)
		socket, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			<-s.connSlots
			s.handleAcceptError(err, acceptStart)
			continue
		}
		c := newConn(s, socket)
		c.reader.openedAt, c.reader.mayHaveAwaitedAccept = s.acceptDelay.recordAccept(c.reader.openedAt)
		s.track(c)
		go c.serve() // ends with the connection; Drain waits for it
	}
}

// startServing makes Drain wait for the end of Serve, which may accept a connection just when the listener is closed.
func (s *Server) startServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active.Add(1)
}

// handleAcceptError logs the error and waits before the next call if that is likely to fail too, because the process or the
// machine is out of descriptors or memory. It does neither for an interrupted call or a connection that was aborted in the
// accept queue.
func (s *Server) handleAcceptError(err error, acceptStart time.Time) {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
		return
	}
	if ok, suppressed := s.cfg.LogLimiter.Allow(acceptStart); ok {
		s.cfg.Log.Warn("accept failed", "err", err, "suppressed", suppressed)
	}
	time.Sleep(acceptRetryDelay)
	s.acceptDelay.recordFailure(acceptStart, time.Now())
}
