package listener

import (
	"github.com/tidwall/redcon"
)

// MaxPipelined is the number of commands of one connection whose answers have not been written; requests beyond it are
// rejected.
const MaxPipelined = 64

const (
	// maxUnwritten is the same for commands of any kind, rejected ones included; with one more the connection ends.
	maxUnwritten = 512
	// maxFaults is the number of faults with which a connection ends.
	maxFaults = 10
)

// Texts of faults that clients are sent.
const (
	floodText          = "too many commands at once"
	notACommandText    = "a command is an array of bulk strings"
	unknownCommandText = "unknown command"
)

// Commands that clients may send.
const (
	commandAsk  = "Q.ASK"
	commandDo   = "Q.DO"
	commandPing = "PING"
)

// handleCommand takes one complete command; it reports whether the client is still there.
func (c *conn) handleCommand(frame []byte) (present bool) {
	present = true
	if !c.reader.rejecting && c.unwrittenAtLeast(maxUnwritten) {
		c.answerFlood()
	} else {
		present = c.dispatch(frame)
	}
	switch faults := c.faults.Load(); {
	case !present:
		return false
	case c.reader.rejecting:
	case faults >= maxFaults:
		c.startRejecting()
	case faults > c.reader.pausedFaults && !c.pauseAfterFault(faults): // one that the handler found
		return false
	}
	c.unlimitCommand()
	return true
}

// dispatch takes one command by its name; it reports whether the client is still there.
func (c *conn) dispatch(frame []byte) (present bool) {
	complete, args, _, _, err := redcon.ReadNextCommand(frame, nil)
	switch {
	case err != nil || !complete || len(args) == 0:
		return c.answerFault(FaultCommand, notACommandText)
	case isRequest(args[0]):
		return c.handleRequest(args)
	case string(args[0]) != commandPing:
		return c.answerFault(FaultCommand, unknownCommandText)
	}
	c.answerCommand(redcon.AppendString(nil, "PONG"))
	return true
}

func isRequest(name []byte) bool { return string(name) == commandAsk || string(name) == commandDo }

// handleRequest hands a request to the handler, or rejects it; it reports whether the client is still there. Reading never
// stops for want of capacity, or nobody would see this client leave.
func (c *conn) handleRequest(args [][]byte) (present bool) {
	request, err := c.server.cfg.parseRequest(args, c.reader.readAt)
	if err != nil {
		return c.answerFault(FaultRequest, err.Error())
	}
	observer := c.server.cfg.Observer
	observer.RequestRead()
	if c.reader.rejecting || c.reader.presenceUnknown || c.unwrittenAtLeast(MaxPipelined) {
		observer.RequestRejected(request, "the connection is closing, or has too many open commands")
		c.answerCommand(c.server.cfg.RejectedReply)
		return true
	}
	pending := c.openResponse(request)
	if pending == nil {
		observer.RequestUnanswered(request, "read on a connection that has ended")
		return true
	}
	request.response = pending
	c.server.cfg.Handler.RequestReceived(request)
	return true
}

// answerFlood answers the command that is one too many on the connection.
func (c *conn) answerFlood() {
	c.observeFault(FaultFlood, floodText, c.faults.Add(1))
	c.answerCommand(errorReply(floodText))
	c.startRejecting()
}

// answerFault answers a fault after a pause; it reports whether the client is still there.
func (c *conn) answerFault(kind FaultKind, text string) (present bool) {
	faults := c.faults.Add(1)
	c.observeFault(kind, text, faults)
	if !c.reader.rejecting && !c.pauseAfterFault(faults) {
		return false
	}
	c.answerCommand(errorReply(text))
	return true
}

// startRejecting ends the connection as soon as no answer is owed on it. What is read until then is answered in its order,
// without pauses, and requests are rejected.
func (c *conn) startRejecting() {
	c.reader.rejecting = true
	c.close(CloseForFaults)
}

func errorReply(text string) []byte { return redcon.AppendError(nil, "ERR "+text) }
