package policy

import (
	"time"
)

// Action is something that a gateway wants to be done. The action types below are all that there are.
type Action interface{ isAction() }

// Send starts an attempt of a request at an endpoint. Attempts of a request are numbered from 0 in the order
// of their Sends. An AttemptEnded answers it.
type Send struct {
	ID       RequestID
	Endpoint EndpointID
	// AttemptDeadline is the time on the gateway's clock at which the attempt ends as TimedOut; 0 stands for
	// the request's deadline.
	AttemptDeadline time.Duration
}

// Cancel ends an attempt that is no longer needed. Its AttemptEnded still comes. It is used only if
// Settings.MayCancel is set.
type Cancel struct {
	ID RequestID
	// Attempt is the number of the attempt.
	Attempt int
}

// Reject is the final answer to a request that has not been executed, or whose retry is harmless: the client
// may try again.
type Reject struct {
	ID RequestID
	// RetryAfter is the time that the client is told to wait first; 0 gives no advice.
	RetryAfter time.Duration
}

// Fail is the final answer to a request that may have been executed: the client must not take it for harmless
// to try again.
type Fail struct{ ID RequestID }

// SetTimer asks for one TimerFired after a time.
type SetTimer struct{ Delay time.Duration }

// CheckHealth asks an endpoint for its health. A HealthCheckEnded answers it.
type CheckHealth struct{ Endpoint EndpointID }

// Gossip sends a message to other gateways. It may be lost.
type Gossip struct {
	// To is the index of the receiving gateway; less than 0 stands for all others.
	To   int
	Body []byte
}

// IncrementCounter adds to a name of the shared counter. A CounterReply with the total answers it.
type IncrementCounter struct {
	Name string
	// Delta is the amount, which may be 0 or less.
	Delta float64
	// TTL is the time for which the counter keeps the name, from its first increment on.
	TTL time.Duration
}

// WatchEndpoints subscribes to changes of the endpoint list. EndpointsChanged events follow, until one that
// has failed.
type WatchEndpoints struct{}

// FetchEndpoints asks for the entire endpoint list once. An EndpointsChanged answers it.
type FetchEndpoints struct{}

// CloseIdleConnections closes the idle connections to an endpoint.
type CloseIdleConnections struct{ Endpoint EndpointID }

// Log writes a line to the log.
type Log struct{ Message string }

func (Send) isAction()                 {}
func (Cancel) isAction()               {}
func (Reject) isAction()               {}
func (Fail) isAction()                 {}
func (SetTimer) isAction()             {}
func (CheckHealth) isAction()          {}
func (Gossip) isAction()               {}
func (IncrementCounter) isAction()     {}
func (WatchEndpoints) isAction()       {}
func (FetchEndpoints) isAction()       {}
func (CloseIdleConnections) isAction() {}
func (Log) isAction()                  {}
