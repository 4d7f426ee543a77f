package listener

import (
	"time"

	"lemontack/internal/resp"
	"lemontack/internal/sockets"
)

const (
	// writeTimeout is the maximum time for one write of answers to a client.
	writeTimeout = 3 * time.Second
	// lingerTimeout is how long the client has to close its side after the server's FIN before the socket is closed.
	lingerTimeout = 250 * time.Millisecond
	// slotLingerTimeout takes the place of lingerTimeout if a new connection needs the slot and no request was read, so that
	// a reset could lose nothing but the answers to faulty commands and pings.
	slotLingerTimeout = 50 * time.Millisecond
)

// pendingResponse is the position of one command's answer among the answers of its connection.
type pendingResponse struct {
	conn    *conn
	request *Request // nil for a command that is not passed to the handler
	answer  []byte   // nil until given; guarded by conn.mu
}

// addPendingResponse reserves the position of a command's answer; it returns nil if the connection has ended.
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
	c.transition(commandAccepted)
	return pending
}

// answerCommand answers a command without the handler.
func (c *conn) answerCommand(answer []byte) {
	if pending := c.addPendingResponse(nil); pending != nil {
		pending.respond(answer)
	}
}

// respond sets the answer, and never blocks. If the unsent answers of all connections then exceed their limit, it closes the
// connection with the most of them, so that clients that do not read cannot exhaust the memory.
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

// queueReadyAnswers moves the answers that are next in order to readyAnswers; c.mu is held.
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

// runWriter writes answers as they become ready until stop closes. If the end of the connection was requested, it ends the
// connection once no response is pending.
func (c *conn) runWriter(stop <-chan struct{}) {
	var buffer []byte
	for {
		select {
		case <-stop:
			return
		case <-c.wake:
		}
		answers, count, isLast := c.takeAnswers(buffer[:0])
		if len(answers) > 0 {
			if err := c.writeAnswers(answers, count); err != nil {
				c.socket.Close()
				return
			}
		}
		if isLast {
			c.closeWriteSide()
			return
		}
		buffer = answers
		if cap(buffer) > resp.InitialBufferSize { // releases the memory of a large answer
			buffer = nil
		}
	}
}

// takeAnswers returns the answers to write and their number, and replaces them by an empty buffer. It reports whether they are
// the last ones. If the end was requested and no response is pending, it proposes the end to the reader.
func (c *conn) takeAnswers(empty []byte) (answers []byte, count int, isLast bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers, c.readyAnswers = c.readyAnswers, empty
	count, c.readyCount = c.readyCount, 0
	switch {
	case len(c.pendingResponses) > 0 || c.state.isOpen():
	case c.state == stateFaulted || c.state == stateEnded:
		c.transition(endDecided)
		isLast = true
	default:
		c.proposeEnd()
	}
	return answers, count, isLast
}

// writeAnswers writes the answers of count commands.
func (c *conn) writeAnswers(answers []byte, count int) error {
	_, err := sockets.WriteAll(c.socket, answers, time.Now().Add(writeTimeout))
	c.mu.Lock()
	c.unsentBytes -= len(answers)
	c.unwrittenCommands -= count
	c.mu.Unlock()
	c.server.unsentBytes.Add(-int64(len(answers)))
	return err
}

// closeWriteSide sends a FIN. The reader then waits for some time for the FIN of the client before the socket is closed, because
// an earlier close could cause a reset, which loses answers.
func (c *conn) closeWriteSide() {
	c.socket.SetReadDeadline(time.Now().Add(c.lingerTime()))
	if socket, ok := c.socket.(interface{ CloseWrite() error }); ok {
		socket.CloseWrite()
	}
}

// lingerTime returns how long the client has to close its side after the server's FIN.
func (c *conn) lingerTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == CloseForSlot && !c.requestRead.Load() {
		return slotLingerTimeout
	}
	return lingerTimeout
}
