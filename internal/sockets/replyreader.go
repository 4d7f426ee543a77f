package sockets

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// ErrUnusable reports that a connection has ended, or has received input, while no reply was expected. No further request may be
// written to it, because that input would be taken for the reply.
var ErrUnusable = errors.New("connection has ended or has input that belongs to no request")

// ReplyReader reads the replies to the requests that are written to a connection, and detects input that belongs to none of
// them. For this it orders the reads of the socket and the calls of Expect. Input that is read before a request is expected makes the
// connection unusable, even if it is only the beginning of a reply. Read and Received are called by one goroutine; the other methods
// are safe for concurrent use.
type ReplyReader struct {
	conn    net.Conn
	rawConn syscall.RawConn // nil if the connection gives no access to its socket

	mu       sync.Mutex // held during each read of the socket
	expected int        // replies that have been expected and not received
	unusable bool       // input has arrived while no reply was expected
	peekByte [1]byte    // buffer of peekSocket
	peekErr  error      // result of peekSocket

	// Arguments and results of readSocket, used only by the goroutine that calls Read.
	buffer    []byte
	readCount int
	readErr   error

	// The methods of these names, which need no allocation for each call this way.
	peekSocketFunc func(fd uintptr)
	readSocketFunc func(fd uintptr) bool
}

// NewReplyReader returns a reader of the replies that arrive on conn, of which nothing has been read yet.
func NewReplyReader(conn net.Conn) *ReplyReader {
	reader := &ReplyReader{conn: conn}
	if tcp, ok := conn.(*net.TCPConn); ok {
		reader.rawConn, _ = tcp.SyscallConn()
	}
	reader.peekSocketFunc, reader.readSocketFunc = reader.peekSocket, reader.readSocket
	return reader
}

// Expect registers the replies to requests that are about to be written. It returns ErrUnusable, and the requests must not be
// written, if no other reply is expected and the connection has ended or has received input.
func (reader *ReplyReader) Expect(replies int) error {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	if reader.expected == 0 && !reader.isOpenWithoutInput() {
		return ErrUnusable
	}
	reader.expected += replies
	return nil
}

// Received registers that a reply has been read completely. buffered is the number of bytes that Read has returned and that do not
// belong to that reply. It returns ErrUnusable if there are any while no further reply is expected.
func (reader *ReplyReader) Received(buffered int) error {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	reader.expected--
	if reader.expected > 0 || buffered == 0 {
		return nil
	}
	reader.unusable = true
	return ErrUnusable
}

// IsOpenWithoutInput reports whether the connection is open and has received nothing that belongs to no request, whether that
// has been read or not. It has to be called while no reply is expected.
func (reader *ReplyReader) IsOpenWithoutInput() bool {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	return reader.isOpenWithoutInput()
}

// isOpenWithoutInput is IsOpenWithoutInput for callers that hold the lock. Without access to the socket it considers only input
// that has been read.
func (reader *ReplyReader) isOpenWithoutInput() bool {
	if reader.unusable || reader.rawConn == nil {
		return !reader.unusable
	}
	err := reader.rawConn.Control(reader.peekSocketFunc)
	return err == nil && reader.peekErr == syscall.EAGAIN
}

// peekSocket sets peekErr to EAGAIN if the socket is open and has no unread input. The caller of Control holds the lock.
func (reader *ReplyReader) peekSocket(fd uintptr) {
	_, _, reader.peekErr = syscall.Recvfrom(int(fd), reader.peekByte[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}

// Read implements io.Reader. It returns ErrUnusable, and none of the input, if no reply is expected.
func (reader *ReplyReader) Read(b []byte) (int, error) {
	if reader.rawConn == nil {
		n, err := reader.conn.Read(b)
		reader.mu.Lock()
		defer reader.mu.Unlock()
		return reader.admit(n, err)
	}
	reader.buffer = b
	if err := reader.rawConn.Read(reader.readSocketFunc); err != nil {
		return 0, err
	}
	return reader.readCount, reader.readErr
}

// readSocket reads once from the socket. It returns false if the socket has no input.
func (reader *ReplyReader) readSocket(fd uintptr) bool {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	n, err := syscall.Read(int(fd), reader.buffer)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(fd), reader.buffer)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		n = 0
	case n == 0:
		err = io.EOF
	}
	reader.readCount, reader.readErr = reader.admit(n, err)
	return true
}

// admit returns the result of a read, or ErrUnusable if it returned input while no reply was expected. The caller holds the lock.
func (reader *ReplyReader) admit(n int, err error) (int, error) {
	if n == 0 || reader.expected > 0 {
		return n, err
	}
	reader.unusable = true
	return 0, ErrUnusable
}
