// Package standin plays the systems that an ingress talks to: discovery, the shared counter and backends. They are
// written from the protocol and keep its words on silence, order and capacity, for tests and for runs of a whole fleet
// in one process. They wait with package time alone, so that over a PipeListener they also run on a driven clock.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// State is how a stand-in meets its callers.
type State int

const (
	Up     State = iota
	Silent       // cut off: it accepts and says nothing; what was open or came meanwhile stays silent for good
	Down         // ended: what is open is cut, and so is what comes
)

// PipeListener is a listener whose connections are pipes in memory.
type PipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	l := &PipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l
}

// Dial opens a connection and returns the client's end once the other is accepted.
func (l *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial pipe: %w", syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial pipe: %w", ctx.Err())
	}
}

// Accept returns the server's end of the next connection.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case nc := <-l.conns:
		return nc, nil
	case <-l.closed:
		return nil, fmt.Errorf("accept pipe: %w", net.ErrClosed)
	}
}

// Close refuses further connections; open ones stay.
func (l *PipeListener) Close() error {
	l.close()
	return nil
}

// Addr is the same for all pipes.
func (l *PipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

// connectionSet is the listeners and open connections of a stand-in.
type connectionSet struct {
	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	open      map[net.Conn]struct{}
	closed    bool
	handlers  sync.WaitGroup
}

// serve hands each connection to handle until the listener ends; that is no error after close.
func (c *connectionSet) serve(ln net.Listener, handle func(net.Conn)) error {
	if !c.addListener(ln) {
		return ln.Close()
	}
	for {
		nc, err := ln.Accept()
		if err != nil {
			if c.isClosed() && errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		if !c.add(nc) {
			reset(nc)
			continue
		}
		go func() {
			defer c.remove(nc)
			handle(nc)
		}()
	}
}

func (c *connectionSet) addListener(ln net.Listener) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listeners == nil {
		c.listeners, c.open = map[net.Listener]struct{}{}, map[net.Conn]struct{}{}
	}
	c.listeners[ln] = struct{}{}
	return !c.closed
}

func (c *connectionSet) add(nc net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.open[nc] = struct{}{}
	c.handlers.Add(1)
	return true
}

func (c *connectionSet) remove(nc net.Conn) {
	nc.Close()
	c.mu.Lock()
	delete(c.open, nc)
	c.mu.Unlock()
	c.handlers.Done()
}

func (c *connectionSet) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// resetAll resets what is open.
func (c *connectionSet) resetAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.open {
		reset(nc)
	}
}

// close refuses what comes from now on and resets what is open.
func (c *connectionSet) close() {
	c.mu.Lock()
	c.closed = true
	for ln := range c.listeners {
		ln.Close()
	}
	c.mu.Unlock()
	c.resetAll()
}

// reset closes a connection as the end of a process does.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	nc.Close()
}

// pendingReply is the place of one answer; it holds one. A closed one ends its connection.
type pendingReply chan []byte

func completedReply(text string) pendingReply {
	r := make(pendingReply, 1)
	r <- []byte(text)
	return r
}

// replyWriter writes the answers of one connection in the order of its calls.
type replyWriter struct {
	conn       net.Conn
	queue      chan pendingReply
	unanswered atomic.Int32    // calls without an answer
	silenced   <-chan struct{} // closed: nothing is written any more; nil: never
	stopping   chan struct{}   // closed: nobody waits for answers
	stopped    chan struct{}   // closed: no answer will be written
	onWrite    func(bytes int)
}

const maxUnansweredCalls = 512 // calls of one connection without an answer; it is not read further then

func newReplyWriter(nc net.Conn, hush <-chan struct{}, wrote func(int)) *replyWriter {
	r := &replyWriter{conn: nc, queue: make(chan pendingReply, maxUnansweredCalls), silenced: hush, stopping: make(chan struct{}),
		stopped: make(chan struct{}), onWrite: wrote}
	go r.run()
	return r
}

// enqueue gives a call its place behind the ones before it; nil ends the answers there.
func (r *replyWriter) enqueue(p pendingReply) {
	r.unanswered.Add(1)
	select {
	case r.queue <- p:
	case <-r.silenced:
	case <-r.stopped:
	}
}

// stop ends the writing and waits for its end.
func (r *replyWriter) stop() {
	close(r.stopping)
	r.conn.Close()
	<-r.stopped
}

func (r *replyWriter) isSilenced() bool {
	select {
	case <-r.silenced:
		return true
	default:
		return false
	}
}

func (r *replyWriter) run() {
	defer close(r.stopped)
	for !r.isSilenced() {
		var text []byte
		select {
		case p := <-r.queue:
			if p == nil {
				return
			}
			ok := true
			select {
			case text, ok = <-p:
			case <-r.silenced:
			case <-r.stopping:
				return
			}
			if !ok {
				r.conn.Close()
				return
			}
		case <-r.silenced:
		case <-r.stopping:
			return
		}
		if r.isSilenced() {
			return
		}
		n, err := r.conn.Write(text)
		r.unanswered.Add(-1)
		if r.onWrite(n); err != nil {
			r.conn.Close()
			return
		}
	}
}
