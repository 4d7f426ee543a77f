// Package faults puts trouble between processes over loopback: a TCP proxy that delays, silences and resets what it carries.
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
	Pass   Mode = iota // all is forwarded
	Silent             // connections are taken and nothing is forwarded, as by a machine that has vanished
	Refuse             // what is open is reset, and so is what comes
)

const copyBufferBytes = 32 << 10

// Proxy forwards the connections that come to its address to a target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        Mode
	changed     chan struct{} // closed when mode changes
	delay       time.Duration // before each piece that is forwarded
	chunkBytes  int           // bytes forwarded at once; 0: any number
	connections map[*proxiedConnection]struct{}
	closed      bool
	tasks       sync.WaitGroup
}

// proxiedConnection is one connection through the proxy.
type proxiedConnection struct {
	client, upstream net.Conn
	silenced         bool // it was open while the proxy was silent, and is of no use any more
}

// NewProxy listens on an address of the loopback interface of its own and forwards to target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy for %s: %w", target, err)
	}
	p := &Proxy{listener: ln, target: target, changed: make(chan struct{}), connections: map[*proxiedConnection]struct{}{}}
	p.tasks.Go(p.accept)
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetMode changes how connections are treated. Those that were open while the proxy was silent are reset when it passes again.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == p.mode {
		return
	}
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	for l := range p.connections {
		if m == Silent {
			l.silenced = true
		}
		if m == Refuse || m == Pass && l.silenced {
			l.reset()
		}
	}
}

// SetThrottle makes each piece of at most so many bytes wait before it is forwarded; 0 bytes: pieces as they come.
func (p *Proxy) SetThrottle(delay time.Duration, piece int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.chunkBytes = delay, piece
}

// ResetConnections resets the connections that are open and returns how many there were.
func (p *Proxy) ResetConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.connections {
		l.reset()
	}
	return len(p.connections)
}

// Close resets what is open, takes nothing more and returns once nothing is carried.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.SetMode(Refuse)
	p.ResetConnections()
	p.tasks.Wait()
}

func (l *proxiedConnection) reset() {
	for _, nc := range []net.Conn{l.client, l.upstream} {
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

func (p *Proxy) accept() {
	for {
		nc, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say
			time.Sleep(time.Millisecond)
			continue
		}
		p.tasks.Go(func() { p.serveConnection(nc) })
	}
}

// serveConnection forwards one connection until either side ends.
func (p *Proxy) serveConnection(near net.Conn) {
	l := &proxiedConnection{client: near}
	if !p.add(l) {
		return
	}
	defer p.remove(l)
	far, err := net.Dial("tcp", p.target)
	p.mu.Lock()
	l.upstream = far
	over := err != nil || p.closed || p.mode == Refuse
	p.mu.Unlock()
	if over {
		l.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.forward(l, near, far) })
	p.forward(l, far, near)
	both.Wait()
}

func (p *Proxy) add(l *proxiedConnection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Refuse {
		l.reset()
		return false
	}
	l.silenced = p.mode == Silent
	p.connections[l] = struct{}{}
	return true
}

func (p *Proxy) remove(l *proxiedConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, l)
	for _, nc := range []net.Conn{l.client, l.upstream} {
		if nc != nil {
			nc.Close()
		}
	}
}

// forward copies one direction. The end of the sending passes through; an error ends both directions.
func (p *Proxy) forward(l *proxiedConnection, from, to net.Conn) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		for b := buf[:n]; len(b) > 0; {
			k := p.waitToForward(len(b))
			if _, err := to.Write(b[:k]); err != nil {
				l.reset()
				return
			}
			b = b[k:]
		}
		if err == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			tcp.CloseWrite()
			return
		}
		l.reset()
		return
	}
}

// waitToForward returns how much of n bytes is forwarded now, after the delay and any silence.
func (p *Proxy) waitToForward(n int) int {
	p.mu.Lock()
	delay, piece := p.delay, p.chunkBytes
	for p.mode == Silent && !p.closed {
		changed := p.changed
		p.mu.Unlock()
		<-changed
		p.mu.Lock()
	}
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if piece > 0 {
		n = min(n, piece)
	}
	return n
}
