package listener

import (
	"errors"
	"io"
	"os"
	"time"

	"lemontack/internal/resp"
	"lemontack/internal/sockets"
)

const (
	// commandTimeout is the maximum time from connecting to the end of the first command, and for the rest of a later command
	// that has been read in part.
	commandTimeout = 2400 * time.Millisecond
)

// Errors that end the reading of commands.
var (
	errConnEnded         = errors.New("the connection has ended between requests")
	errConnUnused        = errors.New("the connection has ended before any input")
	errUnfinishedCommand = errors.New("the command does not end")
)

// reader is the state of the goroutine that reads a connection; no other goroutine uses it.
type reader struct {
	buffer               resp.FrameBuffer
	openedAt             time.Time // time at which the connection was accepted, or the earliest at which it may have arrived
	mayHaveAwaitedAccept bool      // the connection may have waited in the accept queue since openedAt
	arrivedAt            time.Time // earliest time at which the input read last may have arrived
	hasRead              bool      // some input has been read
	hasCommandDeadline   bool      // a deadline is set for the rest of a command
	rejectsRequests      bool      // the connection is closing because of faults: requests are rejected, pauses omitted
	mayBeDisconnected    bool      // the input may have waited for long, and the client may have disconnected since
	faultsAtLastPause    int32     // the connection's number of faults at the last pause after a fault
	bytesSincePause      int       // bytes of discarded or rejected input since the last throttlePause
}

// readCommands processes commands until the connection ends or its framing is lost. It reports whether further input has to be
// read and discarded while the writer ends the connection.
func (c *conn) readCommands() (discardRest bool) {
	defer c.reader.buffer.Close()
	for {
		frame, err := c.reader.buffer.Next()
		if frame != nil {
			if !c.handleCommand(frame) {
				return false
			}
			continue
		}
		if err == nil {
			err = c.readMore()
		}
		switch kind, isFault := faultKindOf(err); {
		case err == nil:
		case errors.Is(err, errConnEnded):
			return true
		case isFault: // the framing is lost: earlier commands are answered, then the fault, then the connection ends
			c.answerFault(kind, err.Error())
			c.refuseCommands()
			return true
		default:
			return false
		}
	}
}

// faultKindOf returns the kind of fault that a read error stands for, and false if the client is not at fault.
func faultKindOf(err error) (kind FaultKind, isFault bool) {
	switch {
	case errors.Is(err, resp.ErrMalformed):
		return FaultFraming, true
	case errors.Is(err, resp.ErrTooLong):
		return FaultTooLong, true
	case errors.Is(err, resp.ErrNoMemory):
		return FaultMemory, true
	case errors.Is(err, errUnfinishedCommand):
		return FaultUnfinished, true
	}
	return 0, false
}

// readMore reads once. It returns nil after a transient error, and after a proposed end that was declined.
func (c *conn) readMore() error {
	if c.reader.rejectsRequests && c.endIfNonePending() {
		return errConnEnded
	}
	c.setCommandDeadline()
	before := len(c.reader.buffer.Buffered())
	err := c.reader.buffer.Fill(c.socket.Read)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if !c.reader.hasRead && c.isEndRequested() {
			return c.endUnused()
		}
		switch proposed, ended := c.confirmEnd(); {
		case ended:
			return errConnEnded
		case proposed:
			return nil
		case c.reader.hasCommandDeadline:
			return errUnfinishedCommand
		}
	}
	if sockets.IsTransient(err) {
		time.Sleep(sockets.TransientErrorPause)
		return nil
	}
	if err != nil {
		return err
	}
	if c.reader.rejectsRequests {
		c.throttleReading(len(c.reader.buffer.Buffered()) - before)
	}
	return c.recordArrival()
}

// endUnused ends a connection on which nothing has been read, as the writer has proposed, unless input has arrived by now. The
// connection does not wait for the client's FIN, since no answer was sent that a reset could lose: it would keep its slot from
// other clients, and hundreds may never send a command.
func (c *conn) endUnused() error {
	if !c.checkClientConnected() {
		return io.EOF
	}
	if c.reader.buffer.HasPartialFrame() {
		return c.recordArrival()
	}
	if c.endIfNonePending() {
		return errConnUnused
	}
	return nil
}

// setCommandDeadline sets a deadline for the rest of a command that has been read in part. It does so once for each command: a
// deadline for each read would cost CPU time.
func (c *conn) setCommandDeadline() {
	if !c.reader.buffer.HasPartialFrame() || c.reader.hasCommandDeadline {
		return
	}
	from := time.Now()
	if !c.hasReceivedCommand() {
		from = c.reader.openedAt
	}
	c.setReadDeadline(from.Add(commandTimeout))
	c.reader.hasCommandDeadline = true
}

// clearCommandDeadline clears the deadline; the next command has its own.
func (c *conn) clearCommandDeadline() {
	if c.reader.hasCommandDeadline {
		c.setReadDeadline(time.Time{})
		c.reader.hasCommandDeadline = false
	}
}

// recordArrival records the earliest time at which the input just read may have arrived. If the input may have waited for long,
// it reads all further input, and returns io.EOF if the client has disconnected since.
func (c *conn) recordArrival() error {
	now := time.Now()
	c.reader.arrivedAt = c.server.cfg.Stalls.EarliestArrival(now)
	if !c.reader.hasRead && c.reader.mayHaveAwaitedAccept && c.reader.openedAt.Before(c.reader.arrivedAt) {
		c.reader.arrivedAt = c.reader.openedAt
	}
	mayHaveWaited := !c.reader.hasRead || c.reader.mayBeDisconnected || c.reader.arrivedAt.Before(now)
	c.reader.hasRead = true
	if mayHaveWaited && !c.checkClientConnected() {
		return io.EOF
	}
	return nil
}
