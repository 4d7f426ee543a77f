package listener

import (
	"bytes"
	"errors"
	"os"
	"time"

	"github.com/tidwall/redcon"

	"lemontack/internal/resp"
	"lemontack/internal/sockets"
)

const (
	// faultPause precedes the answer to a fault, once for each fault of the connection so far.
	faultPause = 100 * time.Millisecond
	// maxRequestNameEnd is where the name of a request has ended in its command at the latest, in bytes.
	maxRequestNameEnd = 32
)

// pauseAfterFault follows a fault, longer each time: a client that repeats faulty input as soon as it is answered takes no
// CPU from the others. It reports whether the client is still there.
//
// What comes meanwhile is kept as far as the buffer holds it, so that a client that leaves is noticed. A request among it
// ends the pause: it must not wait for the faults before it, which may be other clients' where a proxy shares the
// connection. Where more comes than the buffer holds, a client that is owed an answer is read on at once, or nobody would
// see it leave.
func (c *conn) pauseAfterFault(faults int32) (connected bool) {
	c.reader.faultsAtLastPause = faults
	until := time.Now().Add(time.Duration(faults) * faultPause)
	for c.reader.buffer.HasRoom() {
		if c.hasBufferedRequest() {
			c.reader.mayBeDisconnected = true
			return c.checkClientConnected()
		}
		switch err := c.readUntil(until); {
		case errors.Is(err, os.ErrDeadlineExceeded): // or the writer proposes the end: the next read answers
			return true
		case sockets.IsTransient(err):
			time.Sleep(sockets.TransientErrorPause)
			continue
		case err != nil:
			return false
		}
		c.reader.arrivedAt = c.server.cfg.Stalls.EarliestArrival(time.Now())
	}
	if c.hasPendingResponse() {
		return true
	}
	if !c.hasBufferedRequest() {
		c.waitWithoutReading(until)
	}
	c.reader.mayBeDisconnected = true
	return c.checkClientConnected()
}

// readUntil reads once, until a deadline.
func (c *conn) readUntil(deadline time.Time) error {
	c.setReadDeadline(deadline)
	defer c.setReadDeadline(time.Time{})
	return c.reader.buffer.Fill(c.socket.Read)
}

// waitWithoutReading waits without reading, for as long as a client that is owed nothing may be left unread.
func (c *conn) waitWithoutReading(until time.Time) {
	select {
	case <-time.After(min(time.Until(until), c.server.maxReadPause)):
	case <-c.writerDone:
	}
}

// hasBufferedRequest reports whether a well-formed request has been read and not taken. A duplicate does not count: its client
// would get round the pauses with it.
func (c *conn) hasBufferedRequest() bool {
	for buffered := c.reader.buffer.Buffered(); ; {
		length, err := resp.FrameLength(buffered)
		if length == 0 || err != nil {
			return false
		}
		if c.isNewRequest(buffered[:length]) {
			return true
		}
		buffered = buffered[length:]
	}
}

// isNewRequest reports whether a command is a well-formed request whose id was not found taken on this connection.
func (c *conn) isNewRequest(frame []byte) bool {
	if !bytes.Contains(frame[:min(len(frame), maxRequestNameEnd)], []byte("Q.")) { // a flood of others is cheap to look through
		return false
	}
	complete, args, _, _, err := redcon.ReadNextCommand(frame, nil)
	if err != nil || !complete || len(args) == 0 || !isRequestCommand(args[0]) {
		return false
	}
	request, err := c.server.cfg.parseRequest(args, c.reader.arrivedAt)
	return err == nil && request.ExternalID != c.duplicateID.Load()
}
