// Package faults injects network faults between processes over loopback with a TCP proxy that can delay, block and reset
// connections.
package faults

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Mode states how a Proxy handles its connections.
type Mode int

const (
	// Forwarding forwards all data.
	Forwarding Mode = iota
	// Silent accepts connections and forwards nothing, as if the target's machine were unreachable.
	Silent
	// Refusing resets all open and new connections.
	Refusing
)

const (
	copyBufferBytes = 32 << 10
	acceptBackoff   = time.Millisecond // pause after a failed accept, for example for lack of descriptors
)

// Proxy forwards connections from its address to a target. It is safe for concurrent use.
type Proxy struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup // goroutines that accept and serve connections; Close waits for them

	mu          sync.Mutex // guards the fields below
	mode        Mode
	modeChanged chan struct{} // closed when mode changes
	delay       time.Duration // delay before each forwarded chunk
	chunkBytes  int           // maximum length of a forwarded chunk; zero means no limit
	connections map[*proxiedConnection]struct{}
	closed      bool
}

// proxiedConnection is one connection through the proxy.
type proxiedConnection struct {
	client      net.Conn
	upstream    net.Conn // nil until the target is dialled
	wasSilenced bool     // whether it was open while the proxy was silent; guarded by Proxy.mu
}

// NewProxy starts a proxy that listens on a free loopback port and forwards to target.
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
	p.goroutines.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetMode sets the mode. Connections that were open in mode Silent are reset when the mode becomes Forwarding, since either end
// may have abandoned them.
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
			c.wasSilenced = true
		}
		if mode == Refusing || mode == Forwarding && c.wasSilenced {
			c.resetBoth()
		}
	}
}

// SetThrottle makes the proxy forward chunks of at most chunkBytes with a delay before each. Zero chunkBytes means that the
// length of a chunk is not limited.
func (p *Proxy) SetThrottle(delay time.Duration, chunkBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.chunkBytes = delay, chunkBytes
}

// ResetConnections resets all open connections and returns their number.
func (p *Proxy) ResetConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.resetBoth()
	}
	return len(p.connections)
}

// Close stops accepting, resets all open connections and returns when all goroutines of the proxy have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.SetMode(Refusing)
	p.ResetConnections()
	p.goroutines.Wait()
}

// resetBoth closes both sides with a TCP reset.
func (c *proxiedConnection) resetBoth() {
	for _, conn := range []net.Conn{c.client, c.upstream} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

func (c *proxiedConnection) closeBoth() {
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
		p.goroutines.Go(func() { p.serveConnection(conn) }) // ends with the connection, which Close resets
	}
}

// serveConnection forwards one connection until both directions have ended.
func (p *Proxy) serveConnection(client net.Conn) {
	c := &proxiedConnection{client: client}
	if !p.addConnection(c) {
		return
	}
	defer p.removeConnection(c)
	if !p.dialTarget(c) {
		c.resetBoth()
		return
	}
	var upload sync.WaitGroup
	upload.Go(func() { p.forward(c, c.client, c.upstream) })
	p.forward(c, c.upstream, c.client)
	upload.Wait()
}

// dialTarget connects to the target. It returns false if that fails, or if the proxy was closed or refuses connections.
func (p *Proxy) dialTarget(c *proxiedConnection) bool {
	upstream, err := net.Dial("tcp", p.target)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.upstream = upstream
	return err == nil && !p.closed && p.mode != Refusing
}

// addConnection adds a connection. If the proxy was closed or refuses connections, it resets the connection and returns false.
func (p *Proxy) addConnection(c *proxiedConnection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Refusing {
		c.resetBoth()
		return false
	}
	c.wasSilenced = p.mode == Silent
	p.connections[c] = struct{}{}
	return true
}

func (p *Proxy) removeConnection(c *proxiedConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
	c.closeBoth()
}

// forward copies one direction. It forwards the end of the stream; an error resets the connection.
func (p *Proxy) forward(c *proxiedConnection, from, to net.Conn) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, readErr := from.Read(buf)
		if !p.writeThrottled(to, buf[:n]) {
			c.resetBoth()
			return
		}
		if readErr == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
			tcp.CloseWrite()
			return
		}
		c.resetBoth()
		return
	}
}

// writeThrottled forwards bytes in chunks with delays. It returns false if a write fails.
func (p *Proxy) writeThrottled(to net.Conn, b []byte) bool {
	for len(b) > 0 {
		n := p.awaitForwarding(len(b))
		if _, err := to.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
	}
	return true
}

// awaitForwarding waits until the proxy is not silent, and then for the delay. It returns the length of the next chunk
// of n bytes.
func (p *Proxy) awaitForwarding(n int) int {
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
