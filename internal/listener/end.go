package listener

import "time"

// proposeEnd makes the reader call confirmEnd, which decides whether the connection may end: only the reader can check whether
// its buffer holds unprocessed commands. c.mu is held.
func (c *conn) proposeEnd() {
	c.transition(endProposed)
	c.socket.SetReadDeadline(time.Unix(1, 0)) // in the past, so that a blocked read returns
}

// confirmEnd decides on an end that proposeEnd has proposed. The reader calls it while its buffer holds no complete command. The
// connection ends unless a response is pending or the buffer holds part of a command. A partial command does not prevent the
// end if the slot is needed. It returns whether an end was proposed, and whether the connection has ended.
func (c *conn) confirmEnd() (proposed, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateConfirming {
		return false, false
	}
	if len(c.pendingResponses) == 0 && (!c.reader.buffer.HasPartialFrame() || c.reason == CloseForSlot) {
		c.decideEnd()
		return true, true
	}
	c.withdrawProposal()
	return true, false
}

// declineEnd declines an end that proposeEnd has proposed, so that the reader can read again. It returns whether there was one;
// wakeWriter makes the writer propose it again.
func (c *conn) declineEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateConfirming {
		return false
	}
	c.withdrawProposal()
	return true
}

// withdrawProposal undoes proposeEnd; c.mu is held.
func (c *conn) withdrawProposal() {
	c.transition(endDeclined)
	c.socket.SetReadDeadline(c.readDeadline)
}

// isEndRequested reports whether requestClose has been called.
func (c *conn) isEndRequested() bool {
	select {
	case <-c.endRequested:
		return true
	default:
		return false
	}
}

// isClosingForSlot reports whether the end was requested because a new connection needs the slot.
func (c *conn) isClosingForSlot() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason == CloseForSlot
}

// endIfNonePending ends the connection if no response is pending. The reader calls it between two reads.
func (c *conn) endIfNonePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingResponses) > 0 {
		return false
	}
	c.decideEnd()
	return true
}

// decideEnd makes the connection accept no more commands; the writer sends the remaining answers. c.mu is held.
func (c *conn) decideEnd() {
	c.transition(endDecided)
	c.socket.SetReadDeadline(time.Time{})
	c.wakeWriter()
}

// refuseCommands makes the writer end the connection once all commands are answered; the reader discards further input.
func (c *conn) refuseCommands() {
	c.mu.Lock()
	c.transition(commandsRefused)
	c.setReason(CloseForFaults)
	c.mu.Unlock()
	c.wakeWriter()
}

// closeForShutdown calls requestClose for a shutdown. For a new connection, whose first command may be in transit, it does so
// after the rest of newConnGrace.
func (c *conn) closeForShutdown() {
	c.mu.Lock()
	grace := newConnGrace - time.Since(c.lastActivity)
	received := c.commandReceived
	c.mu.Unlock()
	if received || grace <= 0 {
		c.requestClose(CloseShutdown)
		return
	}
	time.AfterFunc(grace, func() { c.requestClose(CloseShutdown) }) // has no effect on a connection that has ended by then
}

// requestClose requests the end of the connection as soon as no response is pending.
func (c *conn) requestClose(reason CloseReason) {
	c.mu.Lock()
	if c.state.isOpen() {
		close(c.endRequested)
	}
	c.transition(closeRequested)
	c.setReason(reason)
	c.mu.Unlock()
	c.wakeWriter()
}

// abort closes the socket at once, even if responses are pending.
func (c *conn) abort(reason CloseReason) {
	c.mu.Lock()
	c.setReason(reason)
	c.aborted = true
	c.mu.Unlock()
	c.socket.Close()
}

// setReason sets the reason for the end of the connection unless one is set; c.mu is held.
func (c *conn) setReason(reason CloseReason) {
	if c.reason == CloseByClient {
		c.reason = reason
	}
}
