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
	// commandTimeout bounds the time from connecting to the end of the first command, and for the rest of a later one.
	commandTimeout = 2400 * time.Millisecond
	// discardBufferSize is the size in bytes of one read of what is of no use.
	discardBufferSize = 16 << 10
	// throttlePause follows each discardBytes that are of no use, or each discardBytesOwed where the client is owed an
	// answer: what the buffers of two systems hold is read in time then.
	throttlePause        = 10 * time.Millisecond
	throttleBytes        = 64 << 10
	throttleBytesPending = 2 << 20
)

// Reasons for which reading ends.
var (
	errConnEnded         = errors.New("the connection has ended between requests")
	errUnfinishedCommand = errors.New("the command does not end")
)

// reader is what the goroutine that reads a connection knows; no other one uses it.
type reader struct {
	buffer             resp.FrameBuffer
	openedAt           time.Time // when the connection was accepted, or may have come
	mayHaveQueued      bool      // it may have waited to be accepted since openedAt
	arrivedAt          time.Time // when what is in the buffer may have come
	hasRead            bool      // something has been read
	hasCommandDeadline bool      // the rest of a command has a deadline
	rejectsRequests    bool      // the connection is closing for faults: requests are rejected, pauses left out
	mayBeDisconnected  bool      // what is read may have waited for long, and the client may have gone since
	faultsAtLastPause  int32     // faults of the connection up to the last that was followed by a pause
	bytesSincePause    int       // read since the last discardPause
}

// readCommands takes commands until the connection ends. It reports whether the writer is to end it while what still comes is read
// and discarded.
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
		case isFault: // the framing is lost: what came before is answered, then the fault, then the connection ends
			c.answerFault(kind, err.Error())
			c.refuseCommands()
			return true
		default:
			return false
		}
	}
}

// faultKindOf reports whether an error of reading is the client's fault, and which.
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

// readMore reads once more.
func (c *conn) readMore() error {
	if c.reader.rejectsRequests && c.endIfNonePending() {
		return errConnEnded
	}
	c.setCommandDeadline()
	before := len(c.reader.buffer.Buffered())
	err := c.reader.buffer.Fill(c.socket.Read)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		switch asked, ended := c.confirmEnd(); {
		case ended:
			return errConnEnded
		case asked:
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

// setCommandDeadline sets a deadline for the rest of a command that has begun, once for each command: a deadline for each read
// would cost CPU.
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

// clearCommandDeadline takes the deadline off again: the next command has its own time.
func (c *conn) clearCommandDeadline() {
	if c.reader.hasCommandDeadline {
		c.setReadDeadline(time.Time{})
		c.reader.hasCommandDeadline = false
	}
}

// recordArrival notes when what was just read may have come. What may have waited for long is read up to its end, in case the
// client has gone since; io.EOF says that it has.
func (c *conn) recordArrival() error {
	now := time.Now()
	c.reader.arrivedAt = c.server.cfg.Stalls.EarliestArrival(now)
	if !c.reader.hasRead && c.reader.mayHaveQueued && c.reader.openedAt.Before(c.reader.arrivedAt) {
		c.reader.arrivedAt = c.reader.openedAt
	}
	mayHaveWaited := !c.reader.hasRead || c.reader.mayBeDisconnected || c.reader.arrivedAt.Before(now)
	c.reader.hasRead = true
	if mayHaveWaited && !c.checkClientConnected() {
		return io.EOF
	}
	return nil
}

// discard reads on without a use for it until the last answer is written, so that a client that leaves before is noticed,
// and for a little after. It is slow on purpose: a flood costs its sender's time only. But the end of a client that is
// owed an answer lies behind all that it sent, so until then it is only as slow as lets that be read in time.
func (c *conn) discard() {
	c.setReadDeadline(time.Time{})
	buffer := make([]byte, discardBufferSize)
	for {
		n, err := c.socket.Read(buffer)
		if sockets.IsTransient(err) {
			time.Sleep(sockets.TransientErrorPause)
			continue
		}
		if err != nil { // the client has gone, or the writer's deadline has passed
			return
		}
		c.throttleReading(n)
	}
}

// throttleReading pauses now and then while bytes are read that are of no use.
func (c *conn) throttleReading(count int) {
	limit := throttleBytes
	if c.hasPendingResponse() {
		limit = throttleBytesPending
	}
	if c.reader.bytesSincePause += count; c.reader.bytesSincePause > limit {
		c.reader.bytesSincePause = 0
		time.Sleep(throttlePause)
	}
}
