package upstream

import (
	"sync/atomic"
	"time"

	"lemontack/policy"
)

// Command provides the bytes that an attempt sends, and is notified of the attempt's progress. Its methods are called on the
// pool's goroutine unless stated otherwise.
type Command interface {
	// MayStart reports whether the attempt may still be sent. It is called when a connection becomes available to an attempt
	// that has waited for one. If it returns false, the attempt ends with the outcome NotSent.
	MayStart() bool
	// Encode returns the bytes to write. It is called when the attempt is assigned to a connection.
	Encode() EncodedCommand
	// Abandoned reports whether the reply is no longer needed. It is safe for concurrent use.
	Abandoned() bool
	// BeforeWrite is called on the connection's writing goroutine, just before the first byte is written. timeLimit is the
	// TimeLimit of the EncodedCommand.
	BeforeWrite(timeLimit time.Duration)
	// Ended is called exactly once, when the attempt ends.
	Ended(result Result)
}

// EncodedCommand is a command as it is written to the connection.
type EncodedCommand struct {
	Frame     []byte
	TimeLimit time.Duration // time that the command grants the endpoint; zero means no limit
}

// Attempt is one attempt to have an endpoint execute a command.
type Attempt struct {
	endpoint *Endpoint
	command  Command

	connection   *connection    // assigned connection; nil while the attempt waits for one
	assignedAt   time.Duration  // time of the assignment to the connection
	aborted      bool           // Abort was called after the assignment
	abortOutcome policy.Outcome // outcome of an aborted attempt if it was written completely
	ended        bool

	// writeClaimed is set by the connection before it writes the first byte, or by the pool to cancel the attempt before that.
	// Whichever sets it first decides whether the attempt is written.
	writeClaimed atomic.Bool
}

// NewAttempt returns an attempt that has not started.
func NewAttempt(endpoint *Endpoint, command Command) *Attempt {
	return &Attempt{endpoint: endpoint, command: command}
}

// WaitsForConnection reports whether the attempt has not been assigned to a connection yet.
func (attempt *Attempt) WaitsForConnection() bool { return attempt.connection == nil }

// end calls Command.Ended unless the attempt has ended already.
func (attempt *Attempt) end(result Result) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.command.Ended(result)
}

// endWith ends the attempt without a reply.
func (attempt *Attempt) endWith(outcome policy.Outcome) { attempt.end(Result{Outcome: outcome}) }
