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

// requestPrefix is the beginning of the names of commands that are requests.
var requestPrefix = []byte("Q.")

// pauseAfterFault pauses after a fault, longer after each one, so that a client that repeats faulty input as soon as it is
// answered does not take CPU time from other clients. It reports whether the client is still connected.
//
// A requested end of the connection ends the pause, and there is none after it: a paused connection would keep its slot from
// other clients. What has arrived is read then, so that the connection does not end over a request. If its slot is needed and no
// request has arrived, the input that is left is dropped, because to answer each command of a flood would take CPU time as well.
func (c *conn) pauseAfterFault(faults int32) (connected bool) {
	c.pausing.Store(true)
	defer c.pausing.Store(false)
	c.reader.faultsAtLastPause = faults
	mayHaveWaited, connected := c.pauseUntil(time.Now().Add(time.Duration(faults) * faultPause))
	if !connected {
		return false
	}
	if !mayHaveWaited && !c.isEndRequested() {
		return true
	}
	c.reader.mayBeDisconnected = true
	connected = c.checkClientConnected()
	hasReadAll := !c.reader.mayBeDisconnected
	if connected && hasReadAll && c.isClosingForSlot() && !c.hasBufferedRequest() {
		c.reader.buffer.Discard()
		c.startRejecting()
	}
	return connected
}

// pauseUntil pauses until the given time. It reports whether input may have waited unread meanwhile, and whether the client is
// still connected.
//
// Input that arrives during the pause is buffered, so that a disconnect is detected. A request in it ends the pause, because the
// faults before it may be those of another client if a proxy shares the connection. If the buffer is full and a response is
// pending, the pause ends at once, because a disconnect is detected only by reading on.
func (c *conn) pauseUntil(until time.Time) (mayHaveWaited, connected bool) {
	for c.reader.buffer.HasRoom() && !c.isEndRequested() {
		if c.hasBufferedRequest() {
			return true, true
		}
		switch err := c.readUntil(until); {
		case errors.Is(err, os.ErrDeadlineExceeded): // or the writer has proposed the end
			return false, true
		case sockets.IsTransient(err):
			time.Sleep(sockets.TransientErrorPause)
			continue
		case err != nil:
			return false, false
		}
		c.reader.arrivedAt = c.server.cfg.Stalls.EarliestArrival(time.Now())
	}
	if c.hasPendingResponse() {
		return false, true
	}
	if !c.hasBufferedRequest() {
		c.waitWithoutReading(until)
	}
	return true, true
}

// readUntil reads once, with a deadline.
func (c *conn) readUntil(deadline time.Time) error {
	c.setReadDeadline(deadline)
	defer c.setReadDeadline(time.Time{})
	return c.reader.buffer.Fill(c.socket.Read)
}

// waitWithoutReading waits until the given time, but for maxReadPause at most and only while the writer runs and no end of the
// connection is requested.
func (c *conn) waitWithoutReading(until time.Time) {
	select {
	case <-time.After(min(time.Until(until), c.server.maxReadPause)):
	case <-c.writerDone:
	case <-c.endRequested:
	}
}

// hasBufferedRequest reports whether the buffer holds a well-formed request that has not been processed. Duplicates do not
// count, because a client could avoid the pauses with them.
func (c *conn) hasBufferedRequest() bool {
	buffered := c.reader.buffer.Buffered()
	if !bytes.Contains(buffered, requestPrefix) { // skips the search for the ends of the commands
		return false
	}
	for {
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
	if !bytes.Contains(frame[:min(len(frame), maxRequestNameEnd)], requestPrefix) { // skips the parser for other commands
		return false
	}
	complete, args, _, _, err := redcon.ReadNextCommand(frame, nil)
	if err != nil || !complete || len(args) == 0 || !isRequestCommand(args[0]) {
		return false
	}
	request, err := c.server.cfg.parseRequest(args, c.reader.arrivedAt)
	return err == nil && request.ExternalID != c.duplicateID.Load()
}
