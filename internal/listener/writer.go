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

// addPendingResponse keeps a place for the answer of a command; it returns nil when the connection takes no more.
func (c *conn) addPendingResponse(request *Request) *pendingResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateEnded {
		return nil
	}
	pending := &pendingResponse{conn: c, request: request}
	c.pendingResponses = append(c.pendingResponses, pending)
	c.unwrittenCommands++
	c.lastActivity, c.commandReceived = time.Now(), true
	c.transition(commandTaken)
	return pending
}

// answerCommand answers a command without the handler.
func (c *conn) answerCommand(answer []byte) {
	if pending := c.addPendingResponse(nil); pending != nil {
		pending.respond(answer)
	}
}

// respond gives the answer, and never blocks. Clients that leave their answers unread lose their connections before they
// can fill the memory.
func (pending *pendingResponse) respond(answer []byte) {
	c := pending.conn
	c.mu.Lock()
	if c.disconnected.Load() {
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
	c.queueReadyAnswers()
	c.lastActivity = time.Now()
	c.mu.Unlock()
	if c.server.unsentBytes.Load() > c.server.maxUnsentBytes {
		c.server.closeSlowestReader()
	}
	c.wakeWriter()
}

// queueReadyAnswers hands the writer the answers whose turn has come; c.mu is held.
func (c *conn) queueReadyAnswers() {
	for len(c.pendingResponses) > 0 && c.pendingResponses[0].answer != nil {
		c.readyAnswers = append(c.readyAnswers, c.pendingResponses[0].answer...)
		c.readyCount++
		c.pendingResponses[0] = nil
		c.pendingResponses = c.pendingResponses[1:]
	}
	if len(c.pendingResponses) == 0 {
		c.transition(allAnswered)
	}
}

// runWriter sends answers as they come due until stop closes, and ends the connection between requests where that was asked for.
func (c *conn) runWriter(stop <-chan struct{}) {
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
			c.closeWriteSide()
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
	answers, c.readyAnswers = c.readyAnswers, empty
	count, c.readyCount = c.readyCount, 0
	switch {
	case len(c.pendingResponses) > 0 || c.state.isOpen():
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
	c.unwrittenCommands -= count
	c.mu.Unlock()
	c.server.unsentBytes.Add(-int64(len(answers)))
	return err
}

// closeWriteSide tells the client the end and leaves it a moment to see that before the reader closes the socket: so no answer is
// lost to a reset.
func (c *conn) closeWriteSide() {
	c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}
