package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// troubled is a listener whose calls fail, each error once, before they go through.
type troubled struct {
	net.Listener
	errs   []error
	failed atomic.Int32
}

func (l *troubled) Accept() (net.Conn, error) {
	if n := int(l.failed.Add(1)); n <= len(l.errs) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errs[n-1])}
	}
	return l.Listener.Accept()
}

// Whatever accept fails with, the connections that come after are taken, with no place lost for the failures.
func TestAcceptOverErrors(t *testing.T) {
	ln := loopback(t)
	defer ln.Close()
	errs := []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EPROTO,
		syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, errors.New("unheard of")}
	const places = 2 // fewer than the errors
	f := newFront(&troubled{Listener: ln, errs: errs}, idleGateway(t, newBackend(t, nil).addr), places, 1<<20)
	go f.accept()
	for range places {
		nc, in := dial(t, ln.Addr().String())
		io.WriteString(nc, command("PING"))
		if got := line(t, in); got != "+PONG" {
			t.Fatal(got)
		}
	}
}
