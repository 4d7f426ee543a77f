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
	// faultPause is the pause before the answer to a fault, multiplied by the connection's number of faults so far.
	faultPause = 100 * time.Millisecond
	// maxRequestNameEnd is the maximum offset in bytes of the end of the name in a request's command.
	maxRequestNameEnd = 32
)

// pauseAfterFault pauses after a fault, longer after each one, so that a client that repeats faulty input as soon as it is
// answered does not take CPU time from other clients. It reports whether the client is still connected.
//
// Input that arrives during the pause is buffered, so that a disconnect is detected. A request in it ends the pause, because the
// faults before it may be those of another client if a proxy shares the connection. If the buffer is full and a response is
// pending, the pause ends at once, because a disconnect is detected only by reading on.
func (c *conn) pauseAfterFault(faults int32) (connected bool) {
	c.pausing.Store(true)
	defer c.pausing.Store(false)
	c.reader.faultsAtLastPause = faults
	until := time.Now().Add(time.Duration(faults) * faultPause)
	for c.reader.buffer.HasRoom() {
		if c.hasBufferedRequest() {
			c.reader.mayBeDisconnected = true
			return c.checkClientConnected()
		}
		switch err := c.readUntil(until); {
		case errors.Is(err, os.ErrDeadlineExceeded): // or the writer has proposed the end, which the next read handles
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

// readUntil reads once, with a deadline.
func (c *conn) readUntil(deadline time.Time) error {
	c.setReadDeadline(deadline)
	defer c.setReadDeadline(time.Time{})
	return c.reader.buffer.Fill(c.socket.Read)
}

// waitWithoutReading waits until the given time, but for maxReadPause at most and only while the writer runs.
func (c *conn) waitWithoutReading(until time.Time) {
	select {
	case <-time.After(min(time.Until(until), c.server.maxReadPause)):
	case <-c.writerDone:
	}
}

// hasBufferedRequest reports whether the buffer holds a well-formed request that has not been processed. Duplicates do not
// count, because a client could avoid the pauses with them.
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

// isNewRequest reports whether a command is a well-formed request whose id differs from the connection's last duplicate.
func (c *conn) isNewRequest(frame []byte) bool {
	if !bytes.Contains(frame[:min(len(frame), maxRequestNameEnd)], []byte("Q.")) { // skips the parser for other commands
		return false
	}
	complete, args, _, _, err := redcon.ReadNextCommand(frame, nil)
	if err != nil || !complete || len(args) == 0 || !isRequestCommand(args[0]) {
		return false
	}
	request, err := c.server.cfg.parseRequest(args, c.reader.arrivedAt)
	return err == nil && request.ExternalID != c.duplicateID.Load()
}
