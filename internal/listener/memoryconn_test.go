package listener

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// memoryConn is one end of a connection in memory. Unlike net.Pipe it buffers writes and can be closed in one direction, as a
// TCP connection. A single goroutine may read at a time.
type memoryConn struct {
	net.Conn // nil, because no other method is called
	incoming *memoryStream
	outgoing *memoryStream
}

// newMemoryConn returns the two ends of a connection.
func newMemoryConn() (server, client *memoryConn) {
	toServer, toClient := newMemoryStream(), newMemoryStream()
	return &memoryConn{incoming: toServer, outgoing: toClient}, &memoryConn{incoming: toClient, outgoing: toServer}
}

func (m *memoryConn) Read(b []byte) (int, error) { return m.incoming.read(b) }

func (m *memoryConn) Write(b []byte) (int, error) { return m.outgoing.write(b) }

func (m *memoryConn) SetReadDeadline(deadline time.Time) error {
	m.incoming.update(func() { m.incoming.deadline = deadline })
	return nil
}

func (m *memoryConn) SetWriteDeadline(time.Time) error { return nil }

func (m *memoryConn) RemoteAddr() net.Addr { return nil }

func (m *memoryConn) CloseWrite() error {
	m.outgoing.update(func() { m.outgoing.isEnded = true })
	return nil
}

func (m *memoryConn) Close() error {
	m.incoming.update(func() { m.incoming.isClosed = true })
	return m.CloseWrite()
}

// memoryStream is one direction of a memoryConn.
type memoryStream struct {
	changed chan struct{} // signals the reader; capacity 1

	mu       sync.Mutex // guards the fields below
	data     []byte
	deadline time.Time
	isEnded  bool // the writing end has ended its direction
	isClosed bool // the reading end has closed the connection
}

func newMemoryStream() *memoryStream { return &memoryStream{changed: make(chan struct{}, 1)} }

func (s *memoryStream) update(change func()) {
	s.mu.Lock()
	change()
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *memoryStream) write(b []byte) (n int, err error) {
	s.update(func() {
		if s.isEnded || s.isClosed {
			err = net.ErrClosed
			return
		}
		s.data = append(s.data, b...)
		n = len(b)
	})
	return n, err
}

func (s *memoryStream) read(b []byte) (int, error) {
	for {
		n, deadline, err := s.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		var timeout <-chan time.Time
		if !deadline.IsZero() {
			timeout = time.After(time.Until(deadline))
		}
		select {
		case <-s.changed:
		case <-timeout:
		}
	}
}

// tryRead reads without waiting; it returns zeros and the deadline if the reader has to wait.
func (s *memoryStream) tryRead(b []byte) (n int, deadline time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isClosed:
		return 0, time.Time{}, net.ErrClosed
	case !s.deadline.IsZero() && !time.Now().Before(s.deadline):
		return 0, time.Time{}, os.ErrDeadlineExceeded
	case len(s.data) > 0:
		n = copy(b, s.data)
		s.data = s.data[n:]
		return n, time.Time{}, nil
	case s.isEnded:
		return 0, time.Time{}, io.EOF
	}
	return 0, s.deadline, nil
}

// memoryListener is a net.Listener of memoryConns with a long accept queue.
type memoryListener struct {
	net.Listener // nil, because no other method is called
	queue        chan net.Conn
	closed       chan struct{}
	closeOnce    sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{queue: make(chan net.Conn, 4096), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case socket := <-l.queue:
		return socket, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// dial connects a client; the connection waits in the accept queue until the server accepts it.
func (l *memoryListener) dial() *memoryConn {
	server, client := newMemoryConn()
	l.queue <- server
	return client
}
