package listener

import (
	"net"
	"time"

	"lemontack/internal/resp"
	"lemontack/internal/sockets"
)

const (
	// writeTimeout is how long a client may take to read what is written to it at once.
	writeTimeout = 3 * time.Second
	// lingerTimeout is how long the client has to see the server's end of a connection before the socket closes.
	lingerTimeout = 250 * time.Millisecond
)

// pendingResponse keeps the place of one command's answer among those of its connection.
type pendingResponse struct {
	conn    *conn
	request *Request // nil: the command is none that the handler knows of
	answer  []byte   // nil until given; guarded by conn.mu
}

// openResponse keeps a place for the answer of a command; it returns nil when the connection takes no more.
func (c *conn) openResponse(request *Request) *pendingResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateEnded {
		return nil
	}
	pending := &pendingResponse{conn: c, request: request}
	c.waiting = append(c.waiting, pending)
	c.unwritten++
	c.lastUsed, c.received = time.Now(), true
	c.transition(commandTaken)
	return pending
}

// answerCommand answers a command without the handler.
func (c *conn) answerCommand(answer []byte) {
	if pending := c.openResponse(nil); pending != nil {
		pending.respond(answer)
	}
}

// respond gives the answer, and never blocks. Clients that leave their answers unread lose their connections before they
// can fill the memory.
func (pending *pendingResponse) respond(answer []byte) {
	c := pending.conn
	c.mu.Lock()
	if c.gone.Load() {
		c.mu.Unlock()
		return
	}
	if pending.answer != nil {
		c.mu.Unlock()
		c.server.cfg.Observer.RequestAnsweredTwice()
		return
	}
	pending.answer = answer
	c.unsentBytes += len(answer)
	c.server.unsentBytes.Add(int64(len(answer)))
	c.queueAnswers()
	c.lastUsed = time.Now()
	c.mu.Unlock()
	if c.server.unsentBytes.Load() > c.server.maxUnsentBytes {
		c.server.closeSlowestReader()
	}
	c.wakeWriter()
}

// queueAnswers hands the writer the answers whose turn has come; c.mu is held.
func (c *conn) queueAnswers() {
	for len(c.waiting) > 0 && c.waiting[0].answer != nil {
		c.out = append(c.out, c.waiting[0].answer...)
		c.outCount++
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
	}
	if len(c.waiting) == 0 {
		c.transition(allAnswered)
	}
}

// write sends answers as they come due until stop closes, and ends the connection between requests where that was asked for.
func (c *conn) write(stop <-chan struct{}) {
	var buffer []byte
	for {
		select {
		case <-stop:
			return
		case <-c.wake:
		}
		answers, count, last := c.takeAnswers(buffer[:0])
		if len(answers) > 0 {
			if err := c.writeAnswers(answers, count); err != nil {
				c.socket.Close()
				return
			}
		}
		if last {
			c.shutDown()
			return
		}
		buffer = answers
		if cap(buffer) > resp.InitialBufferSize { // a large answer's memory does not stay with the connection
			buffer = nil
		}
	}
}

// takeAnswers returns the answers to write and how many commands they answer, leaving an empty buffer in their place. It
// reports whether they are the last, and asks the reader for the end of the connection where only that is missing.
func (c *conn) takeAnswers(empty []byte) (answers []byte, count int, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers, c.out = c.out, empty
	count, c.outCount = c.outCount, 0
	switch {
	case len(c.waiting) > 0 || c.state.isOpen():
	case c.state == stateFaulted || c.state == stateEnded:
		c.transition(endDecided)
		last = true
	default:
		c.proposeEnd()
	}
	return answers, count, last
}

// writeAnswers writes the answers of so many commands.
func (c *conn) writeAnswers(answers []byte, count int) error {
	_, err := sockets.WriteAll(c.socket, answers, time.Now().Add(writeTimeout))
	c.mu.Lock()
	c.unsentBytes -= len(answers)
	c.unwritten -= count
	c.mu.Unlock()
	c.server.unsentBytes.Add(-int64(len(answers)))
	return err
}

// shutDown tells the client the end and leaves it a moment to see that before the reader closes the socket: so no answer is
// lost to a reset.
func (c *conn) shutDown() {
	c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}
