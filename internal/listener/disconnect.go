package listener

import (
	"errors"
	"io"
	"os"
	"syscall"

	"lemontack/internal/resp"
	"lemontack/internal/sockets"
)

// checkClientConnected reads the available input without blocking, as far as the memory allows. It returns false if it reached
// the end of the input or the connection has failed. It clears mayBeDisconnected if it has read all input without reaching the
// end. A proposed end of the connection, which makes reads fail, waits until then.
func (c *conn) checkClientConnected() (connected bool) {
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		c.reader.mayBeDisconnected = false
		return true
	}
	raw, err := socket.SyscallConn()
	for err == nil {
		err = c.reader.buffer.Fill(func(b []byte) (int, error) { return readWithoutWaiting(raw, b) })
		if errors.Is(err, os.ErrDeadlineExceeded) && c.declineEnd() {
			defer c.wakeWriter()
			err = nil
		}
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		c.reader.mayBeDisconnected = false
		return true
	case sockets.IsTransient(err), errors.Is(err, resp.ErrTooLong), errors.Is(err, resp.ErrNoMemory),
		errors.Is(err, os.ErrDeadlineExceeded):
		return true // a later read detects a disconnect
	}
	return false
}

// readWithoutWaiting reads once without blocking; the error is EAGAIN if no input is available.
func readWithoutWaiting(raw syscall.RawConn, b []byte) (n int, err error) {
	rawErr := raw.Read(func(fd uintptr) bool {
		for n, err = syscall.Read(int(fd), b); errors.Is(err, syscall.EINTR); {
			n, err = syscall.Read(int(fd), b)
		}
		return true
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
