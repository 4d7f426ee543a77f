package listener

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// acceptRetryPause follows an error that the next call may meet too.
	acceptRetryPause = 5 * time.Millisecond
	// connSlotPause is how long a connection that was told to end may take before a further one is told.
	connSlotPause = 5 * time.Millisecond
)

// Serve accepts connections until the listener closes, or none has come for as long as Drain waits for them. Each one is
// served by goroutines that end with it, and that Drain waits for.
func (s *Server) Serve() {
	defer close(s.acceptEnded)
	for {
		began := time.Now()
		s.acquireConnSlot()
		called := time.Now()
		s.acceptDelay.waitedForSlot(began, called)
		socket, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			<-s.connSlots
			s.acceptFailed(err, called)
			continue
		}
		c := newConn(s, socket)
		c.reader.openedAt, c.reader.queued = s.acceptDelay.accepted(c.reader.openedAt)
		s.track(c)
		go c.serve() // ends with the connection; Drain waits for it
	}
}

// acceptFailed pauses where the next call may fail likewise: the process or the machine is out of descriptors or memory. A
// connection that was given up before it was accepted tells nothing of the next one.
func (s *Server) acceptFailed(err error, called time.Time) {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
		return
	}
	if ok, suppressed := s.cfg.LogLimiter.Allow(called); ok {
		s.cfg.Log.Warn("accept failed", "err", err, "suppressed", suppressed)
	}
	time.Sleep(acceptRetryPause)
	s.acceptDelay.failed(called, time.Now())
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
		s.closeMostIdle(time.Now())
		select {
		case s.connSlots <- struct{}{}:
			return
		case <-time.After(connSlotPause):
		}
	}
}
