package upstream

import (
	"sync/atomic"
	"time"

	"lemontack/policy"
)

// Command is what an attempt sends, and what hears of the attempt's course. Its methods are called on the pool's goroutine
// unless said otherwise.
type Command interface {
	// MayStart reports whether the attempt may still be sent. It is asked once a connection is there for an attempt that had
	// to wait for one; the attempt ends as not sent where it returns false.
	MayStart() bool
	// Encode returns what is written. It is called when the attempt is given to a connection.
	Encode() EncodedCommand
	// Abandoned reports whether nobody waits for the reply any more. It is safe for concurrent use.
	Abandoned() bool
	// BeforeWrite is called on a goroutine of the connection, just before it writes. timeLimit is that of the
	// EncodedCommand.
	BeforeWrite(timeLimit time.Duration)
	// Ended is called once, at the end of the attempt.
	Ended(reply Result)
}

// EncodedCommand is a command in the form in which it is written.
type EncodedCommand struct {
	Frame     []byte
	TimeLimit time.Duration // that the command gives the endpoint; 0: none
}

// Attempt is one try to have an endpoint execute a command.
type Attempt struct {
	endpoint *Endpoint
	command  Command

	connection   *connection    // carries it; nil while it waits for one
	assignedAt   time.Duration  // when it was given to the connection
	aborted      bool           // the pool was told to give it up
	abortOutcome policy.Outcome // of an aborted attempt that may have been executed
	ended        bool

	// writeClaimed is set by whoever decides on the attempt's first byte: the connection, to write it, or the pool, to take it
	// back from there.
	writeClaimed atomic.Bool
}

// NewAttempt returns an attempt that has not started.
func NewAttempt(endpoint *Endpoint, command Command) *Attempt {
	return &Attempt{endpoint: endpoint, command: command}
}

// WaitsForConnection reports whether no connection has been given the attempt so far.
func (attempt *Attempt) WaitsForConnection() bool { return attempt.connection == nil }

// end reports the end of the attempt, once.
func (attempt *Attempt) end(result Result) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.command.Ended(result)
}

// endWith ends the attempt without a reply.
func (attempt *Attempt) endWith(outcome policy.Outcome) { attempt.end(Result{Outcome: outcome}) }
