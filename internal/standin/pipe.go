package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// PipeListener is a net.Listener whose connections are in-memory pipes, for tests on a fake clock.
type PipeListener struct {
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce func()
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	l := &PipeListener{incoming: make(chan net.Conn), closed: make(chan struct{})}
	l.closeOnce = sync.OnceFunc(func() { close(l.closed) })
	return l
}

// Dial opens a connection and returns the client's end after Accept has accepted the server's end. If the listener is
// closed, the error wraps syscall.ECONNREFUSED.
func (l *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.incoming <- server:
		return client, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial pipe: %w", syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial pipe: %w", ctx.Err())
	}
}

// Accept returns the server's end of the next connection. After Close the error wraps net.ErrClosed.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, fmt.Errorf("accept pipe: %w", net.ErrClosed)
	}
}

// Close makes the listener refuse further connections. Open connections are not affected.
func (l *PipeListener) Close() error {
	l.closeOnce()
	return nil
}

// Addr returns the same address for all listeners.
func (l *PipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (pipeAddr) String() string { return "pipe" }
