package listener

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// acceptRetryDelay follows an error that the next call may meet too.
	acceptRetryDelay = 5 * time.Millisecond
	// slotRetryInterval is how long a connection that was told to end may take before a further one is told.
	slotRetryInterval = 5 * time.Millisecond
)

// Serve accepts connections until the listener closes, or none has come for as long as Drain waits for them. Each one is
// served by goroutines that end with it, and that Drain waits for.
func (s *Server) Serve() {
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
		c.reader.openedAt, c.reader.mayHaveQueued = s.acceptDelay.recordAccept(c.reader.openedAt)
		s.track(c)
		go c.serve() // ends with the connection; Drain waits for it
	}
}

// handleAcceptError pauses where the next call may fail likewise: the process or the machine is out of descriptors or memory. A
// connection that was given up before it was accepted tells nothing of the next one.
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

// acquireConnSlot waits for the slot of a further connection. Clients keep idle connections for good and hundreds may say
// nothing at all, so where all slots are taken one of these is closed.
func (s *Server) acquireConnSlot() {
	for {
		select {
		case s.connSlots <- struct{}{}:
			return
		default:
		}
		s.closeMostIdleConn(time.Now())
		select {
		case s.connSlots <- struct{}{}:
			return
		case <-time.After(slotRetryInterval):
		}
	}
}
