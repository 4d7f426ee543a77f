package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lemontack/internal/resp"
	"lemontack/internal/sockets"
)

const (
	writeTimeout = 5 * time.Second
	// replyReadTimeout is for the rest of a reply that has begun: one that never ends would hold its attempt to the deadline.
	replyReadTimeout = 200 * time.Millisecond
)

// connection is one connection to an endpoint. Its goroutine run owns the socket's reading side.
type connection struct {
	endpoint    *Endpoint
	address     string
	replyMemory *resp.MemoryBudget
	assignments chan assignment // room for one, which is enough: the pool gives one attempt at a time
	readerDone  chan struct{}   // closed when nothing is read any more

	// Set before the Connected event is posted.
	netConn net.Conn
	rawConn syscall.RawConn // nil where the socket has none

	// writeMu is held from before a command's first byte until written tells of its last one, so that a reply is matched
	// with the command that it answers.
	writeMu        sync.Mutex
	writtenAttempt atomic.Pointer[Attempt] // the last attempt whose last byte was written: it may have been executed

	// The rest belongs to the pool's goroutine.
	currentAttempt *Attempt
	idleSince      time.Duration
	disconnected   bool
}

// assignment is an attempt that the pool gives to a connection.
type assignment struct {
	attempt *Attempt
	EncodedCommand
}

// newConnection returns a connection that run opens.
func newConnection(endpoint *Endpoint, replyMemory *resp.MemoryBudget) *connection {
	return &connection{endpoint: endpoint, address: endpoint.address, replyMemory: replyMemory,
		assignments: make(chan assignment, 1), readerDone: make(chan struct{})}
}

// run dials, then reads replies until the connection or ctx ends; it posts Disconnected last. The writing goroutine is its
// own: run waits for it, and the end of reading ends it.
func (c *connection) run(ctx context.Context, timeout time.Duration, post func(Event)) {
	dialer := net.Dialer{Timeout: timeout}
	netConn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		post(Disconnected{connection: c})
		return
	}
	c.netConn = netConn
	if tcp, ok := netConn.(*net.TCPConn); ok {
		c.rawConn, _ = tcp.SyscallConn()
	}
	stopCloseOnCancel := context.AfterFunc(ctx, func() { netConn.Close() })
	defer stopCloseOnCancel()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.write()
	}()
	post(Connected{c})
	c.read(post)
	netConn.Close()
	close(c.readerDone)
	<-writerDone
	post(Disconnected{connection: c, wasConnected: true})
}

// read posts replies until the connection ends or is of no further use: bytes behind a reply may be a second copy of it, which
// must never be taken for the reply to the next command.
func (c *connection) read(post func(Event)) {
	buffer := resp.FrameBuffer{Budget: c.replyMemory}
	defer buffer.Close()
	deadlineSet := false
	for {
		frame, err := buffer.Next()
		if err != nil {
			return
		}
		if frame != nil {
			reply := parseReply(frame)
			reply.reusable = reply.reusable && !buffer.Partial()
			post(ReplyReceived{c, c.lastWrittenAttempt(), reply})
			if !reply.reusable {
				return
			}
			continue
		}
		deadlineSet = c.updateReplyDeadline(deadlineSet, buffer.Partial())
		if err := buffer.Fill(c.netConn.Read); sockets.IsTransient(err) {
			time.Sleep(sockets.TransientErrorPause)
		} else if err != nil {
			return
		}
	}
}

// updateReplyDeadline gives a reply that has begun replyTimeout for its end, counted from its first bytes. It reports whether the limit
// is in force.
func (c *connection) updateReplyDeadline(deadlineSet, replyPartial bool) bool {
	switch {
	case replyPartial && !deadlineSet:
		c.netConn.SetReadDeadline(time.Now().Add(replyReadTimeout))
	case deadlineSet && !replyPartial:
		c.netConn.SetReadDeadline(time.Time{})
	}
	return replyPartial
}

// lastWrittenAttempt returns the last attempt that was written to its last byte, once a write that is under way has ended.
func (c *connection) lastWrittenAttempt() *Attempt {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writtenAttempt.Load()
}

// isOpenAndDrained reports whether the connection is open and nothing has come on it that was not read.
func (c *connection) isOpenAndDrained() bool {
	if c.rawConn == nil {
		return true
	}
	var b [1]byte
	var peekErr error
	err := c.rawConn.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}

// write writes the attempts that it is given until reading has ended or a write fails.
func (c *connection) write() {
	for {
		select {
		case <-c.readerDone:
			return
		case assigned := <-c.assignments:
			if !assigned.attempt.writeClaimed.CompareAndSwap(false, true) {
				continue // the pool has taken it back
			}
			if !c.writeAttempt(assigned) {
				c.netConn.Close()
				return
			}
		}
	}
}

// writeAttempt writes one attempt and reports whether the connection may carry another.
func (c *connection) writeAttempt(assigned assignment) bool {
	// The command may have been abandoned since it was assigned. What has not begun was never executed.
	if assigned.attempt.command.Abandoned() {
		return false
	}
	assigned.attempt.command.BeforeWrite(assigned.TimeLimit)
	c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.netConn.Write(assigned.Frame)
	if n == len(assigned.Frame) {
		c.writtenAttempt.Store(assigned.attempt)
	}
	return err == nil
}
