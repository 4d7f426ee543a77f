// Package faults injects network faults between processes over loopback: a TCP proxy that delays, silences and resets
// what it forwards.
package faults

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a Proxy treats its connections.
type Mode int

const (
	// Forwarding forwards everything.
	Forwarding Mode = iota
	// Silent accepts connections and forwards nothing, as if the machine behind it had vanished.
	Silent
	// Refusing resets the connections that are open, and those that come.
	Refusing
)

const (
	copyBufferBytes = 32 << 10
	acceptBackoff   = time.Millisecond // after an accept that failed, for want of descriptors for example
)

// Proxy forwards the connections that come to its address to a target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	tasks    sync.WaitGroup // the accepting goroutine, and one for each connection; Close ends them and waits

	mu          sync.Mutex // guards what follows
	mode        Mode
	modeChanged chan struct{} // closed when mode changes
	delay       time.Duration // before each chunk that is forwarded
	chunkBytes  int           // most bytes forwarded at once; 0: any number
	connections map[*proxiedConnection]struct{}
	closed      bool
}

// proxiedConnection is one connection through the proxy.
type proxiedConnection struct {
	client   net.Conn
	upstream net.Conn // nil until the target is dialled
	silenced bool     // it was open while the proxy was silent; Proxy.mu guards it
}

// NewProxy listens on a loopback address of its own and forwards to target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy for %s: %w", target, err)
	}
	p := &Proxy{
		listener:    listener,
		target:      target,
		modeChanged: make(chan struct{}),
		connections: map[*proxiedConnection]struct{}{},
	}
	p.tasks.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetMode changes how connections are treated. Those that were open while the proxy was silent are reset when it passes
// again, since both ends may have given them up.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == p.mode {
		return
	}
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	for c := range p.connections {
		if mode == Silent {
			c.silenced = true
		}
		if mode == Refusing || mode == Forwarding && c.silenced {
			c.reset()
		}
	}
}

// SetThrottle makes each chunk of at most chunkBytes wait for a delay before it is forwarded. With 0 bytes, chunks are
// forwarded as they come.
func (p *Proxy) SetThrottle(delay time.Duration, chunkBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.chunkBytes = delay, chunkBytes
}

// ResetConnections resets the connections that are open and returns how many there were.
func (p *Proxy) ResetConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.reset()
	}
	return len(p.connections)
}

// Close resets what is open, accepts nothing more and returns once all goroutines of the proxy have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.SetMode(Refusing)
	p.ResetConnections()
	p.tasks.Wait()
}

// reset closes both sides so that their peers see a reset.
func (c *proxiedConnection) reset() {
	for _, conn := range []net.Conn{c.client, c.upstream} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

func (c *proxiedConnection) close() {
	for _, conn := range []net.Conn{c.client, c.upstream} {
		if conn != nil {
			conn.Close()
		}
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		p.tasks.Go(func() { p.serveConnection(conn) }) // ends with the connection, which Close resets
	}
}

// serveConnection forwards one connection until either side ends.
func (p *Proxy) serveConnection(client net.Conn) {
	c := &proxiedConnection{client: client}
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	if !p.dialTarget(c) {
		c.reset()
		return
	}
	var upload sync.WaitGroup
	upload.Go(func() { p.forward(c, c.client, c.upstream) })
	p.forward(c, c.upstream, c.client)
	upload.Wait()
}

// dialTarget returns false where there is no connection to the target, or none is wanted any more.
func (p *Proxy) dialTarget(c *proxiedConnection) bool {
	upstream, err := net.Dial("tcp", p.target)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.upstream = upstream
	return err == nil && !p.closed && p.mode != Refusing
}

// add returns false, and resets the connection, where the proxy refuses connections.
func (p *Proxy) add(c *proxiedConnection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Refusing {
		c.reset()
		return false
	}
	c.silenced = p.mode == Silent
	p.connections[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *proxiedConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
	c.close()
}

// forward copies one direction. An end of the stream is passed on; an error resets both directions.
func (p *Proxy) forward(c *proxiedConnection, from, to net.Conn) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, readErr := from.Read(buf)
		if !p.write(to, buf[:n]) {
			c.reset()
			return
		}
		if readErr == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
			tcp.CloseWrite()
			return
		}
		c.reset()
		return
	}
}

// write forwards bytes chunk by chunk; it returns false where that fails.
func (p *Proxy) write(to net.Conn, b []byte) bool {
	for len(b) > 0 {
		n := p.waitToForward(len(b))
		if _, err := to.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
	}
	return true
}

// waitToForward waits for the end of a silence and for the delay, and returns how many of n bytes are forwarded now.
func (p *Proxy) waitToForward(n int) int {
	p.mu.Lock()
	delay, chunkBytes := p.delay, p.chunkBytes
	for p.mode == Silent && !p.closed {
		changed := p.modeChanged
		p.mu.Unlock()
		<-changed
		p.mu.Lock()
	}
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if chunkBytes > 0 {
		n = min(n, chunkBytes)
	}
	return n
}
