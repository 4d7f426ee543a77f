package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"lemontack/internal/nettest"
)

// failingListener is a listener whose first Accept calls return the errors errs, one after the other.
type failingListener struct {
	net.Listener
	errs     []error
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if n := int(l.failures.Add(1)); n <= len(l.errs) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errs[n-1])}
	}
	return l.Listener.Accept()
}

// After any accept error later connections are accepted, and no connection slot is leaked.
func TestAcceptContinuesAfterErrors(t *testing.T) {
	ln := nettest.Listen(t)
	errs := []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, errors.New("unknown error")}
	const slots = 2 // fewer than errs, to detect a leak
	s, _ := newServer(&failingListener{Listener: ln, errs: errs}, slots, 1<<20)
	go s.Serve() // ends with the listener
	for range slots {
		socket, in := nettest.Dial(t, ln.Addr().String())
		io.WriteString(socket, nettest.Command(commandPing))
		if got := nettest.ReadLine(t, in); got != "+PONG" {
			t.Fatalf("got reply %q, want +PONG", got)
		}
	}
}
