package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a client's connection.
type conn struct {
	server         *Server
	socket         net.Conn
	reader         reader        // used only by the reading goroutine
	faults         atomic.Int32  // number of faults of the client
	requestRead    atomic.Bool   // a well-formed request has been read, even if it was rejected
	duplicateID    atomic.Uint64 // id of the last request that was rejected as a duplicate
	disconnected   atomic.Bool   // the reader has ended: answers are dropped, and no attempt may start; set with mu held
	disconnectedAt atomic.Int64  // time at which disconnected was set, on Config.Clock; zero before that
	pausing        atomic.Bool   // the reader pauses after a fault
	endRequested   chan struct{} // closed when the end is requested, which interrupts a pause
	wake           chan struct{} // signals the writer that the state or the answers have changed; capacity 1
	writerDone     chan struct{} // closed when the writer has ended

	mu                sync.Mutex         // guards the fields below
	state             connState          // changed only by transition
	reason            CloseReason        // reason for the end of the connection; the first one set is kept
	aborted           bool               // the server closed the socket without waiting for answers
	commandReceived   bool               // a complete command has been received
	readDeadline      time.Time          // deadline of the reader, zero for none; in effect unless the writer has set another one
	lastActivity      time.Time          // time at which the connection was opened, or last received a command or an answer
	pendingResponses  []*pendingResponse // responses in the order of their commands, without those in readyAnswers
	readyAnswers      []byte             // encoded answers for the writer, in the order of the commands
	readyCount        int                // number of answers in readyAnswers
	unwrittenCommands int                // number of commands whose answers have not been written
	unsentBytes       int                // size of the answers, ready or not, that have not been written
}

func newConn(s *Server, socket net.Conn) *conn {
	now := time.Now()
	c := &conn{server: s, socket: socket, endRequested: make(chan struct{}), wake: make(chan struct{}, 1),
		writerDone: make(chan struct{}), lastActivity: now}
	c.reader.openedAt = now
	c.reader.buffer.Budget, c.reader.buffer.ElidesValues = s.commandMemory, true
	return c
}

// serve runs the connection until its reader and its writer have ended.
func (c *conn) serve() {
	defer c.server.active.Done()
	stopWriter := make(chan struct{})
	go func() { // ends after the last answer or when stopWriter closes; this function waits for it
		defer close(c.writerDone)
		c.runWriter(stopWriter)
	}()
	if c.readCommands() {
		c.discard()
	}
	unanswered := c.markDisconnected()
	c.socket.Close()
	c.observeEnd(unanswered)
	if len(unanswered) > 0 { // reported before waiting for the writer, which may end much later
		c.server.cfg.Handler.ClientDisconnected(unanswered)
	}
	close(stopWriter)
	<-c.writerDone
	c.releaseUnsentBytes()
	c.server.untrack(c)
}

// markDisconnected marks the client as disconnected and returns its requests that have no answer.
func (c *conn) markDisconnected() (unanswered []*Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected.Store(true)
	c.disconnectedAt.Store(int64(c.server.cfg.Clock(time.Now())))
	for _, pending := range c.pendingResponses {
		if pending.answer == nil {
			unanswered = append(unanswered, pending.request)
		}
	}
	return unanswered
}

// releaseUnsentBytes subtracts the answers that will never be written from the total over all connections.
func (c *conn) releaseUnsentBytes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.unsentBytes.Add(-int64(c.unsentBytes))
}

// hasPendingResponse reports whether a command waits for its answer or for an earlier one.
func (c *conn) hasPendingResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingResponses) > 0
}

// hasReceivedCommand reports whether a complete command has been received.
func (c *conn) hasReceivedCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commandReceived
}

// hasUnwrittenCommands reports whether the answers of at least minCount commands have not been written.
func (c *conn) hasUnwrittenCommands(minCount int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unwrittenCommands >= minCount
}

// setReadDeadline sets the deadline of the reader. It does not change the deadline of the socket while the reader has to confirm
// the end of the connection or after that end: the writer controls it then.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.state != stateEnded && c.state != stateConfirming {
		c.socket.SetReadDeadline(deadline)
	}
}

// remoteAddr returns the client's address for log records, or "" if it is unknown.
func (c *conn) remoteAddr() string {
	if c.socket == nil || c.socket.RemoteAddr() == nil {
		return ""
	}
	return c.socket.RemoteAddr().String()
}

// wakeWriter makes the writer check the state and the answers again; it never blocks.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
