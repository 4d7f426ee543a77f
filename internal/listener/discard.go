package listener

import (
	"time"

	"lemontack/internal/sockets"
)

const (
	// discardBufferSize is the maximum size in bytes of one read of discarded input.
	discardBufferSize = 16 << 10
	// throttlePause is the pause after each throttleBytes of input that is discarded or rejected. While a response is pending
	// it follows each throttleBytesPending, so that the contents of both sides' socket buffers are read in time to detect a
	// disconnect.
	throttlePause        = 10 * time.Millisecond
	throttleBytes        = 64 << 10
	throttleBytesPending = 2 << 20
)

// discard reads and discards input until lingerTimeout after the last answer, so that a disconnect before that is detected. It
// is throttled, so that a flood of input takes little CPU time. While a response is pending the throttling is weaker, because
// a disconnect is detected only at the end of the input.
func (c *conn) discard() {
	c.setReadDeadline(time.Time{})
	buffer := make([]byte, discardBufferSize)
	for {
		n, err := c.socket.Read(buffer)
		if sockets.IsTransient(err) {
			time.Sleep(sockets.TransientErrorPause)
			continue
		}
		if err != nil { // the client has disconnected, or the writer's deadline has passed
			return
		}
		c.throttleReading(n)
	}
}

// throttleReading counts bytes of discarded or rejected input, and pauses after throttleBytes or throttleBytesPending of them.
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
