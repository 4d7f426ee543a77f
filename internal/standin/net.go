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

// conns is the listeners and open connections of a stand-in.
type conns struct {
	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	open      map[net.Conn]struct{}
	ended     bool
	all       sync.WaitGroup
}

// serve hands each connection to handle until the listener ends; that is no error after close.
func (c *conns) serve(ln net.Listener, handle func(net.Conn)) error {
	if !c.listen(ln) {
		return ln.Close()
	}
	for {
		nc, err := ln.Accept()
		if err != nil {
			if c.over() && errors.Is(err, net.ErrClosed) {
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

func (c *conns) listen(ln net.Listener) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listeners == nil {
		c.listeners, c.open = map[net.Listener]struct{}{}, map[net.Conn]struct{}{}
	}
	c.listeners[ln] = struct{}{}
	return !c.ended
}

func (c *conns) add(nc net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.open[nc] = struct{}{}
	c.all.Add(1)
	return true
}

func (c *conns) remove(nc net.Conn) {
	nc.Close()
	c.mu.Lock()
	delete(c.open, nc)
	c.mu.Unlock()
	c.all.Done()
}

func (c *conns) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// cut resets what is open.
func (c *conns) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.open {
		reset(nc)
	}
}

// end refuses what comes from now on and resets what is open.
func (c *conns) end() {
	c.mu.Lock()
	c.ended = true
	for ln := range c.listeners {
		ln.Close()
	}
	c.mu.Unlock()
	c.cut()
}

// reset closes a connection as the end of a process does.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	nc.Close()
}

// reply is the place of one answer; it holds one. A closed one ends its connection.
type reply chan []byte

func answered(text string) reply {
	r := make(reply, 1)
	r <- []byte(text)
	return r
}

// replies writes the answers of one connection in the order of its calls.
type replies struct {
	nc    net.Conn
	queue chan reply
	out   atomic.Int32    // calls without an answer
	hush  <-chan struct{} // closed: nothing is written any more; nil: never
	done  chan struct{}   // closed: nobody waits for answers
	ended chan struct{}   // closed: no answer will be written
	wrote func(bytes int)
}

const mostBehind = 512 // calls of one connection without an answer; it is not read further then

func newReplies(nc net.Conn, hush <-chan struct{}, wrote func(int)) *replies {
	r := &replies{nc: nc, queue: make(chan reply, mostBehind), hush: hush, done: make(chan struct{}),
		ended: make(chan struct{}), wrote: wrote}
	go r.run()
	return r
}

// next gives a call its place behind the ones before it; nil ends the answers there.
func (r *replies) next(p reply) {
	r.out.Add(1)
	select {
	case r.queue <- p:
	case <-r.hush:
	case <-r.ended:
	}
}

// stop ends the writing and waits for its end.
func (r *replies) stop() {
	close(r.done)
	r.nc.Close()
	<-r.ended
}

func (r *replies) silent() bool {
	select {
	case <-r.hush:
		return true
	default:
		return false
	}
}

func (r *replies) run() {
	defer close(r.ended)
	for !r.silent() {
		var text []byte
		select {
		case p := <-r.queue:
			if p == nil {
				return
			}
			ok := true
			select {
			case text, ok = <-p:
			case <-r.hush:
			case <-r.done:
				return
			}
			if !ok {
				r.nc.Close()
				return
			}
		case <-r.hush:
		case <-r.done:
			return
		}
		if r.silent() {
			return
		}
		n, err := r.nc.Write(text)
		r.out.Add(-1)
		if r.wrote(n); err != nil {
			r.nc.Close()
			return
		}
	}
}
