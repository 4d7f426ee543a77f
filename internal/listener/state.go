package listener

// connState is the state of a client connection. Its reader, its writer and the server change it, always with transition and
// with conn.mu held:
//
//	state         meaning                                             next states
//	new           no complete command has been received               active, draining, faulted
//	active        a response is pending                               idle, draining, faulted
//	idle          every command that was received has its answer      active, draining, faulted
//	draining      ends once no response is pending                    confirming, faulted, ended
//	confirming    the writer has proposed the end to the reader,      draining, faulted, ended
//	              whose buffer may hold unprocessed commands; reads
//	              fail until the reader has confirmed or declined
//	faulted       the reader accepts no more commands; the writer     ended
//	              ends the connection once no response is pending
//	ended         no command is accepted; the writer sends the        -
//	              remaining answers and closes the sending side
//
// Events that change it:
//
//	event             from                  to            by
//	commandAccepted   new, idle             active        reader
//	allAnswered       active                idle          the goroutine that gives the last pending answer
//	closeRequested    new, active, idle     draining      reader, server
//	endProposed       draining              confirming    writer, when no response is pending
//	endDeclined       confirming            draining      reader
//	commandsRefused   any but ended         faulted       reader, when the framing is lost
//	endDecided        draining, confirming  ended         reader, when no response is pending
//	endDecided        faulted               ended         writer, when no response is pending
//
// An event in any other state has no effect, except that endDecided ends a connection in every state. A connection that is
// draining or confirming accepts and answers commands without a change of state.
//
// Three conditions are independent of the state and have their own fields in conn: commandReceived, which also matters while the
// connection is draining; aborted, for a socket that the server closed without waiting for answers; and disconnected, which the
// handler reads without the lock, and after which the writer may still change the state.
type connState int

const (
	stateNew connState = iota
	stateActive
	stateIdle
	stateDraining
	stateConfirming
	stateFaulted
	stateEnded
	connStateCount
)

// String returns the name of the state in log records.
func (state connState) String() string {
	return [connStateCount]string{"new", "active", "idle", "draining", "confirming", "faulted", "ended"}[state]
}

// connEvent is an event that can change the state of a connection.
type connEvent int

const (
	commandAccepted connEvent = iota
	allAnswered
	closeRequested
	endProposed
	endDeclined
	commandsRefused
	endDecided
)

// next returns the state after an event.
func (state connState) next(event connEvent) connState {
	switch {
	case event == commandAccepted && (state == stateNew || state == stateIdle):
		return stateActive
	case event == allAnswered && state == stateActive:
		return stateIdle
	case event == closeRequested && state.isOpen():
		return stateDraining
	case event == endProposed && state == stateDraining:
		return stateConfirming
	case event == endDeclined && state == stateConfirming:
		return stateDraining
	case event == commandsRefused && state != stateEnded:
		return stateFaulted
	case event == endDecided:
		return stateEnded
	}
	return state
}

// isOpen reports whether the end of the connection has not been requested.
func (state connState) isOpen() bool {
	return state == stateNew || state == stateActive || state == stateIdle
}

// transition changes the state according to the event; c.mu is held.
func (c *conn) transition(event connEvent) { c.state = c.state.next(event) }
