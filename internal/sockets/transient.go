// Package sockets tells errors of system calls that pass from those that end a connection, and writes over the former.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// TransientErrorPause is the time to wait before a call is made again that the system had no memory for.
const TransientErrorPause = time.Millisecond

// IsTransient reports whether a read or write failed because the system had no memory, or was interrupted. The connection is
// in order then, and what it owes is still owed.
func IsTransient(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EINTR)
}

// WriteAll writes all of b, over transient errors, until the deadline. It returns how many bytes were written.
func WriteAll(conn net.Conn, b []byte, deadline time.Time) (written int, err error) {
	conn.SetWriteDeadline(deadline)
	for written < len(b) {
		var n int
		n, err = conn.Write(b[written:])
		written += n
		switch {
		case err == nil:
		case !IsTransient(err) || !time.Now().Before(deadline):
			return written, err
		default:
			time.Sleep(TransientErrorPause)
		}
	}
	return written, nil
}
