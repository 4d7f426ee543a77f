package listener

// connState is the state of a client connection. Its reader, its writer and the server change it, always through transition
// and with conn.mu held:
//
//	state         meaning                                             next states
//	new           no complete command has come                        active, draining, faulted
//	active        a command waits for its answer                      idle, draining, faulted
//	idle          every command that came has its answer              active, draining, faulted
//	draining      ends once no command waits for its answer           confirming, faulted, ended
//	confirming    the writer wants to end it and asks the reader,     draining, faulted, ended
//	              which may hold commands that were read and not
//	              taken; its reads fail until it has answered
//	faulted       the reader takes no more commands; the writer ends  ended
//	              the connection once no command waits
//	ended         no command is taken; the writer sends what is left  -
//	              and shuts the sending side down
//
// Events that change it:
//
//	event             from                  to            by
//	commandTaken      new, idle             active        reader
//	allAnswered       active                idle          whoever gives the last answer that is waited for
//	closeRequested    new, active, idle     draining      reader, server
//	endProposed       draining              confirming    writer, when no command waits
//	endDeclined       confirming            draining      reader
//	commandsRefused   any but ended         faulted       reader, when the framing is lost
//	endDecided        draining, confirming  ended         reader, when no command waits
//	endDecided        faulted               ended         writer, when no command waits
//
// An event in any other state changes nothing, except that endDecided ends a connection in every state. While a connection is
// draining or confirming it takes commands and answers them, without a change of state.
//
// Three facts are independent of the state and are kept beside it in conn: whether any command has come, which also matters
// while the connection is draining; whether the server aborted it with answers owed; and whether the client has gone, which
// the handler reads without the lock, and after which the writer may still go through these states.
type connState int

const (
	stateNew connState = iota
	stateActive
	stateIdle
	stateDraining
	stateConfirming
	stateFaulted
	stateEnded
)

// connEvent is an event that can change the state of a connection.
type connEvent int

const (
	commandTaken connEvent = iota
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
	case event == commandTaken && (state == stateNew || state == stateIdle):
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

// isOpen reports whether nobody has asked for the end of the connection.
func (state connState) isOpen() bool {
	return state == stateNew || state == stateActive || state == stateIdle
}

// transition changes the state as the event demands; c.mu is held.
func (c *conn) transition(event connEvent) { c.state = c.state.next(event) }
