// Package sockets distinguishes transient errors of reads and writes from those that end a connection, retries writes after
// transient ones, and tells the replies to requests from input that belongs to none.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// TransientErrorPause is the wait before a call that failed with a transient error is repeated.
const TransientErrorPause = time.Millisecond

// IsTransient reports whether a read or write failed because the system was out of memory or the call was interrupted. The
// connection can still be used after such an error, and its open requests remain open.
func IsTransient(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EINTR)
}

// WriteAll writes all of b and retries after transient errors until the deadline. It returns the number of bytes written.
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
