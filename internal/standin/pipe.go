package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// PipeListener is a net.Listener whose connections are pipes in memory, for tests on a fake clock.
type PipeListener struct {
	accepting chan net.Conn
	closed    chan struct{}
	close     func()
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	l := &PipeListener{accepting: make(chan net.Conn), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l
}

// Dial opens a connection and returns the client's end once Accept has taken the other. On a closed listener its error
// is syscall.ECONNREFUSED.
func (l *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.accepting <- server:
		return client, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial pipe: %w", syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial pipe: %w", ctx.Err())
	}
}

// Accept returns the server's end of the next connection. After Close its error is net.ErrClosed.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepting:
		return conn, nil
	case <-l.closed:
		return nil, fmt.Errorf("accept pipe: %w", net.ErrClosed)
	}
}

// Close refuses further connections; open ones stay.
func (l *PipeListener) Close() error {
	l.close()
	return nil
}

// Addr returns an address that is the same for all pipes.
func (l *PipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

// Network is part of net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String is part of net.Addr.
func (pipeAddr) String() string { return "pipe" }
