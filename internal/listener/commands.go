package listener

import (
	"github.com/tidwall/redcon"
)

// MaxPipelined is the maximum number of commands of one connection whose answers have not been written; requests beyond it are
// rejected.
const MaxPipelined = 64

const (
	// maxUnwrittenCommands is the maximum number of commands of any kind, including rejected ones, whose answers have not been
	// written; the connection is closed when it is exceeded.
	maxUnwrittenCommands = 512
	// maxFaults is the number of faults at which a connection is closed.
	maxFaults = 10
)

// Error texts that are sent to clients.
const (
	floodText          = "too many commands at once"
	invalidCommandText = "a command is an array of bulk strings"
	unknownCommandText = "unknown command"
)

// Commands that clients may send.
const (
	commandAsk  = "Q.ASK"
	commandDo   = "Q.DO"
	commandPing = "PING"
)

// handleCommand processes one complete command. It reports whether the client is still connected.
func (c *conn) handleCommand(frame []byte) (connected bool) {
	connected = true
	if !c.reader.rejectsRequests && c.hasUnwrittenCommands(maxUnwrittenCommands) {
		c.answerFlood()
	} else {
		connected = c.dispatch(frame)
	}
	switch faults := c.faults.Load(); {
	case !connected:
		return false
	case c.reader.rejectsRequests:
	case faults >= maxFaults:
		c.startRejecting()
	case faults > c.reader.faultsAtLastPause && !c.pauseAfterFault(faults): // the handler rejected a duplicate request
		return false
	}
	c.clearCommandDeadline()
	return true
}

// dispatch processes one command according to its name. It reports whether the client is still connected.
func (c *conn) dispatch(frame []byte) (connected bool) {
	complete, args, _, _, err := redcon.ReadNextCommand(frame, nil)
	switch {
	case err != nil || !complete || len(args) == 0:
		return c.answerFault(FaultCommand, invalidCommandText)
	case isRequestCommand(args[0]):
		return c.handleRequest(args)
	case string(args[0]) != commandPing:
		return c.answerFault(FaultCommand, unknownCommandText)
	}
	c.answerCommand(redcon.AppendString(nil, "PONG"))
	return true
}

func isRequestCommand(name []byte) bool {
	return string(name) == commandAsk || string(name) == commandDo
}

// Reasons for which the listener rejects a request, in log records.
const (
	reasonNotAccepting = "the connection is closing, has too many open commands, or its client may have disconnected"
	reasonNoMemory     = "there is no memory for the command"
)

// handleRequest passes a request to the handler, or rejects it. It reports whether the client is still connected. Reading never
// stops for lack of capacity, because a disconnect is detected only by reading, and requests may stand behind this one.
func (c *conn) handleRequest(args [][]byte) (connected bool) {
	request, err := c.server.cfg.parseRequest(args, c.reader.arrivedAt)
	if err != nil {
		return c.answerFault(FaultRequest, err.Error())
	}
	c.requestRead.Store(true)
	observer := c.server.cfg.Observer
	observer.RequestRead()
	if reason := c.rejectionReason(); reason != "" {
		observer.RequestRejected(request, reason)
		c.answerCommand(c.server.cfg.RejectionReply)
		return true
	}
	pending := c.addPendingResponse(request)
	if pending == nil {
		observer.RequestUnanswered(request, "read on a connection that has ended")
		return true
	}
	request.response = pending
	c.server.cfg.Handler.RequestReceived(request)
	return true
}

// rejectionReason returns the reason to reject the request that was read last, or an empty string if there is none.
func (c *conn) rejectionReason() string {
	switch {
	case c.reader.buffer.IsElided():
		return reasonNoMemory
	case c.reader.rejectsRequests || c.reader.mayBeDisconnected || c.hasUnwrittenCommands(MaxPipelined):
		return reasonNotAccepting
	}
	return ""
}

// answerFlood answers the command that exceeds maxUnwrittenCommands and starts closing the connection.
func (c *conn) answerFlood() {
	c.observeFault(FaultFlood, floodText, c.faults.Add(1))
	c.answerCommand(errorReply(floodText))
	c.startRejecting()
}

// answerFault answers a fault, after a pause unless the connection is closing because of faults. It reports whether the client
// is still connected.
func (c *conn) answerFault(kind FaultKind, text string) (connected bool) {
	faults := c.faults.Add(1)
	c.observeFault(kind, text, faults)
	if !c.reader.rejectsRequests && !c.pauseAfterFault(faults) {
		return false
	}
	c.answerCommand(errorReply(text))
	return true
}

// startRejecting closes the connection as soon as all its commands are answered. Commands that are read until then are answered
// in order and without pauses, and requests are rejected.
func (c *conn) startRejecting() {
	c.reader.rejectsRequests = true
	c.requestClose(CloseForFaults)
}

func errorReply(text string) []byte { return redcon.AppendError(nil, "ERR "+text) }
