package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lemontack/internal/resp"
	"lemontack/internal/sockets"
)

const (
	writeTimeout = 5 * time.Second
	// replyReadTimeout limits the time from the first byte of a reply to its last. Without it a reply that is never
	// completed would keep its attempt open until the deadline.
	replyReadTimeout = 200 * time.Millisecond
)

// connection is one connection to an endpoint. The goroutine that executes run reads from the socket, and one started by
// run writes.
type connection struct {
	endpoint    *Endpoint
	address     string
	replyMemory *resp.MemoryBudget
	assignments chan assignment // capacity 1: the pool assigns one attempt at a time
	readerDone  chan struct{}   // closed when reading has ended

	// Set before the Connected event is posted.
	netConn net.Conn
	replies *sockets.ReplyReader

	// writeMu is held from before a command's first byte is written until writtenAttempt is set, so that a reply is matched with
	// the command that it answers.
	writeMu        sync.Mutex
	writtenAttempt atomic.Pointer[Attempt] // latest completely written attempt, which may have been executed

	// The fields below are used only on the pool's goroutine.
	currentAttempt *Attempt
	idleSince      time.Duration
	disconnected   bool
}

// assignment is an attempt that the pool assigns to a connection.
type assignment struct {
	attempt *Attempt
	EncodedCommand
}

// newConnection returns a connection that is not open; run dials it.
func newConnection(endpoint *Endpoint, replyMemory *resp.MemoryBudget) *connection {
	return &connection{endpoint: endpoint, address: endpoint.address, replyMemory: replyMemory,
		assignments: make(chan assignment, 1), readerDone: make(chan struct{})}
}

// run dials, then reads replies until the connection ends or ctx is cancelled. Its last event is Disconnected. It starts the
// writing goroutine, stops it by closing readerDone, and waits for it.
func (c *connection) run(ctx context.Context, timeout time.Duration, post func(Event)) {
	dialer := net.Dialer{Timeout: timeout}
	netConn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		post(Disconnected{connection: c})
		return
	}
	c.setNetConn(netConn)
	stopCloseOnCancel := context.AfterFunc(ctx, func() { netConn.Close() })
	defer stopCloseOnCancel()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.write()
	}()
	post(Connected{c})
	err = c.read(post)
	netConn.Close()
	close(c.readerDone)
	<-writerDone
	post(Disconnected{connection: c, wasConnected: true, hadUnsolicitedInput: errors.Is(err, sockets.ErrUnusable)})
}

// setNetConn sets the open connection.
func (c *connection) setNetConn(netConn net.Conn) {
	c.netConn, c.replies = netConn, sockets.NewReplyReader(netConn)
}

// read posts replies until the connection ends or must not be reused. A connection with input beyond a reply is not reused,
// because it may be the beginning of a duplicate that would be taken for the reply to the next command. The error is
// sockets.ErrUnusable after such input, and nil after a reply of unknown form.
func (c *connection) read(post func(Event)) error {
	buffer := resp.FrameBuffer{Budget: c.replyMemory}
	defer buffer.Close()
	hasDeadline := false
	for {
		frame, err := buffer.Next()
		if err != nil {
			return err
		}
		if frame != nil {
			reply := parseReply(frame)
			unusable := c.replies.Received(len(buffer.Buffered()))
			reply.reusable = reply.reusable && unusable == nil
			post(ReplyReceived{c, c.lastWrittenAttempt(), reply})
			if !reply.reusable {
				return unusable
			}
			continue
		}
		hasDeadline = c.updateReplyDeadline(hasDeadline, buffer.HasPartialFrame())
		if err := buffer.Fill(c.replies.Read); sockets.IsTransient(err) {
			time.Sleep(sockets.TransientErrorPause)
		} else if err != nil {
			return err
		}
	}
}

// updateReplyDeadline sets a read deadline of replyReadTimeout when the first part of a reply has been read, and clears it when
// the reply is complete. It reports whether the deadline is set.
func (c *connection) updateReplyDeadline(hasDeadline, hasPartialReply bool) bool {
	switch {
	case hasPartialReply && !hasDeadline:
		c.netConn.SetReadDeadline(time.Now().Add(replyReadTimeout))
	case hasDeadline && !hasPartialReply:
		c.netConn.SetReadDeadline(time.Time{})
	}
	return hasPartialReply
}

// lastWrittenAttempt returns the latest completely written attempt. It waits for a write in progress.
func (c *connection) lastWrittenAttempt() *Attempt {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writtenAttempt.Load()
}

// write writes the assigned attempts until reading has ended, a write fails, or an attempt has been abandoned.
func (c *connection) write() {
	for {
		select {
		case <-c.readerDone:
			return
		case assigned := <-c.assignments:
			if !assigned.attempt.writeClaimed.CompareAndSwap(false, true) {
				continue // the pool has cancelled the attempt
			}
			if !c.writeAttempt(assigned) {
				c.netConn.Close()
				return
			}
		}
	}
}

// writeAttempt writes one attempt and reports whether the connection can be used for another.
func (c *connection) writeAttempt(assigned assignment) bool {
	// Since the assignment the command may have been abandoned, and the connection may have become unusable. Without a written
	// byte the command is certain not to be executed.
	if assigned.attempt.command.Abandoned() {
		return false
	}
	if c.replies.Expect(1) != nil {
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
