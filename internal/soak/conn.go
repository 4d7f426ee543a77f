package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	replyTimeout     = 10 * time.Second // for the last replies on a connection, after the last request
	chunkBytes       = 30               // length of a chunk of a command that is written slowly
	retryQueueLength = 64               // for each connection; further rejected requests are not retried
	retryTenths      = 7                // tenths of the rejected requests that the client retries, with their remaining time
	unknownCommand   = "*1\r\n$5\r\nHELLO\r\n"
)

// clientConn is one pipelining connection of a client to an ingress.
type clientConn struct {
	nc          net.Conn
	checker     *checker
	target      *ingressProcess
	incarnation int // of the target, read after the dial
	dialledAt   time.Time
	chunkDelay  time.Duration // between the chunks of a command; zero means that it is written at once
	retries     chan *request // rejected requests that the client retries

	mu      sync.Mutex // guards the fields below
	pending []*request // commands without a reply, in the order sent; nil stands for an unknown command
	closed  bool       // true if no more commands are sent and replies are ignored
}

// dialClientConn opens a connection to an ingress.
func dialClientConn(target *ingressProcess, c *checker) (*clientConn, error) {
	nc, err := target.dial()
	if err != nil {
		return nil, err
	}
	return &clientConn{nc: nc, checker: c, target: target, incarnation: target.currentIncarnation(), dialledAt: time.Now(),
		retries: make(chan *request, retryQueueLength)}, nil
}

// sendUnknownCommand sends a command that no ingress knows.
func (c *clientConn) sendUnknownCommand() error { return c.send(nil, []byte(unknownCommand)) }

// send sends the command of a request. A nil request stands for an unknown command.
func (c *clientConn) send(r *request, command []byte) error {
	if !c.addPending(r) {
		return net.ErrClosed
	}
	for c.chunkDelay > 0 && len(command) > chunkBytes {
		if _, err := c.nc.Write(command[:chunkBytes]); err != nil {
			break // the write below returns the error; an incomplete command needs no reply
		}
		command = command[chunkBytes:]
		time.Sleep(c.chunkDelay)
	}
	if r != nil {
		c.checker.history.recordSent(r)
	}
	_, err := c.nc.Write(command)
	return err
}

// addPending adds a command to those without a reply. It reports whether the connection is still open for commands.
func (c *clientConn) addPending(r *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending = append(c.pending, r)
	return true
}

// disconnect closes the connection while requests are open on it.
func (c *clientConn) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.history.recordDisconnect(c.openRequests())
	c.pending, c.closed = nil, true
	c.nc.Close()
}

// closeWhenIdle waits for the replies to all commands and closes the connection. After replyTimeout it returns and leaves the
// connection open.
func (c *clientConn) closeWhenIdle() {
	const pollInterval = 5 * time.Millisecond
	for deadline := time.Now().Add(replyTimeout); time.Now().Before(deadline) && !c.isIdle(); {
		time.Sleep(pollInterval)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && len(c.pending) == 0 {
		c.closed = true
		c.nc.Close()
	}
}

func (c *clientConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 || c.closed
}

// openRequests returns the requests without a reply. The caller holds c.mu.
func (c *clientConn) openRequests() (open []*request) {
	for _, r := range c.pending {
		if r != nil {
			open = append(open, r)
		}
	}
	return open
}

// readReplies reads and checks replies until the connection ends.
func (c *clientConn) readReplies() {
	in := bufio.NewReader(c.nc)
	for prevReplyAt := (time.Time{}); ; prevReplyAt = time.Now() {
		kind, text, err := readReply(in)
		if err != nil {
			c.handleReadError(err)
			return
		}
		r, state := c.takePending()
		switch {
		case state == nothingPending:
			c.checker.violations.record(WrongReply, c.target.index, "got %q, want no reply since no command is pending", text)
			c.nc.Close()
			return
		case state == connClosed:
			return
		case r == nil:
			if kind != ReplyError {
				c.checker.violations.record(WrongReply, c.target.index, "got %q to an unknown command, want an error", text)
			}
		default:
			c.checker.recordReply(r, prevReplyAt, kind, text)
			c.queueRetry(r, kind)
		}
	}
}

// pendingState states whether a command waits for the reply that was read.
type pendingState int

const (
	commandPending pendingState = iota
	nothingPending
	connClosed // the client closed the connection before it processed the reply
)

// takePending removes and returns the first command without a reply.
func (c *clientConn) takePending() (*request, pendingState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, connClosed
	case len(c.pending) == 0:
		return nil, nothingPending
	}
	r := c.pending[0]
	c.pending = c.pending[1:]
	return r, commandPending
}

// queueRetry queues a rejected request for a retry, unless its timeout is zero or the queue is full.
func (c *clientConn) queueRetry(r *request, kind ReplyKind) {
	if kind != ReplyBusy || r.id%10 >= retryTenths || r.timeout == 0 {
		return
	}
	select {
	case c.retries <- r:
	default:
	}
}

// handleReadError handles the end of the connection. For the requests without a reply it records why they got none, or a
// violation.
func (c *clientConn) handleReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open, closed := c.openRequests(), c.closed
	c.closed = true
	if closed || len(open) == 0 {
		return
	}
	switch {
	case c.target.hadStoppedAccepting(c.dialledAt):
		c.checker.history.exempt(open, "the connection was opened as the ingress stopped accepting")
	case c.target.wasKilled(c.incarnation):
		c.checker.history.exempt(open, "the ingress was killed")
	case errors.Is(err, io.EOF):
		c.checker.history.recordClose(open)
	case errors.Is(err, syscall.ECONNRESET):
		c.checker.violations.record(NoReply, c.target.index, "a connection with %d open requests was reset", len(open))
	}
}
