package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a client's connection.
type conn struct {
	server     *Server
	socket     net.Conn
	reader     reader        // of the goroutine that reads
	faults     atomic.Int32  // faults that the client has committed
	duplicate  atomic.Uint64 // the id of the last request that was rejected as a duplicate
	gone       atomic.Bool   // the reader has ended: no answer is kept, and no attempt should begin; set with mu held
	goneAt     atomic.Int64  // when gone was set, by Config.Clock; 0: not yet
	wake       chan struct{} // tells the writer of a change; holds one element
	writerDone chan struct{} // closed when nothing is written any more

	mu           sync.Mutex  // guards the fields below
	state        connState   // changed by transition only
	reason       CloseReason // for the end of the connection; the first one stays
	aborted      bool        // the server closed the socket, whatever was owed
	received     bool        // a complete command has come
	readDeadline time.Time   // what the reader has set, zero: none; in force unless the writer has set another one
	lastUsed     time.Time   // when it was opened, the last command came or the last answer was given
	waiting      []*pendingResponse
	out          []byte // answers whose turn has come
	outCount     int    // commands that they answer
	unwritten    int    // commands whose answers have not been written
	unsentBytes  int    // of answers, in out or not, that have not been written
}

func newConn(s *Server, socket net.Conn) *conn {
	now := time.Now()
	c := &conn{server: s, socket: socket, wake: make(chan struct{}, 1), writerDone: make(chan struct{}), lastUsed: now}
	c.reader.openedAt = now
	c.reader.buffer.Budget = s.commandMemory
	return c
}

// serve runs the connection to its end.
func (c *conn) serve() {
	defer c.server.serving.Done()
	stopWriter := make(chan struct{})
	go func() { // ends after the last answer or when stopWriter closes; this function waits for it
		defer close(c.writerDone)
		c.write(stopWriter)
	}()
	if c.read() {
		c.discard()
	}
	unanswered := c.markGone()
	c.socket.Close()
	c.observeEnd(unanswered)
	if len(unanswered) > 0 { // said before the writer has ended: it may not run for a while
		c.server.cfg.Handler.ClientDisconnected(unanswered)
	}
	close(stopWriter)
	<-c.writerDone
	c.releaseUnsent()
	c.server.untrack(c)
}

// markGone marks the connection as over and returns the requests that nobody waits for any more.
func (c *conn) markGone() (unanswered []*Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone.Store(true)
	c.goneAt.Store(int64(c.server.cfg.Clock(time.Now())))
	for _, pending := range c.waiting {
		if pending.answer == nil {
			unanswered = append(unanswered, pending.request)
		}
	}
	return unanswered
}

// releaseUnsent takes what will never be written out of the sum over all connections.
func (c *conn) releaseUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.unsentBytes.Add(-int64(c.unsentBytes))
}

// isOwed reports whether a command waits for its answer.
func (c *conn) isOwed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) > 0
}

// hasReceived reports whether a complete command has come.
func (c *conn) hasReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// unwrittenAtLeast reports whether so many commands wait for their answers to be written.
func (c *conn) unwrittenAtLeast(count int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unwritten >= count
}

// setReadDeadline sets the deadline of reads. Once the connection has ended, or the reader is asked about its end, the
// socket's deadline is the writer's.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.state != stateEnded && c.state != stateConfirming {
		c.socket.SetReadDeadline(deadline)
	}
}

// proposeEnd makes the reader say whether the connection may end: only it knows whether it holds commands that were read and
// not taken. c.mu is held.
func (c *conn) proposeEnd() {
	c.transition(endProposed)
	c.socket.SetReadDeadline(time.Unix(1, 0)) // the reader's call returns at once
}

// confirmEnd is the reader's answer to proposeEnd, given while it holds no complete command: the connection ends, unless a
// command waits for its answer or has begun to come. One that has begun is no reason to keep a slot that others need.
func (c *conn) confirmEnd() (asked, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateConfirming {
		return false, false
	}
	if len(c.waiting) == 0 && (!c.reader.buffer.HasPartialFrame() || c.reason == CloseForSlot) {
		c.end()
		return true, true
	}
	c.transition(endDeclined)
	c.socket.SetReadDeadline(c.readDeadline)
	return true, false
}

// endIfNotOwed ends the connection if no answer is owed on it; the reader does so between two reads.
func (c *conn) endIfNotOwed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) > 0 {
		return false
	}
	c.end()
	return true
}

// end leaves the rest of the connection to the writer; c.mu is held.
func (c *conn) end() {
	c.transition(endDecided)
	c.socket.SetReadDeadline(time.Time{})
	c.wakeWriter()
}

// refuseCommands leaves the end of the connection to the writer: what is read from now on is of no use.
func (c *conn) refuseCommands() {
	c.mu.Lock()
	c.transition(commandsRefused)
	c.setReason(CloseForFaults)
	c.mu.Unlock()
	c.wakeWriter()
}

// closeSoon closes for a shutdown as close does, but leaves a connection that is so new that its first command may be under
// way the time to bring it.
func (c *conn) closeSoon() {
	c.mu.Lock()
	grace := newConnGrace - time.Since(c.lastUsed)
	received := c.received
	c.mu.Unlock()
	if received || grace <= 0 {
		c.close(CloseShutdown)
		return
	}
	time.AfterFunc(grace, func() { c.close(CloseShutdown) }) // does nothing to a connection that has ended by then
}

// close asks for the end of the connection at the next moment between requests.
func (c *conn) close(reason CloseReason) {
	c.mu.Lock()
	c.transition(closeRequested)
	c.setReason(reason)
	c.mu.Unlock()
	c.wakeWriter()
}

// abort ends the connection at once, whatever is owed on it.
func (c *conn) abort(reason CloseReason) {
	c.mu.Lock()
	c.setReason(reason)
	c.aborted = true
	c.mu.Unlock()
	c.socket.Close()
}

// setReason keeps the first reason for the end of the connection; c.mu is held.
func (c *conn) setReason(reason CloseReason) {
	if c.reason == CloseByClient {
		c.reason = reason
	}
}

// remoteAddr is the client's address, for the log.
func (c *conn) remoteAddr() string {
	if c.socket == nil || c.socket.RemoteAddr() == nil {
		return ""
	}
	return c.socket.RemoteAddr().String()
}

// wakeWriter makes the writer look at the connection again; it never blocks.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
