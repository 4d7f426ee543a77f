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
	replyTimeout     = 10 * time.Second // time to wait for the last replies on a connection
	chunkBytes       = 30               // length of a chunk of a command that is written slowly
	retryQueueLength = 64               // rejected requests that wait for a retry on a connection; further ones are not retried
	retryTenths      = 7                // tenths of the rejected requests that are retried with their remaining time
	unknownCommand   = "*1\r\n$5\r\nHELLO\r\n"
)

// clientConn is one pipelining connection of a client to an ingress.
type clientConn struct {
	nc          net.Conn
	checker     *checker
	target      *ingressProcess
	incarnation int // incarnation of the target, read after the dial
	dialledAt   time.Time
	chunkDelay  time.Duration // delay between the chunks of a command; zero means no chunks
	retries     chan *request // rejected requests that the client retries

	mu      sync.Mutex // guards the fields below
	pending []*request // commands without a reply, in the order sent; nil stands for an unknown command
	closed  bool       // whether sending has ended and replies are ignored
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
func (cc *clientConn) sendUnknownCommand() error { return cc.send(nil, []byte(unknownCommand)) }

// send sends the command of a request. A nil request stands for an unknown command.
func (cc *clientConn) send(r *request, command []byte) error {
	if !cc.addPending(r) {
		return net.ErrClosed
	}
	for cc.chunkDelay > 0 && len(command) > chunkBytes {
		if _, err := cc.nc.Write(command[:chunkBytes]); err != nil {
			break // the write below returns the error; an incomplete command needs no reply
		}
		command = command[chunkBytes:]
		time.Sleep(cc.chunkDelay)
	}
	if r != nil {
		cc.checker.history.recordSent(r)
	}
	_, err := cc.nc.Write(command)
	return err
}

// addPending adds a command to those without a reply. It reports whether the connection is still open for commands.
func (cc *clientConn) addPending(r *request) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		return false
	}
	cc.pending = append(cc.pending, r)
	return true
}

// disconnect closes the connection while requests are open on it.
func (cc *clientConn) disconnect() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.checker.history.recordDisconnect(cc.openRequests())
	cc.pending, cc.closed = nil, true
	cc.nc.Close()
}

// closeWhenIdle waits for the replies to all commands and closes the connection. After replyTimeout it returns and leaves the
// connection open.
func (cc *clientConn) closeWhenIdle() {
	const pollInterval = 5 * time.Millisecond
	for deadline := time.Now().Add(replyTimeout); time.Now().Before(deadline) && !cc.isIdle(); {
		time.Sleep(pollInterval)
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if !cc.closed && len(cc.pending) == 0 {
		cc.closed = true
		cc.nc.Close()
	}
}

func (cc *clientConn) isIdle() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.pending) == 0 || cc.closed
}

// openRequests returns the requests without a reply. The caller holds cc.mu.
func (cc *clientConn) openRequests() (open []*request) {
	for _, r := range cc.pending {
		if r != nil {
			open = append(open, r)
		}
	}
	return open
}

// readReplies reads and checks replies until the connection ends.
func (cc *clientConn) readReplies() {
	in := bufio.NewReader(cc.nc)
	for prevReplyAt := (time.Time{}); ; prevReplyAt = time.Now() {
		kind, text, err := readReply(in)
		if err != nil {
			cc.handleReadError(err)
			return
		}
		r, state := cc.takePending()
		switch {
		case state == nothingPending:
			cc.checker.violations.record(WrongReply, cc.target.index, "got %q, want no reply since no command is pending", text)
			cc.nc.Close()
			return
		case state == connClosed:
			return
		case r == nil:
			if kind != ReplyError {
				cc.checker.violations.record(WrongReply, cc.target.index, "got %q to an unknown command, want an error", text)
			}
		default:
			cc.checker.recordReply(r, prevReplyAt, kind, text)
			cc.queueRetry(r, kind)
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
func (cc *clientConn) takePending() (*request, pendingState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	switch {
	case cc.closed:
		return nil, connClosed
	case len(cc.pending) == 0:
		return nil, nothingPending
	}
	r := cc.pending[0]
	cc.pending = cc.pending[1:]
	return r, commandPending
}

// queueRetry queues a rejected request for a retry if it is among the retryTenths, its timeout is not zero and the queue is not
// full.
func (cc *clientConn) queueRetry(r *request, kind ReplyKind) {
	if kind != ReplyBusy || r.id%10 >= retryTenths || r.timeout == 0 {
		return
	}
	select {
	case cc.retries <- r:
	default:
	}
}

// handleReadError handles the end of the connection. For the requests without a reply it records why they got none, or a
// violation.
func (cc *clientConn) handleReadError(err error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	open, closed := cc.openRequests(), cc.closed
	cc.closed = true
	if closed || len(open) == 0 {
		return
	}
	switch {
	case cc.target.hadStoppedAccepting(cc.dialledAt):
		cc.checker.history.exempt(open, "the connection was opened as the ingress stopped accepting")
	case cc.target.wasKilled(cc.incarnation):
		cc.checker.history.exempt(open, "the ingress was killed")
	case errors.Is(err, io.EOF):
		cc.checker.history.recordClose(open)
	case errors.Is(err, syscall.ECONNRESET):
		cc.checker.violations.record(NoReply, cc.target.index, "a connection with %d open requests was reset", len(open))
	}
}
