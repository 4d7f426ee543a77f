package ingress

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const transientPause = time.Millisecond // before a call is made again that the system had no memory for

// isTransient says whether a read or write failed for want of memory in the system, or was interrupted: the connection is in
// order, and what it owes is still owed.
func isTransient(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EINTR)
}

// writeWhole writes all of b, over transient errors, until its time is up; it returns how much was written.
func writeWhole(nc net.Conn, b []byte, until time.Time) (n int, err error) {
	nc.SetWriteDeadline(until)
	for n < len(b) {
		var k int
		k, err = nc.Write(b[n:])
		n += k
		switch {
		case err == nil:
		case !isTransient(err) || !time.Now().Before(until):
			return n, err
		default:
			time.Sleep(transientPause)
		}
	}
	return n, nil
}
