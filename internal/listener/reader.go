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
	// discardBuffer is the size in bytes of one read of what is of no use.
	discardBuffer = 16 << 10
	// discardPause follows each discardBytes that are of no use, or each discardBytesOwed where the client is owed an
	// answer: what the buffers of two systems hold is read in time then.
	discardPause     = 10 * time.Millisecond
	discardBytes     = 64 << 10
	discardBytesOwed = 2 << 20
)

// Reasons for which reading ends.
var (
	errEndedBetweenRequests = errors.New("the connection has ended between requests")
	errUnfinishedCommand    = errors.New("the command does not end")
)

// reader is what the goroutine that reads a connection knows; no other one uses it.
type reader struct {
	buffer          resp.FrameBuffer
	openedAt        time.Time // when the connection was accepted, or may have come
	queued          bool      // it may have waited to be accepted since openedAt
	readAt          time.Time // when what is in the buffer may have come
	hasRead         bool      // something has been read
	hasDeadline     bool      // the rest of a command has a deadline
	rejecting       bool      // the connection is closing for faults: requests are rejected, pauses left out
	presenceUnknown bool      // what is read may have waited for long, and the client may have gone since
	pausedFaults    int32     // faults of the connection up to the last that was followed by a pause
	uselessBytes    int       // read since the last discardPause
}

// read takes commands until the connection ends. It reports whether the writer is to end it while what still comes is read
// and discarded.
func (c *conn) read() (discardRest bool) {
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
		switch kind, isFault := faultOf(err); {
		case err == nil:
		case errors.Is(err, errEndedBetweenRequests):
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

// faultOf reports whether an error of reading is the client's fault, and which.
func faultOf(err error) (kind FaultKind, isFault bool) {
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
	if c.reader.rejecting && c.endIfNotOwed() {
		return errEndedBetweenRequests
	}
	c.limitCommand()
	before := len(c.reader.buffer.Buffered())
	err := c.reader.buffer.Fill(c.socket.Read)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		switch asked, ended := c.confirmEnd(); {
		case ended:
			return errEndedBetweenRequests
		case asked:
			return nil
		case c.reader.hasDeadline:
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
	if c.reader.rejecting {
		c.slowDown(len(c.reader.buffer.Buffered()) - before)
	}
	return c.noteArrival()
}

// limitCommand sets a deadline for the rest of a command that has begun, once for each command: a deadline for each read
// would cost CPU.
func (c *conn) limitCommand() {
	if !c.reader.buffer.HasPartialFrame() || c.reader.hasDeadline {
		return
	}
	from := time.Now()
	if !c.hasReceived() {
		from = c.reader.openedAt
	}
	c.setReadDeadline(from.Add(commandTimeout))
	c.reader.hasDeadline = true
}

// unlimitCommand takes the deadline off again: the next command has its own time.
func (c *conn) unlimitCommand() {
	if c.reader.hasDeadline {
		c.setReadDeadline(time.Time{})
		c.reader.hasDeadline = false
	}
}

// noteArrival notes when what was just read may have come. What may have waited for long is read up to its end, in case the
// client has gone since; io.EOF says that it has.
func (c *conn) noteArrival() error {
	now := time.Now()
	c.reader.readAt = c.server.cfg.Stalls.EarliestArrival(now)
	if !c.reader.hasRead && c.reader.queued && c.reader.openedAt.Before(c.reader.readAt) {
		c.reader.readAt = c.reader.openedAt
	}
	mayHaveWaited := !c.reader.hasRead || c.reader.presenceUnknown || c.reader.readAt.Before(now)
	c.reader.hasRead = true
	if mayHaveWaited && !c.checkPresence() {
		return io.EOF
	}
	return nil
}

// discard reads on without a use for it until the last answer is written, so that a client that leaves before is noticed,
// and for a little after. It is slow on purpose: a flood costs its sender's time only. But the end of a client that is
// owed an answer lies behind all that it sent, so until then it is only as slow as lets that be read in time.
func (c *conn) discard() {
	c.setReadDeadline(time.Time{})
	buffer := make([]byte, discardBuffer)
	for {
		n, err := c.socket.Read(buffer)
		if sockets.IsTransient(err) {
			time.Sleep(sockets.TransientErrorPause)
			continue
		}
		if err != nil { // the client has gone, or the writer's deadline has passed
			return
		}
		c.slowDown(n)
	}
}

// slowDown pauses now and then while bytes are read that are of no use.
func (c *conn) slowDown(bytes int) {
	limit := discardBytes
	if c.isOwed() {
		limit = discardBytesOwed
	}
	if c.reader.uselessBytes += bytes; c.reader.uselessBytes > limit {
		c.reader.uselessBytes = 0
		time.Sleep(discardPause)
	}
}
